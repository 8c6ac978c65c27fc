"""Entry point of ``jacinthsail-standin``, which runs one stand-in."""

import json
from pathlib import Path

from absl import app, flags
from aiohttp import web

from jacinthsail.testing.link import LinkStandIn
from jacinthsail.testing.mesh import HOST, TARGET_HOST
from jacinthsail.testing.platform import PlatformStandIn
from jacinthsail.testing.target import TargetStandIn
from jacinthsail.testing.target_model import default_behaviour

_ROLE = flags.DEFINE_enum("role", None, ["platform", "target", "link"], "Which stand-in to run.")
_PORT = flags.DEFINE_integer("port", None, "Port to listen on, on 127.0.0.1 and 127.0.0.2.")
_NAME = flags.DEFINE_string("name", "target", "Name of the target in its responses.")
_NODE_URL = flags.DEFINE_string("node_url", "", "Base URL of the local node of the target.")
_DELAY_MS = flags.DEFINE_float("delay_ms", 2.0, "Service time of a call, in ms.")
_BEHAVIOUR = flags.DEFINE_string("behaviour", "{}", "Fields of the target's behaviour, as JSON.")
_RECORD = flags.DEFINE_string("record", None, "File to which the target writes its executions.")
_RELAY_PORT = flags.DEFINE_integer("relay_port", 0, "Port on which the link accepts connections.")
_TO_PORT = flags.DEFINE_integer("to_port", 0, "Port to which the link relays connections.")

_BEHIND_S = flags.DEFINE_float(
    "behind_s", 0.0, "How far the clock of the platform is behind, in s."
)


async def _application() -> web.Application:
    if _ROLE.value == "platform":
        return PlatformStandIn(_BEHIND_S.value or 0.0).application()
    if _ROLE.value == "link":
        return LinkStandIn(_RELAY_PORT.value or 0, _TO_PORT.value or 0).application()
    behaviour = default_behaviour(_DELAY_MS.value)
    behaviour.update(json.loads(_BEHAVIOUR.value))
    record = Path(_RECORD.value) if _RECORD.value else None
    return TargetStandIn(_NAME.value, _NODE_URL.value, behaviour, record, TARGET_HOST).application()


def run(_argv: list[str]) -> None:
    """Run the stand-in until it receives SIGTERM or SIGINT."""
    web.run_app(
        _application(),
        host=[HOST, TARGET_HOST],
        port=_PORT.value,
        print=None,
        access_log=None,
        shutdown_timeout=1.0,
    )


def main() -> None:
    """Run ``jacinthsail-standin``."""
    flags.mark_flags_as_required(["role", "port"])  # type: ignore[no-untyped-call]
    app.run(run)


if __name__ == "__main__":
    main()
