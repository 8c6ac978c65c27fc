"""The service tree of a node that serves HTTP requests by host and path."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple
from uuid import uuid4

import mode
from returns.result import Failure, Result, Success

from jacinthsail.errors import ConfigurationError, describe
from jacinthsail.internal.adapters.entry import CallerDialect, Entry
from jacinthsail.internal.adapters.http_server import (
    SWEEP_S,
    CallerPort,
    HttpRequest,
    HttpResponse,
    RequestHandle,
    Respond,
    ServerLimits,
)
from jacinthsail.internal.adapters.local_target import OwnTarget, TargetDialect
from jacinthsail.internal.adapters.peer_links import PeerLinks
from jacinthsail.internal.adapters.request_metrics import RequestMetrics
from jacinthsail.internal.adapters.store_follower import StoreClient, StoreFollower
from jacinthsail.internal.commands.fleet import (
    record_load,
    record_node_started,
    record_node_stops,
)
from jacinthsail.internal.commands.retry_budget import set_budget
from jacinthsail.internal.commands.store_reading import end_lapses
from jacinthsail.internal.commands.target_queue import (
    set_blocked,
    set_slots,
    set_target_leaving,
    stop_new_work,
)
from jacinthsail.internal.model.calls import Reason
from jacinthsail.internal.model.fleet import LoadReport
from jacinthsail.internal.model.fleet_settings import FleetSettings
from jacinthsail.internal.model.lineage import LineageState
from jacinthsail.internal.model.messages import Hello
from jacinthsail.internal.queries.fleet_view import (
    new_fleet,
    own_target,
    target_count,
    targets_on,
)
from jacinthsail.internal.queries.retry_budget import new_repeats
from jacinthsail.internal.queries.store_reading import new_reading
from jacinthsail.internal.queries.target_queue import new_backlog

_LOG = logging.getLogger("jacinthsail.node")

# Until the first manifest names the limits.
FIRST_LIMITS = ServerLimits(16 * 1024, 16 * 1024 * 1024, 3.0, 15.0)

# A body travels between nodes in one frame.
MAX_BODY_BYTES = 16 * 1024 * 1024

# Slots assumed until the own target is listed.
FIRST_SLOTS = 64

# The end of the grace period is kept free for closing what is left.
STOP_MARGIN_S = 1.0

# Callers are asked every second whether the node is ready and leave after two misses; until then
# they send requests that have to be served.
READINESS_NOTICE_S = 2.6

# Until the port is about to close, calls for the own target are taken as before. Refusing them for
# the whole notice would leave its slots unused for longer than the restart takes.
HANDOVER_S = 0.5

# Requests at the own target have nearly all ended by then; longer waits would let in new callers.
OWN_CALLS_S = 0.6

STOP_POLL_S = 0.05

# The settings file may change without a signal; reading it costs less than 1 ms.
SETTINGS_INTERVAL_S = 2.0


class PlatformDialects(NamedTuple):
    """How callers, targets and the store of the platform speak."""

    callers: CallerDialect
    target: TargetDialect
    store: StoreClient


ReadSettings = Callable[[], Result[FleetSettings, ConfigurationError]]


class FleetNode(mode.Service):
    """One node beside one target."""

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
        """Build the state and open the ports, the callers' port last."""
        settings = self.settings
        incarnation = uuid4().hex
        self.is_leaving = False
        self.fleet = new_fleet(settings.place)
        self.reading = new_reading()
        self.backlog = new_backlog(FIRST_SLOTS)
        self.repeats = new_repeats()
        self.lineage = LineageState(running={}, next_ticket=1)
        self.own_target = OwnTarget(
            self.backlog,
            self.lineage,
            self.repeats,
            self.dialects.target,
            settings.target.host,
            settings.target.port,
        )
        place = settings.place
        self.links = PeerLinks(
            Hello(place.name, incarnation, place.failure_domain, place.service),
            settings.peers.port,
            self.own_target,
            {"control_bytes_sent": 0, "control_bytes_received": 0},
            self._on_load,
            self._on_peer_started,
            self._on_peer_stops,
        )
        self.metrics = RequestMetrics()
        self.entry = Entry(
            self.fleet,
            self.lineage,
            place,
            self.dialects.callers,
            self.own_target,
            self.links,
            self.metrics,
            Random(incarnation),
        )
        self.callers_port = CallerPort(self.entry.serve, FIRST_LIMITS)
        self.readiness_port = CallerPort(self._serve_readiness, FIRST_LIMITS)
        self.metrics_port = CallerPort(self._serve_metrics, FIRST_LIMITS)
        follower = StoreFollower(
            self.dialects.store,
            self.reading,
            self.fleet,
            Random(f"{incarnation} store"),
            self.on_published,
        )
        await self.add_runtime_dependency(follower)
        await self.links.listen(settings.peers.host)
        await self.readiness_port.listen(settings.readiness.host, settings.readiness.port)
        await self.metrics_port.listen(settings.metrics.host, settings.metrics.port)
        await self.callers_port.listen(settings.callers.host, settings.callers.port)
        _LOG.info("node %s serves beside service %s", place.name, place.service)

    def _on_load(self, incarnation: str, report: LoadReport) -> None:
        record_load(self.fleet, incarnation, report, asyncio.get_running_loop().time())

    def _on_peer_started(self, host: str) -> None:
        record_node_started(self.fleet, targets_on(self.fleet, host))

    def _on_peer_stops(self, host: str) -> None:
        now = asyncio.get_running_loop().time()
        record_node_stops(self.fleet, targets_on(self.fleet, host), now)

    def on_published(self) -> None:
        """Apply what is published of the own target, the limits and the size of the fleet."""
        budget = self.settings.budget
        targets = target_count(self.fleet, self.settings.place.service)
        set_budget(self.repeats, budget.ratio, budget.window_s, budget.extra / targets)
        own = own_target(self.fleet, self.settings.place)
        if own is not None:
            set_slots(self.backlog, own.slots)
        is_leaving = own is not None and own.leaving
        if is_leaving != self.backlog["draining"]:
            _LOG.info("own target %s", "leaves" if is_leaving else "takes work again")
            set_target_leaving(self.backlog, is_leaving)
        if is_leaving:
            self.own_target.refuse_waiting(Reason.DRAINING)
        manifest = self.fleet["manifest"]
        if manifest is not None:
            set_blocked(self.backlog, False)
            self.callers_port.limits = ServerLimits(
                manifest.limits.max_header_bytes,
                min(MAX_BODY_BYTES, manifest.limits.max_body_bytes),
                manifest.limits.header_timeout_s,
                manifest.limits.idle_timeout_s,
            )

    def is_ready(self) -> bool:
        """Tell whether new callers may be sent here."""
        return self.fleet["manifest"] is not None and not self.is_leaving

    def _serve_readiness(self, request: HttpRequest, respond: Respond) -> RequestHandle | None:
        respond(HttpResponse(200 if self.is_ready() else 503, b"", b""))
        return None

    def _serve_metrics(self, request: HttpRequest, respond: Respond) -> RequestHandle | None:
        content, headers = self.metrics.page(self.fleet, self.backlog, self.reading)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        respond(HttpResponse(200, lines.encode("ascii"), content))
        return None

    def reload_settings(self) -> None:
        """Read the settings again; ports stay as they are until the next start."""
        match self.read_settings():
            case Success(settings):
                if settings == self.settings:
                    return
                self.settings = settings
                self.entry.place = settings.place
                self.on_published()
                _LOG.info("settings were read again; service %s", settings.place.service)
            case Failure(error):
                _LOG.error("settings were not taken, the earlier ones stay: %s", describe(error))

    @mode.Service.task
    async def follow_settings(self) -> None:
        """Take over settings that changed without a signal."""
        while not self.should_stop:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            self.reload_settings()

    @mode.Service.task
    async def sweep(self) -> None:
        """Close connections of idle or slow callers; forget targets that did not come back."""
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            await asyncio.sleep(SWEEP_S)
            end_lapses(self.fleet, loop.time())
            self.callers_port.sweep(loop.time())
            self.readiness_port.sweep(loop.time())
            self.metrics_port.sweep(loop.time())

    async def on_stop(self) -> None:
        """Take no new work for the own target, serve what is here, then close."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        latest = started + self.settings.grace_s - STOP_MARGIN_S
        _LOG.info("stop was requested; %d requests are in progress", len(self.entry.open))
        closes_at = min(latest, started + READINESS_NOTICE_S)
        self.is_leaving = True
        self.callers_port.is_closing = True
        await asyncio.sleep(max(0.0, closes_at - HANDOVER_S - loop.time()))
        stop_new_work(self.backlog)
        self.links.say_goodbye()
        self.own_target.refuse_waiting(Reason.DRAINING)
        await asyncio.sleep(max(0.0, closes_at - loop.time()))
        # The own target may still make calls for the requests that it finishes.
        own_calls_until = min(latest, loop.time() + OWN_CALLS_S)
        while loop.time() < own_calls_until and self.backlog["in_flight"]:
            await asyncio.sleep(STOP_POLL_S)
        self.callers_port.close_listener()
        self.callers_port.close_idle()
        while loop.time() < latest and self._has_work():
            await asyncio.sleep(STOP_POLL_S)

    def _has_work(self) -> bool:
        if self.entry.open or self.backlog["in_flight"]:
            return True
        return self.links.has_inbound_work()

    async def on_shutdown(self) -> None:
        """Close every port and connection."""
        self.links.close()
        self.own_target.close()
        for port in (self.callers_port, self.readiness_port, self.metrics_port):
            port.close_listener()
            port.abort_all()
        _LOG.info("node %s has stopped", self.settings.place.name)
