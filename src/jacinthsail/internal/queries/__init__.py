"""Functions that derive decisions and views from state without changing it."""
