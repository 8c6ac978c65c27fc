"""Data types of the scenario language: steps, checks and the mesh of a scenario file."""

from typing import Any, NamedTuple

from jacinthsail.testing.mesh import MeshVm


class Mix(NamedTuple):
    """One kind of call in a load; ``share`` is its weight.

    ``key`` is none, timed or issued. ``then`` lists nested calls, each a table with service, class
    and optionally ``then``. ``repeats`` is how many times the call is sent concurrently with the
    same key.
    """

    service: str
    call_class: str
    share: int = 1
    key: str = "none"
    then: tuple[Any, ...] = ()
    repeats: int = 1


class Load(NamedTuple):
    """Send calls at a constant rate; with ``background`` the next steps run concurrently.

    The calls are sent in turn to the nodes of the VMs in ``entries``. Clients retry a call that is
    not answered up to ``client_retries`` times, after ``retry_after_s``, with the same key and a
    new request id. With ``rotates`` each copy and retry is sent to the next entry. Clients
    disconnect after ``patience_s``, unless that is 0.
    """

    label: str
    rate: float
    duration_s: float
    entries: tuple[str, ...]
    mix: tuple[Any, ...]
    client_retries: int = 0
    retry_after_s: float = 0.1
    rotates: bool = False
    patience_s: float = 0.0
    background: bool = False


class Call(NamedTuple):
    """Send one call and wait for its outcome."""

    label: str
    entry: str
    call: dict[str, Any]


class JoinLoads(NamedTuple):
    """Wait until every background load has ended."""


class Target(NamedTuple):
    """Change fields of the behaviour of the targets of these VMs."""

    vms: tuple[str, ...]
    behaviour: dict[str, Any]
    label: str = ""


class Link(NamedTuple):
    """Change fields of the behaviour of the links of these VMs.

    The role ``link`` is in front of a VM's relay port, ``platform-link`` between its node and the
    platform.
    """

    vms: tuple[str, ...]
    behaviour: dict[str, Any]
    role: str = "link"
    label: str = ""


class Cut(NamedTuple):
    """Reset the connections through the links of these VMs, and refuse new ones."""

    vms: tuple[str, ...]
    role: str = "link"
    label: str = ""


class Silence(NamedTuple):
    """Discard all bytes on open connections through the links of these VMs.

    With ``new_too`` bytes on new connections are discarded as well.
    """

    vms: tuple[str, ...]
    role: str = "link"
    new_too: bool = False
    label: str = ""


class Heal(NamedTuple):
    """Remove cuts and silence from the links of these VMs."""

    vms: tuple[str, ...]
    role: str = "link"
    label: str = ""


class Partition(NamedTuple):
    """Cut the links between two groups of VMs, and between ``off_platform`` and the platform.

    With ``silent`` bytes are discarded instead, also on new connections.
    """

    one_side: tuple[str, ...]
    other_side: tuple[str, ...]
    off_platform: tuple[str, ...] = ()
    silent: bool = False
    label: str = ""


class Freeze(NamedTuple):
    """Suspend processes with SIGSTOP."""

    vms: tuple[str, ...]
    role: str = "node"
    label: str = ""


class Resume(NamedTuple):
    """Resume frozen processes."""

    vms: tuple[str, ...]
    role: str = "node"
    label: str = ""


class Kill(NamedTuple):
    """Kill processes with SIGKILL."""

    vms: tuple[str, ...]
    role: str = "node"
    label: str = ""


class Start(NamedTuple):
    """Start processes that have exited."""

    vms: tuple[str, ...]
    role: str = "node"
    label: str = ""


class Stop(NamedTuple):
    """Send SIGTERM to a node, wait until it exits, and record its exit code."""

    vm: str
    timeout_s: float = 10.0
    label: str = ""


class Leave(NamedTuple):
    """Publish these VMs as leaving."""

    vms: tuple[str, ...]
    label: str = ""


class Remove(NamedTuple):
    """Publish the VM lists without these VMs; their processes keep running."""

    vms: tuple[str, ...]
    label: str = ""


class Relist(NamedTuple):
    """Publish removed VMs again, as newly listed."""

    vms: tuple[str, ...]
    label: str = ""


class Platform(NamedTuple):
    """Set the platform's mode: normal, down, slow, or stale by ``back`` revisions."""

    mode: str
    delay_ms: float = 0.0
    back: int = 0
    label: str = ""


class Edit(NamedTuple):
    """Publish a new text of a section; ``replace`` holds pairs of old and new text.

    Nodes must reject a ``broken`` text, so the version before it has to stay in force.
    """

    section: str
    text: str = ""
    replace: tuple[Any, ...] = ()
    broken: bool = False
    label: str = ""


class Pause(NamedTuple):
    """Wait for a fixed time."""

    seconds: float


class WaitSections(NamedTuple):
    """Wait until the nodes of these VMs have the newest published sections in force."""

    vms: tuple[str, ...]
    timeout_s: float = 10.0


