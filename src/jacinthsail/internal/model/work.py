"""Kinds of work at a target."""

from enum import StrEnum


class WorkKind(StrEnum):
    """Whether a request starts a chain of calls or is nested in one."""

    NEW = "new"
    NESTED = "nested"
