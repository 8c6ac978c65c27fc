"""Changes to a request at the node where it arrived."""

from jacinthsail.internal.model.request_state import Exchange, TargetAnswer
from jacinthsail.internal.model.retry_budget import Repeat


def record_send(exchange: Exchange, incarnation: str) -> None:
    """Remember where the request went."""
    exchange["current"] = incarnation


def record_failed_answer(exchange: Exchange, answer: TargetAnswer) -> None:
    """Keep the answer of a target that failed, for when no other target can be asked."""
    exchange["failed_answer"] = answer


def record_repeat(exchange: Exchange, repeat: Repeat) -> None:
    """Remember what the next arrival of the request counts as."""
    exchange["repeat"] = repeat


def record_refusal(exchange: Exchange) -> None:
    """Remember a target whose node did not take the request."""
    exchange["tried"].add(exchange["current"])
    exchange["refusals"] += 1
    exchange["current"] = ""


def record_failure(exchange: Exchange, may_have_run: bool) -> None:
    """Remember a target that failed the request."""
    exchange["offered"].add(exchange["current"])
    exchange["tried"].add(exchange["current"])
    exchange["unsettled"] = exchange["unsettled"] or may_have_run
    exchange["current"] = ""


def record_target_refusal(exchange: Exchange) -> None:
    """Remember a target that said that it did not run the request; it may be asked again."""
    exchange["offered"].add(exchange["current"])
    exchange["bounces"] += 1
    exchange["current"] = ""
