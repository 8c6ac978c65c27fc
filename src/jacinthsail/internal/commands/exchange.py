"""Changes to a request at the node where it arrived."""

from jacinthsail.internal.model.exchange import Exchange


def record_send(exchange: Exchange, incarnation: str) -> None:
    """Remember where the request went."""
    exchange["current"] = incarnation


def record_offer(exchange: Exchange) -> None:
    """Count a target that was offered the request."""
    exchange["sent"] += 1


def record_refusal(exchange: Exchange) -> None:
    """Remember a target whose node did not take the request."""
    exchange["tried"].add(exchange["current"])
    exchange["refusals"] += 1
    exchange["current"] = ""


def record_failure(exchange: Exchange, may_have_run: bool) -> None:
    """Remember a target that failed the request."""
    exchange["tried"].add(exchange["current"])
    exchange["unsettled"] = exchange["unsettled"] or may_have_run
    exchange["current"] = ""
