"""Serves the requests of callers: routes them, sends them and returns the response."""

import asyncio
from random import Random

from returns.result import Failure, Success

from jacinthsail.internal.adapters.account_caps import AccountCaps
from jacinthsail.internal.adapters.boot_clock import boot_time
from jacinthsail.internal.adapters.decision_log import log_request
from jacinthsail.internal.adapters.http_messages import (
    HttpRequest,
    HttpResponse,
    RequestHandle,
    ResponseCallback,
)
from jacinthsail.internal.adapters.local_target import LocalTarget
from jacinthsail.internal.adapters.open_request import CallerDialect, OpenRequest
from jacinthsail.internal.adapters.peer_links import PeerLinks
from jacinthsail.internal.adapters.request_metrics import RequestMetrics
from jacinthsail.internal.commands.fleet import (
    advance_split,
    record_load,
)
from jacinthsail.internal.model.accounts import Account, KeyCheck
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import (
    FleetState,
    NodeLocation,
)
from jacinthsail.internal.model.freshness import FreshnessState
from jacinthsail.internal.model.lineage import LineageState
from jacinthsail.internal.model.request_state import (
    AcceptRequest,
    RequestInfo,
    RespondLocally,
)
from jacinthsail.internal.queries.accounts import (
    identify_account,
    is_store_recent,
)
from jacinthsail.internal.queries.freshness import proves_keys
from jacinthsail.internal.queries.lineage import find_parent
from jacinthsail.internal.queries.manifest_routes import decide_entry
from jacinthsail.internal.queries.stopping import decide_entry_while_stopping
from jacinthsail.internal.queries.target_queue import load_report

STATUS_BAD_REQUEST = 400


