"""Functions that change the state passed as first argument and return ``None``."""
