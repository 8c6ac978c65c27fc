"""Data types only: immutable values as ``NamedTuple`` and mutable state as ``TypedDict``."""