class RequestRouter:
    """Accepts the requests of callers and tracks those in progress."""

    def __init__(
        self,
        fleet: FleetState,
        lineage: LineageState,
        location: NodeLocation,
        dialect: CallerDialect,
        local_target: LocalTarget,
        links: PeerLinks,
        metrics: RequestMetrics,
        freshness: FreshnessState,
        caps: AccountCaps,
        random: Random,
    ) -> None:
        self.fleet = fleet
        self.freshness = freshness
        self.caps = caps
        self.lineage = lineage
        self.location = location
        self.dialect = dialect
        self.local_target = local_target
        self.links = links
        self.metrics = metrics
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.open_requests: set[OpenRequest] = set()
        self.ends_at: float | None = None

    def stop_accepting(self, ends_at: float) -> None:
        """Refuse new requests from now on; nested calls are accepted until ``ends_at``."""
        self.ends_at = ends_at

    def serve(self, request: HttpRequest, respond: ResponseCallback) -> RequestHandle | None:
        """Serve one request; ``respond`` is called once, unless the caller disconnects."""
        now = self.loop.time()
        match self.dialect.parse_request_info(request):
            case Success(request_info):
                return self._start(request, request_info, respond, now)
            case Failure(error):
                log_request("refused", "", Reason.MALFORMED_REQUEST, now, detail=error.detail)
                self.metrics.count("", STATUS_BAD_REQUEST, Reason.MALFORMED_REQUEST, 0.0)
                head_lines = self.dialect.local_response_lines(None, STATUS_BAD_REQUEST, 0.0)
                respond(HttpResponse(STATUS_BAD_REQUEST, head_lines, b""))
        return None

    def _start(
        self, request: HttpRequest, request_info: RequestInfo, respond: ResponseCallback, now: float
    ) -> RequestHandle | None:
        parent = find_parent(self.lineage, request_info.parent_id)
        decision = decide_entry(self.fleet, request_info, now)
        manifest = self.fleet["manifest"]
        if manifest is not None and manifest.accounts is not None:
            check = self.check_keys(now)
            is_nested = parent is not None
            decision = identify_account(decision, manifest, request_info, is_nested, check)
        if self.ends_at is not None:
            is_nested = parent is not None
            decision = decide_entry_while_stopping(decision, is_nested, self.ends_at, now)
        if isinstance(decision, RespondLocally):
            if parent is not None and decision.reason is Reason.NOT_READY:
                # Requests that the target runs now fail at their first nested call.
                self.local_target.block_admission()
            self.refuse(request_info, decision, respond, "", now)
            return None
        if decision.account is not None and decision.account.cap is not None:
            capped = CappedRequest(self, request, request_info, decision, respond, now)
            capped.token_wait = self.caps.acquire(decision.account, capped.on_token)
            return capped
        return self.open(request, request_info, decision, respond, now)

    def open(
        self,
        request: HttpRequest,
        request_info: RequestInfo,
        accepted: AcceptRequest,
        respond: ResponseCallback,
        arrived_at: float,
    ) -> RequestHandle:
        """Send an accepted request to a target."""
        advance_split(self.fleet, accepted.route)
        open_request = OpenRequest(self, request, request_info, accepted, respond, arrived_at)
        self.open_requests.add(open_request)
        open_request.send(self.loop.time())
        return open_request

    def refuse(
        self,
        request_info: RequestInfo,
        refusal: RespondLocally,
        respond: ResponseCallback,
        account: str,
        now: float,
    ) -> None:
        """Respond to a request that is not sent to any target."""
        log_request(
            "refused",
            request_info.request_id,
            refusal.reason,
            now,
            status=refusal.status,
            parent=request_info.parent_id,
            account=account,
        )
        self.metrics.count("", refusal.status, refusal.reason, 0.0)
        head_lines = self.dialect.local_response_lines(
            request_info, refusal.status, refusal.retry_after_s
        )
        respond(HttpResponse(refusal.status, head_lines, b""))

    def check_keys(self, now: float) -> KeyCheck:
        """Return how far the keys that this node knows can be relied on."""
        return KeyCheck(proves_keys(self.freshness, boot_time()), is_store_recent(self.fleet, now))

    def account_name(self, account: Account | None) -> str | None:
        """Return the name to send to the target, or None if callers have no accounts."""
        manifest = self.fleet["manifest"]
        if manifest is None or manifest.accounts is None:
            return None
        return "" if account is None else account.name

    def record_local_load(self, incarnation: str, now: float) -> None:
        """Update the load of the target if it is the local one, which no peer reports."""
        target = self.fleet["targets"].get(incarnation)
        if target is not None and target.host == self.location.host:
            record_load(self.fleet, incarnation, load_report(self.local_target.queue), now)


class CappedRequest:
    """A request of an account with a cap, which waits for a token before it is sent."""

    __slots__ = (
        "entry",
        "request",
        "request_info",
        "accepted",
        "respond",
        "arrived_at",
        "token_wait",
        "handle",
    )

    def __init__(
        self,
        entry: RequestRouter,
        request: HttpRequest,
        request_info: RequestInfo,
        accepted: AcceptRequest,
        respond: ResponseCallback,
        arrived_at: float,
    ) -> None:
        self.entry = entry
        self.request = request
        self.request_info = request_info
        self.accepted = accepted
        self.respond = respond
        self.arrived_at = arrived_at
        self.token_wait: RequestHandle | None = None
        self.handle: RequestHandle | None = None

    def on_token(self, refusal: RespondLocally | None) -> None:
        """Send the request if it has a token, and refuse it otherwise."""
        if refusal is not None:
            assert self.accepted.account is not None
            now = self.entry.loop.time()
            account = self.accepted.account.name
            self.entry.refuse(self.request_info, refusal, self.respond, account, now)
            return
        self.handle = self.entry.open(
            self.request, self.request_info, self.accepted, self.respond, self.arrived_at
        )

    def cancel(self) -> None:
        """Abandon the request because its caller disconnected."""
        if self.handle is not None:
            self.handle.cancel()
            return
        if self.token_wait is not None:
            self.token_wait.cancel()
