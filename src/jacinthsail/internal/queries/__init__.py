"""Functions that read state and return a value, and change nothing."""
