"""Derives the outcome of a call from the outcomes of its attempts."""

from functools import singledispatch

from jacinthsail.internal.model.calls import Answered, NotRun, Outcome, Reason, Unknown


@singledispatch
def final_outcome(last: object, earlier: tuple[Outcome, ...]) -> Outcome:
    """Return the outcome of a call, given those of its last attempt and of the earlier ones.

    A response or an unknown outcome of the last attempt is the outcome of the call. "Not run" holds
    for the call only if it holds for every attempt.
    """
    raise NotImplementedError(f"no rule for {type(last).__name__}; register one")


@final_outcome.register
def _(last: Answered | Unknown, earlier: tuple[Outcome, ...]) -> Outcome:
    return last


@final_outcome.register
def _(last: NotRun, earlier: tuple[Outcome, ...]) -> Outcome:
    for attempt in reversed(earlier):
        indeterminate = indeterminate_outcome(attempt)
        if indeterminate is not None:
            return indeterminate._replace(retries_left=last.retries_left)
    if earlier and last.reason is Reason.NO_TARGET:
        # All VMs were attempted; the last refusal helps the caller more than "no target".
        return earlier[-1]._replace(retries_left=last.retries_left)
    return last


@singledispatch
def outcome_at_target(outcome: object, has_nested: bool) -> Outcome:
    """Return the outcome of a call at the target, which may have made nested calls for it."""
    assert isinstance(outcome, tuple)
    return outcome  # type: ignore[return-value]


@outcome_at_target.register
def _(outcome: NotRun, has_nested: bool) -> Outcome:
    if has_nested:
        # A target that passes on the response to a nested call reports "not run" of that call.
        return Unknown(outcome.reason, outcome.retries_left)
    return outcome


@singledispatch
def indeterminate_outcome(attempt: object) -> Unknown | None:
    """Return the outcome of an attempt that may have executed, or None if it is determinate."""
    return None


@indeterminate_outcome.register
def _(attempt: Unknown) -> Unknown | None:
    return attempt
