"""Data types of the overload measurement, and its two scaled-down deployments.

The ratios between the slots of the services are those on the design page. Service times are long,
so that neither nodes nor clients run out of CPU time at 10 times capacity.
"""

from typing import NamedTuple

from jacinthsail.testing.mesh import MeshVm

# Traffic of at least this importance counts towards important goodput.
MIN_IMPORTANT = 5

VMS_PER_SERVICE = 2


class ServiceShape(NamedTuple):
    """One service: slots and service time of each target, and the TOML text of its classes."""

    name: str
    slots: int
    service_time_ms: float
    classes: str


class Traffic(NamedTuple):
    """Requests of one class; ``rate`` is its share of capacity in requests per second."""

    service: str
    call_class: str
    importance: int
    rate: float
    then: tuple[object, ...] = ()


class Deployment(NamedTuple):
    """Services, traffic at capacity, and the deep service that the trigger slows down.

    The deep service is the last in the longest chain of nested calls and has the fewest slots.
    """

    name: str
    services: tuple[ServiceShape, ...]
    traffic: tuple[Traffic, ...]
    deep_service: str
    max_retries: int


class Policy(NamedTuple):
    """A set of disabled mechanisms, and the limiter in the sections."""

    name: str
    disabled: tuple[str, ...]
    limiter: str


LOAD_MECHANISMS = ("retry-budget", "importance", "deadline-drop", "adaptive-limit")

POLICIES = (
    Policy("none", LOAD_MECHANISMS, "gradient"),
    Policy("fixed", LOAD_MECHANISMS[:-1], "fixed"),
    Policy("full", (), "gradient"),
)


def _class_text(name: str, importance: int, execution: str, deadline_ms: int) -> str:
    return (
        f'[services.{name}]\nimportance = {importance}\nexecution = "{execution}"\n'
        f'deadline_ms = {deadline_ms}\nmax_retries = 2\nspill_over = "anywhere"\n'
    )


# VMs * slots / service time: seals allow 2 * 2 / 0.25 s = 16 filings/s, drafts 2 * 16 / 0.5 s =
# 64 views/s.
STENONET = Deployment(
    "stenonet",
    (
        ServiceShape(
            "drafts", 16, 500.0, _class_text("drafts.classes.view", 1, "repeatable", 2000)
        ),
        ServiceShape(
            "filings", 16, 50.0, _class_text("filings.classes.file", 7, "repeatable", 8000)
        ),
        ServiceShape(
            "billing", 16, 50.0, _class_text("billing.classes.claim", 5, "at-most-once", 6000)
        ),
        ServiceShape(
            "seals", 2, 250.0, _class_text("seals.classes.request", 7, "at-most-once", 8000)
        ),
    ),
    (
        Traffic("drafts", "view", 1, 64.0),
        Traffic(
            "filings",
            "file",
            7,
            16.0,
            (
                {
                    "service": "billing",
                    "class": "claim",
                    "then": [{"service": "seals", "class": "request"}],
                },
            ),
        ),
    ),
    "seals",
    2,
)

_STOCK_LOOKUP = {"service": "roost", "class": "stock-lookup"}

# VMs * slots / service time: roost allows 2 * 3 / 0.25 s = 24 lookups/s, perch 2 * 13 / 0.5 s =
# 52 calls/s.
FEATHERBOX = Deployment(
    "featherbox",
    (
        ServiceShape(
            "perch",
            13,
            500.0,
            _class_text("perch.classes.catalogue-refresh", 0, "repeatable", 3000)
            + _class_text("perch.classes.box-view", 2, "repeatable", 2000),
        ),
        ServiceShape(
            "seedpay", 13, 50.0, _class_text("seedpay.classes.renewal", 7, "at-most-once", 6000)
        ),
        ServiceShape("toybin", 13, 50.0, _class_text("toybin.classes.swap", 5, "repeatable", 1500)),
        ServiceShape(
            "roost", 3, 250.0, _class_text("roost.classes.stock-lookup", 7, "repeatable", 2000)
        ),
    ),
    (
        Traffic("perch", "catalogue-refresh", 0, 26.0),
        Traffic("perch", "box-view", 2, 26.0),
        Traffic("toybin", "swap", 5, 8.0, (_STOCK_LOOKUP,)),
        Traffic(
            "seedpay",
            "renewal",
            7,
            16.0,
            ({"service": "toybin", "class": "swap", "then": [_STOCK_LOOKUP]},),
        ),
    ),
    "roost",
    2,
)

DEPLOYMENTS = (STENONET, FEATHERBOX)


class LoadFigures(NamedTuple):
    """Results of one load; goodput in client requests per second, by class and in total.

    ``deep_utilization`` is the share of time during which the slots of the deep service were busy.
    Attempts are executions of one request at one service. ``client_lag_s`` is how long after the
    planned end of the load the clients sent their last request.
    """

    factor: float
    goodput: dict[str, float]
    important_goodput: float
    total: float
    wasted_share: float
    deep_utilization: float
    max_attempts: int
    mean_attempts: float
    client_lag_s: float


class RecoveryFigures(NamedTuple):
    """Goodput per second before, during and after the trigger.

    ``recovery_s`` is None if goodput did not recover.
    """

    before: float
    during: float
    recovery_s: float | None
    after_by_second: tuple[float, ...]
    wasted_share: float
    max_attempts: int


def vms_of(deployment: Deployment) -> tuple[MeshVm, ...]:
    """Return the VMs of a deployment, in two failure domains of one region."""
    vms = []
    for service in deployment.services:
        for number in range(VMS_PER_SERVICE):
            name = f"{service.name}-{number + 1}"
            vms.append(MeshVm(name, service.name, f"domain-{number + 1}", "region-1"))
    return tuple(vms)


def sections_of(deployment: Deployment, policy: Policy) -> dict[str, str]:
    """Return the section of each service under a policy."""
    sections = {}
    for service in deployment.services:
        sections[service.name] = (
            f'owner = "measurement"\n[services.{service.name}]\nslots = {service.slots}\n'
            f'connections = {7 * service.slots}\nlimiter = "{policy.limiter}"\n{service.classes}'
        )
    return sections
