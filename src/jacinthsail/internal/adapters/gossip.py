"""Replicates published items between gossip peers."""

import asyncio
from functools import singledispatch
from random import Random
from typing import Any

import mode

from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.adapters.relay import RelayPool, handle_message
from jacinthsail.internal.commands.replication import (
    choose_gossip_peers,
    complete_startup,
    confirm_versions,
    install_item,
    record_complete_offer,
    record_digest_match,
    record_digest_mismatch,
    record_gossip_attempt,
    record_offer_sent,
    record_startup_offer,
)
from jacinthsail.internal.model.membership import VmEntry, VmStatus
from jacinthsail.internal.model.messages import Heartbeat, ItemCopy, ItemRequest, VersionOffer
from jacinthsail.internal.model.replication import DigestMatch, DigestMismatch, Item
from jacinthsail.internal.model.settings import Endpoint, Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.membership import gossip_peers
from jacinthsail.internal.queries.replication import (
    decide_counter_offer,
    decide_item,
    decide_item_request,
    decide_on_digest,
    has_compared_with_peers,
    is_new_version,
    item_offer,
    known_versions,
    requested_copies,
    retry_delay,
)

# Interval at which the connections to gossip peers are checked.
CONNECTION_CHECK_S = 0.5


class Gossip(mode.Service):
    """Keeps connections to gossip peers open and offers changed items to them."""

    def __init__(self, state: NodeState, pool: RelayPool, random: Random, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.pool = pool
        self.random = random
        self.chosen_peers: list[VmEntry] = []
        self.chosen_at_membership_change = -1

    @mode.Service.task
    async def keep_connections(self) -> None:
        """Open missing connections; each peer has its own bounded, jittered retry delay."""
        if Mechanism.PEER_LEARNING in self.node_state["settings"].disabled:
            return
        while not self.should_stop:
            self._choose_peers()
            await asyncio.gather(
                *(self._open_connection(entry) for entry in self._peers_to_connect())
            )
            complete_startup_when_compared(self.node_state)
            await self.sleep(CONNECTION_CHECK_S)

    def _choose_peers(self) -> None:
        store = self.node_state["store"]
        settings = self.node_state["settings"]
        if self.chosen_at_membership_change == store["membership_changes"]:
            return
        self.chosen_at_membership_change = store["membership_changes"]
        self.chosen_peers = gossip_peers(store, settings)
        if not store["vm_lists"]:
            self.chosen_peers = [seed_entry(seed) for seed in settings.seeds]
        names = frozenset(entry.vm for entry in self.chosen_peers)
        now = asyncio.get_running_loop().time()
        choose_gossip_peers(self.node_state["gossip"], names, bool(store["vm_lists"]), now)
        # A connection to a former gossip peer closes once no call uses it.
        for vm, connection in self.pool.connections.items():
            connection.keeps_open = vm in names

    def _peers_to_connect(self) -> list[VmEntry]:
        now = asyncio.get_running_loop().time()
        due = []
        for entry in self.chosen_peers:
            connection = self.pool.connections.get(entry.vm)
            if connection is not None and connection.is_open():
                connection.keeps_open = True
                continue
            if now >= self.node_state["gossip"]["next_attempt"].get(entry.vm, 0.0):
                due.append(entry)
        return due

    async def _open_connection(self, entry: VmEntry) -> None:
        gossip = self.node_state["gossip"]
        connection = await self.pool.connection_to(entry)
        now = asyncio.get_running_loop().time()
        failures = gossip["failures"].get(entry.vm, 0)
        next_attempt = now + retry_delay(failures, self.random)
        record_gossip_attempt(gossip, entry.vm, next_attempt, connection is not None)
        if connection is not None:
            offer_all_versions(self.pool, connection, entry.vm)

    def broadcast_item(self, item: Item) -> None:
        """Offer a changed item that was read from the platform to all gossip peers."""
        offer_item(self.pool, item, None)


def seed_entry(seed: Endpoint) -> VmEntry:
    """Return an entry for connecting to a seed before any VM list is known.

    It has no failure domain, since only the address of the VM is known.
    """
    name = f"seed {seed.host}:{seed.port}"
    return VmEntry(name, seed.host, 0, seed.port, "", "", "", VmStatus.LIVE, 0)


def complete_startup_when_compared(state: NodeState) -> None:
    """Let a newly started node serve calls once it has compared its copies with its peers."""
    if state["gossip"]["startup_completed"] or state["gossip"]["chosen_at"] is None:
        return
    if has_compared_with_peers(state):
        complete_startup(state["gossip"])


def offer_all_versions(pool: RelayPool, connection: PeerConnection, vm: str) -> None:
    """Offer every version that this node holds."""
    state = pool.node_state
    record_offer_sent(state["gossip"], vm, asyncio.get_running_loop().time())
    connection.send(VersionOffer(known_versions(state["store"]), complete=True))


def offer_item(pool: RelayPool, item: Item, source: PeerConnection | None) -> None:
    """Offer a changed item to the gossip peers, except the one that sent it."""
    for vm in pool.node_state["gossip"]["chosen"]:
        connection = pool.connections.get(vm)
        if connection is None or connection is source or not connection.is_open():
            continue
        connection.send(item_offer(item))


# The handler registered by the relay, which the handler below extends.
_record_heartbeat = handle_message.dispatch(Heartbeat)


@handle_message.register
def _(message: Heartbeat, pool: RelayPool, connection: PeerConnection) -> None:
    _record_heartbeat(message, pool, connection)
    state = pool.node_state
    if Mechanism.PEER_LEARNING in state["settings"].disabled or not connection.peer_vm:
        return
    now = asyncio.get_running_loop().time()
    decision = decide_on_digest(state, connection.peer_vm, message, now)
    _act_on_digest(decision, pool, connection, now)


@singledispatch
def _act_on_digest(
    decision: object, pool: RelayPool, connection: PeerConnection, now: float
) -> None:
    raise NotImplementedError(f"no rule for {type(decision).__name__}; register one")


@_act_on_digest.register
def _(decision: DigestMatch, pool: RelayPool, connection: PeerConnection, now: float) -> None:
    state = pool.node_state
    record_digest_match(state["gossip"], connection.peer_vm)
    confirm_versions(state["store"], decision.as_of_ms, now)


@_act_on_digest.register
def _(decision: DigestMismatch, pool: RelayPool, connection: PeerConnection, now: float) -> None:
    record_digest_mismatch(pool.node_state["gossip"], connection.peer_vm, now)
    if decision.offer_all:
        offer_all_versions(pool, connection, connection.peer_vm)


@handle_message.register
def _(message: VersionOffer, pool: RelayPool, connection: PeerConnection) -> None:
    state = pool.node_state
    if Mechanism.PEER_LEARNING in state["settings"].disabled:
        return
    item_request = decide_item_request(state["store"], message, state["settings"].disabled)
    if item_request.names:
        connection.send(item_request)
    if message.complete or message.is_reply:
        record_startup_offer(state["gossip"], connection.peer_vm, message.versions)
        complete_startup_when_compared(state)
    if not message.complete:
        return
    record_complete_offer(state["gossip"])
    connection.send(decide_counter_offer(state["store"], message))


@handle_message.register
def _(message: ItemRequest, pool: RelayPool, connection: PeerConnection) -> None:
    for item in requested_copies(pool.node_state["store"], message):
        if not connection.is_writable():
            # The peer requests the rest after the next complete offer.
            return
        connection.send(ItemCopy(item))


@handle_message.register
def _(message: ItemCopy, pool: RelayPool, connection: PeerConnection) -> None:
    state = pool.node_state
    decision = decide_item(state["store"], message.item, state["settings"].disabled)
    install_item(state, decision, asyncio.get_running_loop().time())
    complete_startup_when_compared(state)
    if is_new_version(decision):
        offer_item(pool, message.item, connection)
