"""Overload control layer for service call graphs.

The public API consists of two parsers for operators' own tools and the typed errors with their
descriptions. Everything under ``internal`` may change between releases.

    >>> from jacinthsail import describe, parse_section
    >>> [describe(error) for error in parse_section("billing", 1, b"owner = 'a'").failure()]
    ['billing: services is missing; add it']
"""

from importlib import import_module

__version__ = "0.1.0"

__all__ = ["describe", "parse_section", "parse_settings"]

# Imported on first use: a node that serves HTTP needs neither the parsers nor their libraries, and
# it ignores SIGHUP only once this package has been imported.
_MODULES = {
    "describe": "jacinthsail.errors",
    "parse_section": "jacinthsail.internal.queries.documents",
    "parse_settings": "jacinthsail.internal.queries.settings",
}


def __getattr__(name: str) -> object:
    """Return a part of the public API, imported on first use."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name]), name)
