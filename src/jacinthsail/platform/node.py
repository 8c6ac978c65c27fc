"""Runs a node with the settings and the protocols of the users' platform."""

import os
import sys

from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, MissingKey, describe
from jacinthsail.internal.adapters.files import read_text
from jacinthsail.internal.adapters.fleet_node import FleetNode, PlatformDialects
from jacinthsail.internal.adapters.process import STANDARD_OUTPUT, serve
from jacinthsail.internal.model.fleet_settings import FleetSettings
from jacinthsail.platform import names
from jacinthsail.platform.http import CallerHttp, TargetHttp
from jacinthsail.platform.settings import PlatformSettings, decode_settings
from jacinthsail.platform.store import PlatformStore

EXIT_BAD_SETTINGS = 2


def read_settings() -> Result[PlatformSettings, ConfigurationError]:
    """Return the settings from the file named in the environment by the platform."""
    path = os.environ.get(names.SETTINGS_PATH_VARIABLE, "")
    if not path:
        return Failure(MissingKey("environment", names.SETTINGS_PATH_VARIABLE))
    match read_text(path):
        case Success(body):
            return decode_settings(body, path)
        case Failure(error):
            return Failure(error)
    raise AssertionError("a result is a success or a failure")


def read_node_settings() -> Result[FleetSettings, ConfigurationError]:
    """Return the node settings as currently written in the file."""
    return read_settings().map(lambda settings: settings.node)


def run_node() -> int:
    """Run the node until it receives a stop signal; return the exit status."""
    match read_settings():
        case Success(settings):
            store = PlatformStore(settings.node.store, settings.regions)
            dialects = PlatformDialects(CallerHttp(), TargetHttp(), store)
            serve(
                lambda loop: FleetNode(settings.node, dialects, read_node_settings, loop=loop),
                settings.node.log_buffer_lines,
                STANDARD_OUTPUT,
            )
            return 0
        case Failure(error):
            print(describe(error), file=sys.stderr)
    return EXIT_BAD_SETTINGS
