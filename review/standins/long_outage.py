"""Not a case, since it takes 6.5 minutes: a node while the platform's store stays away.

Two nodes start, then the store stops answering for good. Prints when a node ends by itself.
"""

import asyncio
import sys
import tempfile

from deployment import Deployment, manifest, route

WATCHED_S = 480


async def main():
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, {"manila": "luzon"})
        try:
            routes = [route("draft", "drafts")]
            deployment.store.put("op/config", manifest(12, routes, ["drafts"]))
            for number in (1, 2):
                await deployment.add_target(number, "drafts", "manila")
                await deployment.start_node(number, "drafts", "manila")
            for number in (1, 2):
                await deployment.wait_ready(number)
            await asyncio.sleep(3)
            for server in deployment.store.servers:
                server.close()
            deployment.store.silent_to |= {1, 2}
            down_at = deployment.record.now()
            while deployment.record.now() - down_at < WATCHED_S:
                await asyncio.sleep(1)
                for number, process in deployment.nodes.items():
                    if process.returncode is None:
                        continue
                    outage_s = deployment.record.now() - down_at
                    print(f"node {number} ended by itself after {outage_s:.0f} s without the store")
                    lines = deployment.node_log(number).splitlines()
                    print("\n".join(line for line in lines if "Crashed" in line))
                    return 1
            return 0
        finally:
            await deployment.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
