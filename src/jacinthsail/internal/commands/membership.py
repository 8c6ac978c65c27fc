"""Changes to the budget of bytes sent across regions."""

from jacinthsail.internal.model.membership import LinkBudget
from jacinthsail.internal.queries.membership import link_tokens


def spend_link_budget(budget: LinkBudget, bytes_per_s: int, size: int, now: float) -> None:
    """Charge the bytes of one call or reply that crosses regions."""
    budget["tokens"] = link_tokens(budget, bytes_per_s, now) - size
    budget["updated_at"] = now
