"""Exchanges copies of published items with gossip peers."""

import asyncio
from functools import singledispatch
from random import Random
from typing import Any

import mode

from jacinthsail.internal.adapters.connection import PeerConnection
from jacinthsail.internal.adapters.relay import RelayPool, handle_message
from jacinthsail.internal.commands.replication import (
    choose_gossip_peers,
    confirm_versions,
    install_item,
    record_answer,
    record_complete_offer,
    record_digest_match,
    record_digest_mismatch,
    record_gossip_attempt,
    record_offer_sent,
    settle_start,
)
from jacinthsail.internal.model.membership import VmEntry, VmStatus
from jacinthsail.internal.model.messages import Ask, Heartbeat, ItemCopy, Offer
from jacinthsail.internal.model.replication import DigestMatch, DigestMismatch, Item
from jacinthsail.internal.model.settings import Endpoint, Mechanism
from jacinthsail.internal.model.state import NodeState
from jacinthsail.internal.queries.membership import gossip_peers
from jacinthsail.internal.queries.replication import (
    copies_of,
    decide_ask,
    decide_counter_offer,
    decide_item,
    decide_on_digest,
    has_compared_with_peers,
    is_news,
    offer_of_item,
    retry_delay,
    versions_held,
)

# How often the connections to gossip peers are looked after.
UPKEEP_S = 0.5


class Gossip(mode.Service):
    """Keeps connections to gossip peers open and tells them of changed items."""

    def __init__(self, state: NodeState, pool: RelayPool, random: Random, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.node_state = state
        self.pool = pool
        self.random = random
        self.chosen: list[VmEntry] = []
        self.chosen_at_change = -1

    @mode.Service.task
    async def keep_connections(self) -> None:
        """Open what is missing, each peer with its own bounded and jittered delay."""
        if Mechanism.PEER_LEARNING in self.node_state["settings"].disabled:
            return
        while not self.should_stop:
            self._choose()
            await asyncio.gather(*(self._open(entry) for entry in self._due()))
            settle_when_compared(self.node_state)
            await self.sleep(UPKEEP_S)

    def _choose(self) -> None:
        store = self.node_state["store"]
        settings = self.node_state["settings"]
        if self.chosen_at_change == store["membership_changes"]:
            return
        self.chosen_at_change = store["membership_changes"]
        self.chosen = gossip_peers(store, settings)
        if not store["vm_lists"]:
            self.chosen = [seed_entry(seed) for seed in settings.seeds]
        names = frozenset(entry.vm for entry in self.chosen)
        now = asyncio.get_running_loop().time()
        choose_gossip_peers(self.node_state["gossip"], names, bool(store["vm_lists"]), now)
        # A connection to a former gossip peer closes once no call uses it.
        for vm, connection in self.pool.connections.items():
            connection.keeps_open = vm in names

    def _due(self) -> list[VmEntry]:
        now = asyncio.get_running_loop().time()
        due = []
        for entry in self.chosen:
            connection = self.pool.connections.get(entry.vm)
            if connection is not None and connection.is_open():
                connection.keeps_open = True
                continue
            if now >= self.node_state["gossip"]["next_attempt"].get(entry.vm, 0.0):
                due.append(entry)
        return due

    async def _open(self, entry: VmEntry) -> None:
        gossip = self.node_state["gossip"]
        connection = await self.pool.connection_to(entry)
        now = asyncio.get_running_loop().time()
        failures = gossip["failures"].get(entry.vm, 0)
        next_attempt = now + retry_delay(failures, self.random)
        record_gossip_attempt(gossip, entry.vm, next_attempt, connection is not None)
        if connection is not None:
            offer_all(self.pool, connection, entry.vm)

    def spread(self, item: Item) -> None:
        """Offer one changed item that came from the platform."""
        spread_item(self.pool, item, None)


def seed_entry(seed: Endpoint) -> VmEntry:
    """Return an entry by which a seed can be reached before any list is known.

    It names no failure domain, since only the address of the VM is known.
    """
    name = f"seed {seed.host}:{seed.port}"
    return VmEntry(name, seed.host, 0, seed.port, "", "", "", VmStatus.LIVE, 0)


def settle_when_compared(state: NodeState) -> None:
    """Let a node that has just started serve once it has compared its copies with its peers."""
    if state["gossip"]["start_settled"] or state["gossip"]["chosen_at"] is None:
        return
    if has_compared_with_peers(state):
        settle_start(state["gossip"])


def offer_all(pool: RelayPool, connection: PeerConnection, vm: str) -> None:
    """Offer every version held here."""
    state = pool.node_state
    record_offer_sent(state["gossip"], vm, asyncio.get_running_loop().time())
    connection.send(Offer(versions_held(state["store"]), complete=True))


def spread_item(pool: RelayPool, item: Item, source: PeerConnection | None) -> None:
    """Offer one changed item to the gossip peers, except to the one that brought it."""
    for vm in pool.node_state["gossip"]["chosen"]:
        connection = pool.connections.get(vm)
        if connection is None or connection is source or not connection.is_open():
            continue
        connection.send(offer_of_item(item))


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
        offer_all(pool, connection, connection.peer_vm)


@handle_message.register
def _(message: Offer, pool: RelayPool, connection: PeerConnection) -> None:
    state = pool.node_state
    if Mechanism.PEER_LEARNING in state["settings"].disabled:
        return
    ask = decide_ask(state["store"], message, state["settings"].disabled)
    if ask.names:
        connection.send(ask)
    if message.complete or message.is_answer:
        record_answer(state["gossip"], connection.peer_vm, message.versions)
        settle_when_compared(state)
    if not message.complete:
        return
    record_complete_offer(state["gossip"])
    connection.send(decide_counter_offer(state["store"], message))


@handle_message.register
def _(message: Ask, pool: RelayPool, connection: PeerConnection) -> None:
    for item in copies_of(pool.node_state["store"], message):
        if not connection.has_room():
            # The peer asks again after the next complete offer.
            return
        connection.send(ItemCopy(item))


@handle_message.register
def _(message: ItemCopy, pool: RelayPool, connection: PeerConnection) -> None:
    state = pool.node_state
    decision = decide_item(state["store"], message.item, state["settings"].disabled)
    install_item(state, decision, asyncio.get_running_loop().time())
    settle_when_compared(state)
    if is_news(decision):
        spread_item(pool, message.item, connection)
