"""Decodes single values of the platform's messages, and rejects values out of range."""

import ipaddress
import math
import re

from jacinthsail.errors import MalformedMessage
from jacinthsail.internal.model.settings import Endpoint

MAX_PORT = 65_535

# Longer names are no names of the platform; the limit also bounds log lines.
MAX_TEXT_LENGTH = 200

# Longer times have no use in an overload control layer and overflow timers.
MAX_DURATION_S = 7 * 24 * 3600.0

# Part of the description of a malformed value that is logged.
MAX_DETAIL_LENGTH = 200

_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
# Printable ASCII without spaces, which is safe in a header of a request.
_TOKEN = re.compile(r"[\x21-\x7e]+", re.ASCII)

# Raised by the functions below for a value of the wrong type or format.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)

_UNITS_S = (("ms", 0.001), ("s", 1.0))


def malformed(source: str, error: Exception) -> MalformedMessage:
    """Return the failure for an exception, with a detail that is short enough for a log line."""
    detail = f"{type(error).__name__}: {error}"
    return MalformedMessage(source[:MAX_DETAIL_LENGTH], detail[:MAX_DETAIL_LENGTH])


def duration_s(value: object) -> float:
    """Return a duration in the platform's notation, converted to seconds.

    >>> duration_s("1500ms")
    1.5
    """
    if not isinstance(value, str):
        raise TypeError("not a duration with a unit, such as 1500ms")
    for unit, factor in _UNITS_S:
        number = value.removesuffix(unit)
        if number == value or not _NUMBER.fullmatch(number):
            continue
        seconds = float(number) * factor
        if seconds > MAX_DURATION_S:
            raise ValueError(f"{value!r} is longer than {MAX_DURATION_S:.0f} s")
        return seconds
    raise ValueError(f"{value[:40]!r} is not a duration with a unit, such as 1500ms")


def endpoint(value: object) -> Endpoint:
    """Return the endpoint for an address of the form host:port, where host is an IPv4 address.

    A host name is rejected because looking it up would block.
    """
    host, _, port = token(value).rpartition(":")
    ipaddress.IPv4Address(host)
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{port!r} is not a port from 1 to {MAX_PORT}")
    return Endpoint(host, int(port))


def non_empty_text(value: object) -> str:
    """Return the value if it is a non-empty string that can be encoded and is not too long."""
    if not isinstance(value, str) or not value:
        raise TypeError("not a non-empty string")
    if len(value) > MAX_TEXT_LENGTH:
        raise ValueError(f"longer than {MAX_TEXT_LENGTH} characters")
    value.encode()
    return value


def token(value: object) -> str:
    """Return the value if it is a string that can be sent as the value of a header."""
    text = non_empty_text(value)
    if not _TOKEN.fullmatch(text):
        raise ValueError(f"{text!r} contains spaces or characters other than printable ASCII")
    return text


def finite_number(value: object) -> float:
    """Return the value as a float if it is a finite number that is not negative."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError("not a number")
    number = float(value)
    if not math.isfinite(number) or number < 0.0:
        raise ValueError(f"{number} is not a finite number from 0")
    return number


def bounded_integer(value: object, minimum: int, maximum: int) -> int:
    """Return the value if it is an integer within the bounds."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError("not an integer")
    if not minimum <= value <= maximum:
        raise ValueError(f"not an integer from {minimum} to {maximum}")
    return value


def is_token(value: object) -> bool:
    """Return whether a value is a string that can be sent as the value of a header."""
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        return False
    return _TOKEN.fullmatch(value) is not None
