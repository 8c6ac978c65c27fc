"""Delays that grow with consecutive failures."""

# Bounds the exponent: the number of failures is unbounded, and a float overflows after about 1,000
# doublings.
MAX_DOUBLINGS = 30


def backoff_s(initial_s: float, longest_s: float, failures: int) -> float:
    """Return the delay after a number of consecutive failures.

    It doubles with each failure after the first:

        >>> backoff_s(0.1, 0.5, 1), backoff_s(0.1, 0.5, 2), backoff_s(0.1, 0.5, 5000)
        (0.1, 0.2, 0.5)
    """
    return min(longest_s, initial_s * 2.0 ** min(failures - 1, MAX_DOUBLINGS))
