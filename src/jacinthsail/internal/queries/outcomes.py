"""Settles what a caller is told of a call that was sent more than once."""

from functools import singledispatch

from jacinthsail.internal.model.calls import NotRun, Outcome, Reason, Unknown


@singledispatch
def settle(last: object, earlier: tuple[Outcome, ...]) -> Outcome:
    """Return the outcome of a call whose last attempt ended as given, after the earlier ones.

    An answer and an unknown outcome hold for the call as they hold for the attempt. "Not run" holds
    for the call only if it holds for each of its attempts.
    """
    assert isinstance(last, tuple)
    return last  # type: ignore[return-value]


@settle.register
def _(last: NotRun, earlier: tuple[Outcome, ...]) -> Outcome:
    for attempt in reversed(earlier):
        doubt = doubt_of(attempt)
        if doubt is not None:
            return doubt._replace(retries_left=last.retries_left)
    if earlier and last.reason is Reason.NO_TARGET:
        # Every VM was tried, and why they refused helps the caller more than that none is left.
        return earlier[-1]._replace(retries_left=last.retries_left)
    return last


@singledispatch
def doubt_of(attempt: object) -> Unknown | None:
    """Return the outcome of an attempt that may have run, or None when it is known."""
    return None


@doubt_of.register
def _(attempt: Unknown) -> Unknown | None:
    return attempt
