"""The service tree of a node that serves HTTP requests by host and path."""

import asyncio
import json
import logging
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple
from uuid import uuid4

import mode
from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, describe
from jacinthsail.internal.adapters.account_caps import AccountCaps
from jacinthsail.internal.adapters.boot_clock import boot_time
from jacinthsail.internal.adapters.caller_memory import CallerMemory
from jacinthsail.internal.adapters.entry import RequestRouter
from jacinthsail.internal.adapters.http_messages import (
    HttpRequest,
    HttpResponse,
    RequestHandle,
    ResponseCallback,
    ServerLimits,
)
from jacinthsail.internal.adapters.http_server import (
    SWEEP_INTERVAL_S,
    CallerServer,
)
from jacinthsail.internal.adapters.local_target import LocalTarget, TargetDialect
from jacinthsail.internal.adapters.open_request import CallerDialect
from jacinthsail.internal.adapters.operator_requests import where_question
from jacinthsail.internal.adapters.peer_links import PeerLinks
from jacinthsail.internal.adapters.request_metrics import AccountFigures, RequestMetrics
from jacinthsail.internal.adapters.store_exchange import StoreExchange
from jacinthsail.internal.adapters.store_follower import StoreClient, StoreFollower
from jacinthsail.internal.commands.fleet import (
    record_load,
    record_node_draining,
    record_node_started,
    record_target_unreachable,
)
from jacinthsail.internal.commands.freshness import set_revocation
from jacinthsail.internal.commands.pace import begin_pace
from jacinthsail.internal.commands.retry_budget import set_budget
from jacinthsail.internal.commands.store_reading import remove_unconfirmed_targets
from jacinthsail.internal.commands.target_queue import (
    set_blocked,
    set_cut_time,
    set_slots,
    set_target_draining,
    stop_accepting_requests,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.fleet_settings import FleetSettings
from jacinthsail.internal.model.lineage import LineageState
from jacinthsail.internal.model.messages import Hello
from jacinthsail.internal.queries.fleet_view import (
    is_leaving,
    local_target,
    new_fleet,
    target_count,
    targets_on_host,
)
from jacinthsail.internal.queries.freshness import knowledge_age_s, new_freshness, proves_keys
from jacinthsail.internal.queries.held_memory import (
    CALLERS_SHARE,
    max_caller_connections,
    new_held_memory,
)
from jacinthsail.internal.queries.retry_budget import new_retry_budget
from jacinthsail.internal.queries.stopping import stop_schedule
from jacinthsail.internal.queries.store_copy import new_store_copy
from jacinthsail.internal.queries.store_reading import new_read_state
from jacinthsail.internal.queries.store_sources import new_store_sources
from jacinthsail.internal.queries.target_queue import new_target_queue
from jacinthsail.internal.queries.where import NodeView, answer_where

_LOG = logging.getLogger("jacinthsail.node")

# Used until the first manifest sets the limits.
INITIAL_LIMITS = ServerLimits(16 * 1024, 16 * 1024 * 1024, 3.0, 15.0)

# Limits of the ports for readiness and metrics, whose requests have no body.
PROBE_LIMITS = ServerLimits(16 * 1024, 64 * 1024, 3.0, 15.0)

# A body is sent between nodes in a single frame, which limits its size.
MAX_BODY_BYTES = 16 * 1024 * 1024

# Slots assumed until the local target is published.
INITIAL_SLOTS = 64

# Peers close their connections to this node within a round trip, unless they are unreachable.
PEERS_CLOSE_S = 0.2

STOP_POLL_S = 0.05

# The settings file may change without a signal; reading it takes less than 1 ms.
SETTINGS_INTERVAL_S = 2.0


class PlatformDialects(NamedTuple):
    """The protocols of the platform's callers, targets and store."""

    callers: CallerDialect
    target: TargetDialect
    store: StoreClient


ReadSettings = Callable[[], Result[FleetSettings, ConfigurationError]]


class FleetNode(mode.Service):
    """A node that runs beside one target."""

    def __init__(
        self,
        settings: FleetSettings,
        dialects: PlatformDialects,
        read_settings: ReadSettings,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.read_settings = read_settings
        self.dialects = dialects

    async def on_first_start(self) -> None:
        """Build the state and open the ports, the port for callers last."""
        settings = self.settings
        incarnation = uuid4().hex
        self.is_draining = False
        self.has_finished = False
        self.was_target_listed = False
        self.fleet = new_fleet(settings.location, settings.heartbeat_s)
        self.reading = new_read_state()
        self.copy = new_store_copy()
        self.sources = new_store_sources()
        self.freshness = new_freshness(settings.revocation_s)
        self.exchange = StoreExchange(
            self.copy,
            self.reading,
            self.sources,
            self.fleet,
            self.freshness,
            Random(f"{incarnation} exchange"),
        )
        self.target_queue = new_target_queue(INITIAL_SLOTS, settings.paces_target)
        self.paced_incarnation = ""
        self.retry_budget = new_retry_budget()
        self.lineage = LineageState(running={}, next_ticket=1)
        self.local_target = LocalTarget(
            self.target_queue,
            self.lineage,
            self.retry_budget,
            self.dialects.target,
            settings.target.host,
            settings.target.port,
        )
        location = settings.location
        self.links = PeerLinks(
            Hello(location.name, incarnation, location.failure_domain, location.service),
            settings.peers.port,
            self.local_target,
            {"control_bytes_sent": 0, "control_bytes_received": 0},
            self._on_load,
            self._on_peer_started,
            self._on_peer_draining,
            self._on_peer_silent,
            self.exchange,
            settings.memory,
        )
        self.caps = AccountCaps(self.fleet, self.freshness, settings.caps, self.links)
        self.links.caps = self.caps
        self.metrics = RequestMetrics()
        self.router = RequestRouter(
            self.fleet,
            self.lineage,
            location,
            self.dialects.callers,
            self.local_target,
            self.links,
            self.metrics,
            self.freshness,
            self.caps,
            Random(incarnation),
        )
        memory = CallerMemory(
            new_held_memory(settings.memory, CALLERS_SHARE),
            max_caller_connections(settings.memory),
        )
        self.callers_port = CallerServer(self.router.serve, INITIAL_LIMITS, memory)
        self.readiness_port = CallerServer(self._serve_readiness, PROBE_LIMITS, memory)
        self.metrics_port = CallerServer(self._serve_metrics, PROBE_LIMITS, memory)
        follower = StoreFollower(
            self.dialects.store,
            self.reading,
            self.copy,
            self.fleet,
            self.freshness,
            self.exchange,
            Random(f"{incarnation} store"),
            self.apply_published,
        )
        await self.links.listen(settings.peers.host)
        follower.share_with(self.links)
        await self.add_runtime_dependency(follower)
        await self.readiness_port.listen(settings.readiness.host, settings.readiness.port)
        await self.metrics_port.listen(settings.metrics.host, settings.metrics.port)
        await self.callers_port.listen(settings.callers.host, settings.callers.port)
        _LOG.info("node %s started for service %s", location.name, location.service)

    def _on_load(self, incarnation: str, report: LoadReport) -> None:
        record_load(self.fleet, incarnation, report, asyncio.get_running_loop().time())

    def _on_peer_started(self, host: str) -> None:
        record_node_started(self.fleet, targets_on_host(self.fleet, host))

    def _on_peer_draining(self, host: str) -> None:
        now = asyncio.get_running_loop().time()
        record_node_draining(self.fleet, targets_on_host(self.fleet, host), now)

    def _on_peer_silent(self, host: str) -> None:
        now = asyncio.get_running_loop().time()
        for incarnation in targets_on_host(self.fleet, host):
            record_target_unreachable(self.fleet, incarnation, now)

    def apply_published(self) -> None:
        """Apply the published state of the local target, the limits and the number of targets."""
        budget = self.settings.budget
        targets = target_count(self.fleet, self.settings.location.service)
        set_budget(self.retry_budget, budget.ratio, budget.window_s, budget.extra / targets)
        target = local_target(self.fleet, self.settings.location)
        if target is not None:
            self.was_target_listed = True
            set_slots(self.target_queue, target.slots)
            if target.incarnation != self.paced_incarnation:
                self.paced_incarnation = target.incarnation
                begin_pace(self.target_queue["pace"], target.slots, target.warm_up_s <= 0.0)
        is_draining = is_leaving(target, self.was_target_listed)
        if is_draining != self.target_queue["draining"]:
            _LOG.info("local target %s", "is leaving" if is_draining else "accepts requests again")
            set_target_draining(self.target_queue, is_draining)
        if is_draining:
            self.local_target.refuse_all_queued(Reason.DRAINING)
        self.caps.published_changed()
        manifest = self.fleet["manifest"]
        if manifest is not None:
            set_blocked(self.target_queue, False)
            self.callers_port.limits = ServerLimits(
                manifest.limits.max_header_bytes,
                min(MAX_BODY_BYTES, manifest.limits.max_body_bytes),
                manifest.limits.header_timeout_s,
                manifest.limits.idle_timeout_s,
            )

    def is_ready(self) -> bool:
        """Return whether new callers may be routed to this node."""
        return self.fleet["manifest"] is not None and not self.is_draining

    def _serve_readiness(
        self, request: HttpRequest, respond: ResponseCallback
    ) -> RequestHandle | None:
        respond(HttpResponse(200 if self.is_ready() else 503, b"", b""))
        return None

    def _serve_metrics(
        self, request: HttpRequest, respond: ResponseCallback
    ) -> RequestHandle | None:
        question = where_question(request.url)
        if question is not None:
            answer = answer_where(question, self._node_view(), asyncio.get_running_loop().time())
            body = json.dumps(answer).encode()
            respond(HttpResponse(200, b"Content-Type: application/json\r\n", body))
            return None
        content, headers = self.metrics.page(
            self.fleet,
            self.target_queue,
            self.reading,
            self.sources,
            self.links.traffic,
            self._account_figures(),
            {"callers": self.callers_port.memory.memory, "peers": self.links.held},
        )
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        respond(HttpResponse(200, lines.encode("ascii"), content))
        return None

    def _node_view(self) -> NodeView:
        # The answer must not use up random numbers, and be that of the next real request.
        random = Random()
        random.setstate(self.router.random.getstate())
        boot_now = boot_time()
        return NodeView(
            fleet=self.fleet,
            location=self.router.location,
            queue=self.target_queue,
            retry_budget=self.retry_budget,
            cap_home=self.caps.home,
            knowledge_age_s=knowledge_age_s(self.freshness, boot_now),
            is_key_proven=proves_keys(self.freshness, boot_now),
            random=random,
        )

    def _account_figures(self) -> AccountFigures:
        manifest = self.fleet["manifest"]
        accounts = None if manifest is None else manifest.accounts
        return AccountFigures(
            listed=None if accounts is None else len(accounts.by_name),
            buckets=len(self.caps.home["buckets"]),
            knowledge_age_s=knowledge_age_s(self.freshness, boot_time()),
            era=self.copy["era"],
            outcomes=self.caps.counts,
        )

    def reload_settings(self) -> None:
        """Reload the settings; changes to ports take effect at the next start."""
        match self.read_settings():
            case Success(settings):
                if settings == self.settings:
                    return
                self.settings = settings
                self.router.location = settings.location
                self.caps.settings = settings.caps
                set_revocation(self.freshness, settings.revocation_s)
                self.apply_published()
                _LOG.info("settings reloaded; service %s", settings.location.service)
            case Failure(error):
                _LOG.error("settings rejected, keeping the previous ones: %s", describe(error))

    @mode.Service.task
    async def follow_settings(self) -> None:
        """Reload settings that changed without a signal."""
        while not self.should_stop:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            try:
                self.reload_settings()
            except Exception:
                # An exception of a task ends the process.
                _LOG.exception("unexpected error while reading the settings again")

    @mode.Service.task
    async def sweep(self) -> None:
        """Close connections of idle or slow callers; remove targets not published again."""
        loop = asyncio.get_running_loop()
        # A stopping node still serves, so its callers and its targets are watched until the end.
        while not self.has_finished:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                self._sweep_once(loop.time())
            except Exception:
                # An exception of a task ends the process.
                _LOG.exception("unexpected error while sweeping connections and targets")

    def _sweep_once(self, now: float) -> None:
        remove_unconfirmed_targets(self.fleet, now)
        for port in (self.callers_port, self.readiness_port, self.metrics_port):
            port.sweep(now)

    async def on_stop(self) -> None:
        """Refuse new requests for the local target, finish those in progress, then close."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        schedule = stop_schedule(started, self.settings.grace_s)
        _LOG.info("stop requested; %d requests in progress", len(self.router.open_requests))
        self.is_draining = True
        self.callers_port.is_closing = True
        self.links.is_stopping = True
        set_cut_time(self.target_queue, schedule.cuts_at)
        await asyncio.sleep(max(0.0, schedule.target_refuses_at - loop.time()))
        stop_accepting_requests(self.target_queue)
        self.links.announce_draining()
        self.local_target.refuse_all_queued(Reason.DRAINING)
        await asyncio.sleep(max(0.0, schedule.refuses_at - loop.time()))
        self.router.stop_accepting(schedule.nested_calls_end_at)
        # The local target may still make nested calls for the requests in progress.
        await self._wait_while(self._is_target_at_work, schedule.stops_listening_at)
        self.callers_port.close_listener()
        # Idle connections stay open: a request that is on its way gets a refusal, which its caller
        # may act on, and not a reset, which leaves open whether it was executed.
        await self._wait_while(self._has_work, schedule.cuts_at)
        self.callers_port.close_all()
        self.links.finish_inbound()
        peers_until = min(schedule.exits_at, loop.time() + PEERS_CLOSE_S)
        await self._wait_while(self.links.has_inbound_connections, peers_until)
        self.has_finished = True
        await self._wait_while(self.callers_port.has_unsent_responses, schedule.exits_at)

    async def _wait_while(self, condition: Callable[[], bool], until: float) -> None:
        """Wait while a condition holds, at most until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until and condition():
            await asyncio.sleep(STOP_POLL_S)

    def _is_target_at_work(self) -> bool:
        return self.target_queue["in_flight"] > 0

    def _has_work(self) -> bool:
        if self.router.open_requests or self.target_queue["in_flight"]:
            return True
        return self.links.has_inbound_requests()

    async def on_shutdown(self) -> None:
        """Close every port and connection."""
        self.exchange.close()
        self.links.close()
        self.local_target.close()
        for port in (self.callers_port, self.readiness_port, self.metrics_port):
            port.close_listener()
            port.abort_all()
        _LOG.info("node %s stopped", self.settings.location.name)
