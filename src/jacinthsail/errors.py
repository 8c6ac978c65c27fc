"""Error types of jacinthsail.

Each type is a ``NamedTuple`` and is returned as the failure of a ``returns`` result. ``describe``
formats it as one line that names the error, its location and the remedy:

    >>> describe(MissingKey("node.toml", "node.vm"))
    'node.toml: node.vm is missing; add it'
"""

from functools import singledispatch
from typing import NamedTuple


class UnreadableFile(NamedTuple):
    """A file cannot be read."""

    source: str
    detail: str


class MalformedToml(NamedTuple):
    """A document is not valid TOML."""

    source: str
    detail: str


class MissingKey(NamedTuple):
    """A required key is missing."""

    source: str
    key: str


class UnknownKey(NamedTuple):
    """A key is not part of the schema."""

    source: str
    key: str


class WrongType(NamedTuple):
    """A value has another type than its key requires."""

    source: str
    key: str
    expected: str
    found: str


class OutOfRange(NamedTuple):
    """A number is outside its bounds."""

    source: str
    key: str
    found: str
    bound: str


class UnknownChoice(NamedTuple):
    """A string is none of the allowed choices."""

    source: str
    key: str
    found: str
    choices: tuple[str, ...]


class Conflict(NamedTuple):
    """Two values that are each valid contradict each other."""

    source: str
    key: str
    detail: str
    remedy: str


class MalformedMessage(NamedTuple):
    """A message from a peer, a caller or the platform cannot be decoded."""

    source: str
    detail: str


ConfigurationError = (
    UnreadableFile
    | MalformedToml
    | MissingKey
    | UnknownKey
    | WrongType
    | OutOfRange
    | UnknownChoice
    | Conflict
    | MalformedMessage
)


@singledispatch
def describe(error: object) -> str:
    """Return one line that names the error, its location and the remedy."""
    raise NotImplementedError(f"no description for {type(error).__name__}; register one")


@describe.register
def _(error: UnreadableFile) -> str:
    return f"{error.source}: cannot be read ({error.detail}); check the path and its permissions"


@describe.register
def _(error: MalformedToml) -> str:
    return f"{error.source}: not valid TOML ({error.detail}); correct the text at that place"


@describe.register
def _(error: MissingKey) -> str:
    return f"{error.source}: {error.key} is missing; add it"


@describe.register
def _(error: UnknownKey) -> str:
    return f"{error.source}: {error.key} is not a known key; remove it or correct its spelling"


@describe.register
def _(error: WrongType) -> str:
    return f"{error.source}: {error.key} is {error.found}; write {error.expected} instead"


@describe.register
def _(error: OutOfRange) -> str:
    return f"{error.source}: {error.key} is {error.found}; choose a value {error.bound}"


@describe.register
def _(error: UnknownChoice) -> str:
    choices = ", ".join(error.choices)
    return f"{error.source}: {error.key} is {error.found!r}; choose one of {choices}"


@describe.register
def _(error: Conflict) -> str:
    return f"{error.source}: {error.key}: {error.detail}; {error.remedy}"


@describe.register
def _(error: MalformedMessage) -> str:
    return f"message from {error.source} cannot be decoded ({error.detail}); check its version"