class WaitReady(NamedTuple):
    """Wait until the nodes of these VMs report that they are ready."""

    vms: tuple[str, ...]
    timeout_s: float = 10.0


Step = (
    Load
    | Call
    | JoinLoads
    | Target
    | Link
    | Cut
    | Silence
    | Heal
    | Partition
    | Freeze
    | Resume
    | Kill
    | Start
    | Stop
    | Leave
    | Remove
    | Relist
    | Platform
    | Edit
    | Pause
    | WaitSections
    | WaitReady
)


class AtMostOnce(NamedTuple):
    """No idempotency key has more than one execution across all targets."""

    at_least_keys: int = 1


class OutcomesTrue(NamedTuple):
    """A call returned as not-run has no execution; one without a key returned as answered has one.

    For a call with a key, not-run also means that no earlier call with the key was executed.
    """


class AnswersWhole(NamedTuple):
    """Every answered call received the complete response to its own request."""

    at_least: int = 1


class ShedOrder(NamedTuple):
    """In a load, the class ``first`` is shed, and ``last`` is answered at least as often."""

    label: str
    first: str
    last: str
    last_answered_at_least: float
    first_shed_at_least: float = 0.01


class ExecutionsPerRequest(NamedTuple):
    """No request id has more than ``at_most`` executions at one service."""

    service: str
    at_most: int
    label: str = ""


class ExecutionsRatio(NamedTuple):
    """A service has at most this many executions per request of a load, on average.

    With ``any_request`` executions with other request ids count as well.
    """

    label: str
    service: str
    at_most: float
    any_request: bool = False


class WastedShare(NamedTuple):
    """At most this share of the executions for a load is for calls that are not answered."""

    label: str
    at_most: float


class AnsweredShare(NamedTuple):
    """At least this share of the calls of a load is answered with status 200.

    Only calls sent at least ``from_s`` after the start of the load count.
    """

    label: str
    at_least: float
    from_s: float = 0.0


class GoodputRatio(NamedTuple):
    """The requests answered per second in one load are at least this fraction of another load's."""

    label: str
    reference: str
    at_least: float
    from_s: float = 0.0


class NoUnknown(NamedTuple):
    """Every attempt of a load is answered or not-run, so none is unknown or lacks a response."""

    label: str


class ExitedCleanly(NamedTuple):
    """A stopped node exited with code 0."""

    vm: str


class NoNewWork(NamedTuple):
    """The target of a VM starts no execution later than ``within_s`` after the labelled step."""

    vm: str
    after: str
    within_s: float


class SectionsInForce(NamedTuple):
    """At the end every node has the newest published version of every section in force."""

    vms: tuple[str, ...]


class NeverReverted(NamedTuple):
    """No node ever reported an older version of a section than before."""


class InForceWithin(NamedTuple):
    """Nodes have the version of a labelled edit, or a newer one, in force within ``within_s``.

    The time counts from the step labelled ``since``, or from the edit if that is empty.
    """

    vms: tuple[str, ...]
    edit: str
    within_s: float
    since: str = ""


class ConfirmedWithin(NamedTuple):
    """Nodes confirm within ``within_s`` that their copies were current after a labelled step."""

    vms: tuple[str, ...]
    after: str
    within_s: float


class RejectionReported(NamedTuple):
    """At the end every node reports the section of a broken edit as rejected, with its errors."""

    vms: tuple[str, ...]
    edit: str


Check = (
    AtMostOnce
    | OutcomesTrue
    | AnswersWhole
    | ShedOrder
    | ExecutionsPerRequest
    | ExecutionsRatio
    | WastedShare
    | AnsweredShare
    | GoodputRatio
    | NoUnknown
    | ExitedCleanly
    | NoNewWork
    | SectionsInForce
    | NeverReverted
    | InForceWithin
    | ConfirmedWithin
    | RejectionReported
)


class MeshPlan(NamedTuple):
    """The mesh of a scenario.

    A VM that has just started executes only timed keys created after a floor, which is up to 15 s,
    by the platform's clock, after its first confirmation. ``platform_behind_s`` sets that clock
    back, so that keys are above the floor early enough in a short scenario.
    """

    vms: tuple[MeshVm, ...]
    sections: dict[str, str]
    behaviour: dict[str, Any]
    disabled: tuple[str, ...]
    disabled_on: dict[str, Any]
    links: bool
    platform_behind_s: float


class Twin(NamedTuple):
    """The same scenario with mechanisms disabled, in which these checks must not be met."""

    disabled: tuple[str, ...]
    fails: tuple[str, ...]


class Scenario(NamedTuple):
    """One scenario; ``twin`` is None if it has no negative control."""

    name: str
    guards: str
    mesh: MeshPlan
    steps: tuple[Step, ...]
    checks: tuple[Check, ...]
    twin: Twin | None
