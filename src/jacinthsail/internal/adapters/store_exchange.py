"""Exchanges published items with the other nodes of the failure domain."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from jacinthsail.internal.adapters.boot_clock import boot_time
from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.adapters.peer_link import PeerLink
from jacinthsail.internal.adapters.peer_links import PeerLinks
from jacinthsail.internal.adapters.wire import encode_frame
from jacinthsail.internal.commands.fleet import record_store_served
from jacinthsail.internal.commands.freshness import (
    forget_probes,
    record_knowledge,
    record_probe,
    record_probe_reply,
)
from jacinthsail.internal.commands.store_sources import (
    add_source,
    record_report,
    record_source_lost,
    remove_source,
    set_followers,
    update_order,
    update_role,
)
from jacinthsail.internal.model.fleet import FleetState
from jacinthsail.internal.model.freshness import FreshnessState
from jacinthsail.internal.model.messages import (
    FollowStore,
    FreshnessProbe,
    FreshnessReply,
    StoreReport,
    UnfollowStore,
)
from jacinthsail.internal.model.store import StoreCopy, StoreReadState, StoreUpdate
from jacinthsail.internal.model.store_sources import StoreRole, StoreSources
from jacinthsail.internal.queries.freshness import (
    MAX_STATED_AGE_S,
    is_probe_due,
    knowledge_age_s,
    proven_as_of,
)
from jacinthsail.internal.queries.store_copy import (
    changes_since,
    follows,
    is_newer,
    is_plausible,
    no_changes,
)
from jacinthsail.internal.queries.store_reading import is_read_current, read_age_s
from jacinthsail.internal.queries.store_sources import (
    REPORT_INTERVAL_S,
    SOURCES_CHECK_INTERVAL_S,
    source_changes,
)

_LOG = logging.getLogger("jacinthsail.store")

# Applies an update that leaves no gap; the second argument names its source for the log.
ApplyUpdate = Callable[[StoreUpdate, str], None]


class StoreExchange:
    """Follows other nodes, and reports to the nodes that follow this one.

    ``reads_store`` is set while this node has to read the store itself, and ``is_reader`` while
    it does so for other nodes.
    """

    def __init__(
        self,
        copy: StoreCopy,
        reading: StoreReadState,
        sources: StoreSources,
        fleet: FleetState,
        freshness: FreshnessState,
        random: Random,
    ) -> None:
        self.copy = copy
        self.freshness = freshness
        self.reading = reading
        self.sources = sources
        self.fleet = fleet
        self.own_host = fleet["location"].host
        self.random = random
        self.fallback_jitter = random.random()
        self.followers: set[PeerConnection] = set()
        self.reads_store = asyncio.Event()
        self.is_reader = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.links: PeerLinks | None = None
        self.apply_update: ApplyUpdate | None = None
        self.reported_at = 0.0
        self.reported_current = False
        self.timer: asyncio.TimerHandle | None = None

    def start(self, links: PeerLinks, apply_update: ApplyUpdate) -> None:
        """Begin to follow other nodes."""
        self.links = links
        self.apply_update = apply_update
        self._check()

    def close(self) -> None:
        """Stop the periodic check."""
        if self.timer is not None:
            self.timer.cancel()

    def _check(self) -> None:
        self.timer = self.loop.call_later(SOURCES_CHECK_INTERVAL_S, self._check)
        self.follow_preferred()
        now = self.loop.time()
        is_current = is_read_current(self.reading, now)
        if now - self.reported_at >= REPORT_INTERVAL_S or is_current != self.reported_current:
            self.report(no_changes(self.copy))
        if self.needs_proof():
            self._probe_sources()

    def needs_proof(self) -> bool:
        """Return whether this node has to prove how old its knowledge is."""
        manifest = self.fleet["manifest"]
        if self.freshness["revocation_s"] is None or manifest is None:
            return False
        return manifest.accounts is not None

    def _probe_sources(self) -> None:
        assert self.links is not None
        boot_now = boot_time()
        for host in self.sources["sources"]:
            if is_probe_due(self.freshness, host, boot_now):
                probe = FreshnessProbe(self.freshness["next_sequence"])
                record_probe(self.freshness, host, boot_now)
                self.links.link_to(host).send_control(probe)
        forget_probes(self.freshness, frozenset(self.sources["sources"]))

    def reply_to_probe(self, connection: PeerConnection, sequence: int) -> None:
        """State the age of this node's knowledge to a node that follows it."""
        age_s = knowledge_age_s(self.freshness, boot_time())
        connection.send(
            FreshnessReply(
                sequence,
                self.copy["era"],
                self.copy["revision"],
                age_s if age_s <= MAX_STATED_AGE_S else None,
            )
        )

    def receive_probe_reply(self, host: str, reply: FreshnessReply) -> None:
        """Take over the age that a source has proven, if this node knows as much as the source."""
        record_probe_reply(self.freshness, host)
        known = (self.copy["era"], self.copy["revision"])
        if reply.age_s is None or (reply.era, reply.revision) > known:
            return
        as_of = proven_as_of(self.freshness, host, reply.sequence, reply.age_s)
        if as_of is not None and reply.era == self.copy["era"]:
            record_knowledge(self.freshness, as_of)

    def follow_preferred(self) -> None:
        """Follow the sources that are preferred now, and decide whether to read the store."""
        assert self.links is not None
        now = self.loop.time()
        changes = source_changes(self.sources, self.reading, self.own_host, now)
        for host in changes.replace:
            _LOG.warning("store reader %s went silent; following another node", host)
            self._leave_silent_source(self.links.link_to(host))
            record_source_lost(self.sources, host, now)
        for host in changes.unfollow:
            self.links.link_to(host).send_control(UnfollowStore())
            remove_source(self.sources, host)
        for host in changes.follow:
            add_source(self.sources, host, now)
            self.links.link_to(host).open()
        self._decide_role(now)

    def _leave_silent_source(self, link: PeerLink) -> None:
        """Close the connection to a silent source, which is probably dead.

        The link itself decides about a connection with requests in flight.
        """
        if link.connection is not None and not link.pending_on(link.connection):
            link.connection.abort()
            return
        link.send_control(UnfollowStore())

    def _decide_role(self, now: float) -> None:
        previous = self.sources["role"]
        update_role(self.sources, self.reading, self.own_host, self.fallback_jitter, now)
        role = self.sources["role"]
        _set_event(self.reads_store, role is not StoreRole.FOLLOWER)
        _set_event(self.is_reader, role is StoreRole.READER)
        if previous is not role:
            _LOG.info(
                "role at the store: %s, previously %s; sources %s, %d followers",
                role,
                previous,
                ", ".join(self.sources["sources"]) or "none",
                len(self.followers),
            )

    def targets_changed(self) -> None:
        """Order the possible readers anew after the published targets changed."""
        update_order(self.sources, self.fleet)

    def link_opened(self, host: str) -> None:
        """Ask a source for its changes once the connection to it is open."""
        if self.links is not None and host in self.sources["sources"]:
            self.links.link_to(host).send_control(
                FollowStore(self.copy["revision"], self.copy["era"])
            )

    def link_lost(self, host: str) -> None:
        """Follow another node if the connection to a source was lost."""
        if host not in self.sources["sources"]:
            return
        _LOG.info("lost the connection to store reader %s", host)
        record_source_lost(self.sources, host, self.loop.time())
        if self.links is not None:
            self.loop.call_soon(self.follow_preferred)

    def receive_report(self, host: str, report: StoreReport) -> None:
        """Apply what a source has read, unless another source was faster."""
        update = report.update
        if host not in self.sources["sources"]:
            return
        if not is_plausible(self.copy, update):
            _LOG.error("store reader %s claims revision %d; refused", host, update.revision)
            return
        now = self.loop.time()
        record_report(self.sources, host, report.is_current, now)
        if report.read_age_s is not None:
            record_store_served(self.fleet, now - report.read_age_s)
        if not is_newer(self.copy, update):
            return
        if not follows(update, self.copy):
            self.link_opened(host)
            return
        assert self.apply_update is not None
        try:
            self.apply_update(update, host)
        except Exception:
            # The loop would close the connection, and with it the requests in flight on it.
            _LOG.exception("unexpected error while applying a report of %s", host)

    def add_follower(self, connection: PeerConnection, known: FollowStore) -> None:
        """Report to a node from now on, beginning with what it lacks."""
        self.followers.add(connection)
        set_followers(self.sources, len(self.followers))
        connection.send(self._report_with(self._changes_since(known)))
        self._decide_role(self.loop.time())

    def reply_once(self, connection: PeerConnection, known: FollowStore) -> None:
        """Report once to a node that cannot read the store and follows nobody yet."""
        if self.copy["revision"]:
            connection.send(self._report_with(self._changes_since(known)))

    def _changes_since(self, known: FollowStore) -> StoreUpdate:
        return changes_since(self.copy, known.known_era, known.known_revision)

    def ask_for_first_copy(self) -> None:
        """Ask a node that is connected to this one for its copy, while there is no other way.

        A node that starts while the store does not respond knows no peers, but peers connect to it.
        """
        assert self.links is not None
        connections = list(self.links.inbound)
        if connections and not self.copy["revision"]:
            self.random.choice(connections).send(FollowStore(0))

    def receive_first_copy(self, report: StoreReport) -> None:
        """Apply a peer's copy, unless this node has one or the store responds to it."""
        if self.copy["revision"] or not self.reading["failures"]:
            return
        assert self.apply_update is not None
        self.apply_update(report.update, "a connected node")

    def remove_follower(self, connection: PeerConnection) -> None:
        """Report to a node no longer."""
        if connection not in self.followers:
            return
        self.followers.discard(connection)
        set_followers(self.sources, len(self.followers))

    def report(self, update: StoreUpdate) -> None:
        """Send an update, which may be empty, to all followers."""
        self.reported_at = self.loop.time()
        self.reported_current = is_read_current(self.reading, self.reported_at)
        if not self.followers:
            return
        frame = encode_frame(self._report_with(update))
        for connection in tuple(self.followers):
            if connection.is_writable():
                connection.send_frame(frame, True)

    def _report_with(self, update: StoreUpdate) -> StoreReport:
        now = self.loop.time()
        return StoreReport(
            update, is_read_current(self.reading, now), read_age_s(self.reading, now)
        )


def _set_event(event: asyncio.Event, is_set: bool) -> None:
    if is_set:
        event.set()
        return
    event.clear()
