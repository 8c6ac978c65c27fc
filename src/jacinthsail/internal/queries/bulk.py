"""Decides which requests use the bulk connection to a peer.

The load it answers: uploads and downloads between two nodes that also exchange small requests.
"""

from jacinthsail.internal.model.request_state import RequestState

# Sending this many bytes takes 5 ms at 100 Mbit/s, for which a small request behind it waits.
BULK_BYTES = 64 * 1024


def is_bulk_request(request_state: RequestState, body_bytes: int) -> bool:
    """Return whether a request would hold up small ones, by its body or its response."""
    return request_state["route"].has_large_responses or body_bytes > BULK_BYTES
