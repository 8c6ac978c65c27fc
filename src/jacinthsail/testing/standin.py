"""Entry point of ``jacinthsail-standin``, which runs one stand-in."""

from absl import app, flags
from aiohttp import web

from jacinthsail.testing.platform import PlatformStandIn
from jacinthsail.testing.target import TargetStandIn

_ROLE = flags.DEFINE_enum("role", None, ["platform", "target"], "Which stand-in to run.")
_PORT = flags.DEFINE_integer("port", None, "Port to listen on, on 127.0.0.1.")
_NAME = flags.DEFINE_string("name", "target", "Name of the target in its answers.")
_NODE_URL = flags.DEFINE_string("node_url", "", "Base URL of the target's own node.")
_DELAY_MS = flags.DEFINE_float("delay_ms", 2.0, "Time that a call takes, in ms.")


async def _application() -> web.Application:
    if _ROLE.value == "platform":
        return PlatformStandIn().application()
    return TargetStandIn(_NAME.value, _NODE_URL.value, _DELAY_MS.value / 1000).application()


def run(_argv: list[str]) -> None:
    """Run the stand-in until it is told to stop."""
    web.run_app(_application(), host="127.0.0.1", port=_PORT.value, print=None, access_log=None)


def main() -> None:
    """Run ``jacinthsail-standin``."""
    flags.mark_flags_as_required(["role", "port"])  # type: ignore[no-untyped-call]
    app.run(run)


if __name__ == "__main__":
    main()
