"""Entry point of ``jacinthsaild``, the node daemon."""

import signal
import sys

from absl import app, flags
from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, describe
from jacinthsail.internal.adapters.files import read_text
from jacinthsail.internal.model.settings import NodeSettings
from jacinthsail.internal.queries.settings import parse_settings

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the node's TOML settings file.")

EXIT_BAD_SETTINGS = 2


def read_settings(path: str) -> Result[NodeSettings, tuple[ConfigurationError, ...]]:
    """Return the settings from a file, or every error found in it."""
    match read_text(path):
        case Success(text):
            return parse_settings(text, path)
        case Failure(error):
            return Failure((error,))
    raise AssertionError("a result is a success or a failure")


def run(_argv: list[str]) -> int:
    """Run the node until it receives a stop signal."""
    if _SETTINGS.value is None:
        print("--settings is missing; name the node's TOML settings file", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    # Importing these takes most of the start, during which main() has SIGHUP ignored.
    from jacinthsail.internal.adapters.node import NodeService
    from jacinthsail.internal.adapters.process import serve

    match read_settings(_SETTINGS.value):
        case Success(settings):
            serve(lambda loop: NodeService(settings, loop=loop), settings.log_buffer_lines)
            return 0
        case Failure(errors):
            for error in errors:
                print(describe(error), file=sys.stderr)
    return EXIT_BAD_SETTINGS


def main() -> None:
    """Run ``jacinthsaild``."""
    # Until its handler is installed, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    app.run(run)


if __name__ == "__main__":
    main()
