"""The complete state of a node that serves calls by service and call class."""

from typing import TypedDict

from jacinthsail.internal.model.admission import AdmissionState
from jacinthsail.internal.model.clock import ClockState
from jacinthsail.internal.model.draining import DrainState
from jacinthsail.internal.model.idempotency import LedgerState
from jacinthsail.internal.model.membership import Distance, LinkBudget
from jacinthsail.internal.model.peers import PeerState, TrafficState
from jacinthsail.internal.model.replication import (
    GossipState,
    PlatformState,
    StoreState,
)
from jacinthsail.internal.model.retries import RetryState
from jacinthsail.internal.model.settings import NodeSettings


class NodeState(TypedDict):
    """All state of a node; it is kept in memory only and lost when the process ends."""

    settings: NodeSettings
    clock: ClockState
    store: StoreState
    platform: PlatformState
    gossip: GossipState
    control: dict[Distance, TrafficState]
    link_budget: LinkBudget
    admission: AdmissionState
    retries: RetryState
    ledger: LedgerState
    peers: dict[str, PeerState]
    drain: DrainState
