"""Overload control layer for service call graphs.

The public surface is small: the two parsers that operators' own tools may want, and the typed
errors with their descriptions. Everything under ``internal`` may change between releases.

    >>> from jacinthsail import describe, parse_section
    >>> [describe(error) for error in parse_section("billing", 1, b"owner = 'a'").failure()]
    ['billing: services is missing; add it']
"""

from jacinthsail.errors import describe
from jacinthsail.internal.queries.documents import parse_section
from jacinthsail.internal.queries.settings import parse_settings

__version__ = "0.1.0"

__all__ = ["describe", "parse_section", "parse_settings"]
