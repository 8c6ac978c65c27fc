"""A node's view of the targets: distance, failure rate, suspicion and unconfirmed removals."""

from jacinthsail.internal.model.fleet import (
    EntryVersion,
    FleetState,
    KindLoad,
    LoadReport,
    NodeLocation,
    TargetEntry,
    TargetView,
)
from jacinthsail.internal.model.manifest import Manifest
from jacinthsail.internal.model.membership import Distance
from jacinthsail.internal.queries.backoff import backoff_s

# Assumed for a target that has not reported yet.
INITIAL_LOAD = KindLoad(0.05, 0.0)

# How long a target is avoided after a failed call; doubles with each consecutive failure.
FIRST_SUSPICION_S = 0.5
MAX_SUSPICION_DURATION_S = 4.0

# Weight of one outcome in the moving average of the failure rate, and the time in which the rate
# halves without outcomes, so that a recovered target receives calls again.
FAILURE_RATE_WEIGHT = 0.08
FAILURE_RATE_HALF_LIFE_S = 2.0

# How long a target is avoided after its node has announced that it is draining: the node closes its
# ports half a second later, and a restart takes about a second. Calls that arrive too early are
# refused without having executed.
DRAINING_PERIOD_S = 1.5

# How long a target is avoided after its node has reported that it is not ready: a node that has not
# read the store yet is ready about 10 ms after the store responds.
NOT_READY_PERIOD_S = 0.4

# Lower rates do not change the choice of a target, so they count as 0.
MIN_FAILURE_RATE = 0.01

# Entries that expired during an outage of the store are listed again within this time after it.
STORE_RECOVERY_PERIOD_S = 2.0

# An entry expires after three heartbeat intervals without a heartbeat, of which one may have passed
# before the outage. A shorter outage expires no entry.
MIN_OUTAGE_HEARTBEATS = 2

DEFAULT_HEARTBEAT_S = 1.5

# Removed targets whose last version is kept, so that a late write does not bring them back.
MAX_REMOVED_VERSIONS = 1_000


def new_fleet(location: NodeLocation, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> FleetState:
    """Return the fleet state of a node that has read nothing from the store yet.

    ``heartbeat_s`` is the interval at which targets renew their entries.
    """
    return FleetState(
        location=location,
        manifest=None,
        routes={},
        split_positions={},
        targets={},
        entry_versions={},
        by_service={},
        unconfirmed_removals={},
        min_outage_s=MIN_OUTAGE_HEARTBEATS * heartbeat_s,
        store_served_at=float("-inf"),
        store_recovered_at=float("-inf"),
        views={},
    )


def new_target_view(entry: TargetEntry) -> TargetView:
    """Return the initial view of a target that this node has not called yet."""
    return TargetView(
        report=LoadReport(0, 0, entry.slots, INITIAL_LOAD, INITIAL_LOAD),
        reported_at=float("-inf"),
        in_flight=0,
        sent_since_report=0,
        failures=0,
        suspected_until=0.0,
        mean_failure_rate=0.0,
        mean_failure_rate_at=0.0,
        draining_until=0.0,
    )


def distance_to(entry: TargetEntry, location: NodeLocation) -> Distance:
    """Return the distance of a target from a node."""
    if entry.failure_domain == location.failure_domain:
        return Distance.OWN_DOMAIN
    if entry.region == location.region:
        return Distance.OWN_REGION
    return Distance.OTHER_REGION


def failure_rate(view: TargetView, now: float) -> float:
    """Return the failure rate of a target, which decays while it receives no calls."""
    if not view["mean_failure_rate"]:
        return 0.0
    return float(
        view["mean_failure_rate"]
        * 0.5 ** ((now - view["mean_failure_rate_at"]) / FAILURE_RATE_HALF_LIFE_S)
    )


def failure_rate_after(view: TargetView, failed: bool, now: float) -> float:
    """Return the failure rate after one more outcome."""
    rate = failure_rate(view, now)
    after = rate + FAILURE_RATE_WEIGHT * ((1.0 if failed else 0.0) - rate)
    return after if after > MIN_FAILURE_RATE else 0.0


def suspicion_s(failures: int) -> float:
    """Return how long a target is avoided after a number of consecutive failures."""
    return backoff_s(FIRST_SUSPICION_S, MAX_SUSPICION_DURATION_S, failures)


def targets_on_host(fleet: FleetState, host: str) -> tuple[str, ...]:
    """Return the incarnations of the targets on the VM with this address."""
    return tuple(entry.incarnation for entry in fleet["targets"].values() if entry.host == host)


def local_target(fleet: FleetState, location: NodeLocation) -> TargetEntry | None:
    """Return the newest entry at the address of this node's target, or None.

    After a replacement, the entry of the former target may still be listed as draining.
    """
    found = None
    for entry in fleet["targets"].values():
        if entry.host != location.host or entry.port != location.target_port:
            continue
        if found is None or found.is_draining:
            found = entry
    return found


def is_leaving(target: TargetEntry | None, was_listed: bool) -> bool:
    """Return whether the local target gets no more requests, given its newest entry.

    Some targets never report that they are draining; their entry is removed. Before the first entry
    of a target, its node has just started.
    """
    return was_listed if target is None else target.is_draining


def manifest_version(fleet: FleetState) -> int:
    """Return the version of the manifest in force, or 0 if there is none yet."""
    manifest = fleet["manifest"]
    return 0 if manifest is None else manifest.version


def is_newer_manifest(fleet: FleetState, manifest: Manifest) -> bool:
    """Return whether a manifest replaces the one in force; versions never decrease."""
    return fleet["manifest"] is None or manifest.version > fleet["manifest"].version


def is_outage(fleet: FleetState, served_at: float) -> bool:
    """Return whether the store served nobody for so long that entries expired, until ``served_at``.

    A failed read of one node is no outage while the store serves another node.
    """
    if fleet["store_served_at"] == float("-inf"):
        return False
    return served_at - fleet["store_served_at"] >= fleet["min_outage_s"]


def removals_confirmed_at(fleet: FleetState) -> float:
    """Return the time from which a removed entry is known not to be listed again."""
    return fleet["store_recovered_at"] + STORE_RECOVERY_PERIOD_S


def is_outdated(fleet: FleetState, incarnation: str, version: EntryVersion) -> bool:
    """Return whether an entry was written before one that is known already.

    A write of a target may reach the store late, after one that says that the target is leaving. A
    target that starts again under the same name counts anew, which only the time of its start
    distinguishes from a late write.
    """
    known = fleet["entry_versions"].get(incarnation)
    if known is None or version.started_at_ms is None:
        return False
    if known.started_at_ms != version.started_at_ms:
        return False
    return version.sequence < known.sequence


def surplus_entry_versions(fleet: FleetState) -> tuple[str, ...]:
    """Return the targets whose entries were removed long ago, if too many are kept."""
    surplus = len(fleet["entry_versions"]) - len(fleet["targets"]) - MAX_REMOVED_VERSIONS
    if surplus <= 0:
        return ()
    removed = [name for name in fleet["entry_versions"] if name not in fleet["targets"]]
    return tuple(removed[:surplus])


def expired_unconfirmed_removals(fleet: FleetState, now: float) -> tuple[str, ...]:
    """Return the targets whose removal is certain, since they were not listed again in time."""
    return tuple(
        name for name, removal in fleet["unconfirmed_removals"].items() if now >= removal.until
    )


def target_count(fleet: FleetState, service: str) -> int:
    """Return the number of targets of a service, and at least 1."""
    groups = fleet["by_service"].get(service, {})
    return max(1, sum(len(group) for group in groups.values()))
