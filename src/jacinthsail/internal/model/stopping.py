"""The steps of a planned stop."""

from typing import NamedTuple


class StopSchedule(NamedTuple):
    """When each step of a stop happens at the latest, in seconds of the event loop's clock.

    The local target gets no new request from ``target_refuses_at``, and no caller is served from
    ``refuses_at``. The port for callers closes at ``stops_listening_at``; calls that the local
    target makes for the requests in progress end at ``nested_calls_end_at``. What is still in
    progress at ``cuts_at`` is cut, and the process ends by ``exits_at``.
    """

    target_refuses_at: float
    refuses_at: float
    stops_listening_at: float
    nested_calls_end_at: float
    cuts_at: float
    exits_at: float
