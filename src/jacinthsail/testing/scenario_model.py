"""Data of the scenario language: what a file says."""

from typing import Any, NamedTuple

from jacinthsail.testing.mesh import MeshVm


class Mix(NamedTuple):
    """One kind of call in a load; ``share`` is its weight.

    ``key`` is none, timed or issued. ``then`` lists nested calls, each a table with service, class
    and its own ``then``. ``repeats`` sends the same call with the same key that often at once.
    """

    service: str
    call_class: str
    share: int = 1
    key: str = "none"
    then: tuple[Any, ...] = ()
    repeats: int = 1


class Load(NamedTuple):
    """Send calls at a constant rate; with ``background`` the next steps run meanwhile.

    Clients send a call again up to ``client_retries`` times, with the same key and a new request
    id, after ``retry_after_s``, when its outcome is not an answer. With ``rotates`` each repeat
    goes through the next entry. Clients hang up after ``patience_s``, unless that is 0.
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
    """Wait until every load in the background has ended."""


class Target(NamedTuple):
    """Change fields of the behaviour of the targets of some VMs."""

    vms: tuple[str, ...]
    behaviour: dict[str, Any]
    label: str = ""


class Link(NamedTuple):
    """Change fields of the behaviour of some VMs' links.

    The role ``link`` is in front of a VM's relay port, ``platform-link`` between its node and the
    platform.
    """

    vms: tuple[str, ...]
    behaviour: dict[str, Any]
    role: str = "link"
    label: str = ""


class Cut(NamedTuple):
    """Reset the connections through the links of some VMs, and refuse new ones."""

    vms: tuple[str, ...]
    role: str = "link"
    label: str = ""


class Silence(NamedTuple):
    """Discard what passes the links of some VMs on connections that stay open."""

    vms: tuple[str, ...]
    role: str = "link"
    new_too: bool = False
    label: str = ""


class Heal(NamedTuple):
    """Let the links of some VMs pass everything again."""

    vms: tuple[str, ...]
    role: str = "link"
    label: str = ""


class Partition(NamedTuple):
    """Cut two groups of VMs off from each other, and ``off_platform`` from the platform.

    With ``silent`` bytes are discarded instead, also on new connections.
    """

    one_side: tuple[str, ...]
    other_side: tuple[str, ...]
    off_platform: tuple[str, ...] = ()
    silent: bool = False
    label: str = ""


class Freeze(NamedTuple):
    """Stop processes without ending them."""

    vms: tuple[str, ...]
    role: str = "node"
    label: str = ""


class Resume(NamedTuple):
    """Let frozen processes run on."""

    vms: tuple[str, ...]
    role: str = "node"
    label: str = ""


class Kill(NamedTuple):
    """End processes without notice."""

    vms: tuple[str, ...]
    role: str = "node"
    label: str = ""


class Start(NamedTuple):
    """Start processes that have ended."""

    vms: tuple[str, ...]
    role: str = "node"
    label: str = ""


class Stop(NamedTuple):
    """Ask a node to end, wait until it has, and note its exit code."""

    vm: str
    timeout_s: float = 10.0
    label: str = ""


class Leave(NamedTuple):
    """Publish some VMs as leaving."""

    vms: tuple[str, ...]
    label: str = ""


class Remove(NamedTuple):
    """Publish the VM lists without some VMs; their processes are not told."""

    vms: tuple[str, ...]
    label: str = ""


class Relist(NamedTuple):
    """Publish some VMs that were removed as newly listed."""

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

    A ``broken`` text is one that nodes must reject, so the version before it has to stay in force.
    """

    section: str
    text: str = ""
    replace: tuple[Any, ...] = ()
    broken: bool = False
    label: str = ""


class Pause(NamedTuple):
    """Let time pass."""

    seconds: float


class WaitSections(NamedTuple):
    """Wait until the nodes of some VMs have the newest published sections in force."""

    vms: tuple[str, ...]
    timeout_s: float = 10.0


class WaitReady(NamedTuple):
    """Wait until the nodes of some VMs say that they are ready."""

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
    """No idempotency key has more than one execution over all targets."""

    at_least_keys: int = 1


class OutcomesTrue(NamedTuple):
    """A call told as not run has no execution; one told as answered has one, if it had no key.

    For a call with a key, "not run" also says that no earlier call with the key ran.
    """


class AnswersWhole(NamedTuple):
    """Every answered call got exactly the answer to its own request."""

    at_least: int = 1


class ShedOrder(NamedTuple):
    """In a load, calls of the class ``first`` are shed and ``last`` is answered more often."""

    label: str
    first: str
    last: str
    last_answered_at_least: float
    first_shed_at_least: float = 0.01


class ExecutionsPerRequest(NamedTuple):
    """No request id has more executions than this at one service."""

    service: str
    at_most: int
    label: str = ""


class ExecutionsRatio(NamedTuple):
    """Executions of a service per request of a load stay at most at this ratio.

    With ``any_request`` executions count whatever request id they carry.
    """

    label: str
    service: str
    at_most: float
    any_request: bool = False


class WastedShare(NamedTuple):
    """Of the executions for the calls of a load, this share at most is for calls not answered."""

    label: str
    at_most: float


class AnsweredShare(NamedTuple):
    """Of the calls of a load, this share is answered with status 200.

    Only calls sent from ``from_s`` after the start of the load count.
    """

    label: str
    at_least: float
    from_s: float = 0.0


class GoodputRatio(NamedTuple):
    """Whole requests per second in one load are at least this part of those in another one."""

    label: str
    reference: str
    at_least: float
    from_s: float = 0.0


class NoUnknown(NamedTuple):
    """No call of a load is unknown, cut off or refused by the node's port."""

    label: str


class ExitedCleanly(NamedTuple):
    """A stopped node ended by itself with exit code 0."""

    vm: str


class NoNewWork(NamedTuple):
    """The target of a VM starts nothing from ``within_s`` after the labelled step."""

    vm: str
    after: str
    within_s: float


class SectionsInForce(NamedTuple):
    """At the end every node has the newest published version of every section in force."""

    vms: tuple[str, ...]


class NeverReverted(NamedTuple):
    """No node was ever seen with an older version of a section than before."""


class InForceWithin(NamedTuple):
    """Nodes have the version of a labelled edit, or a newer one, in force within a time.

    The time counts from the labelled step ``since``, or from the edit.
    """

    vms: tuple[str, ...]
    edit: str
    within_s: float
    since: str = ""


class ConfirmedWithin(NamedTuple):
    """Nodes know within a time of a labelled step that their copies were current after it."""

    vms: tuple[str, ...]
    after: str
    within_s: float


class RejectionReported(NamedTuple):
    """At the end every node names the section of a broken edit as rejected, with its errors."""

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

    A VM that has just started runs only timed keys that are born up to 15 s, by the platform's
    clock, after its first confirmation. With ``platform_behind_s`` that clock is behind by so much,
    so that a short scenario reaches such births.
    """

    vms: tuple[MeshVm, ...]
    sections: dict[str, str]
    behaviour: dict[str, Any]
    disabled: tuple[str, ...]
    disabled_on: dict[str, Any]
    links: bool
    platform_behind_s: float


class Twin(NamedTuple):
    """The same scenario with mechanisms off, in which these checks must not be met."""

    disabled: tuple[str, ...]
    fails: tuple[str, ...]


class Scenario(NamedTuple):
    """One scenario; ``twin`` is None when it has no negative control."""

    name: str
    guards: str
    mesh: MeshPlan
    steps: tuple[Step, ...]
    checks: tuple[Check, ...]
    twin: Twin | None
