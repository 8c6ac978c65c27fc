"""Reads scenario files; a query."""

from functools import singledispatch
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, get_type_hints

from returns.result import Failure, Result, Success

from jacinthsail.errors import (
    ConfigurationError,
    MissingKey,
    UnknownChoice,
    UnknownKey,
    UnreadableFile,
    WrongType,
)
from jacinthsail.internal.model.settings import Mechanism
from jacinthsail.internal.queries.schema import parse_toml
from jacinthsail.testing import scenario_model as model
from jacinthsail.testing.link import LinkBehaviour
from jacinthsail.testing.mesh import MeshVm
from jacinthsail.testing.target_model import Behaviour

STEPS: dict[str, type[NamedTuple]] = {
    "load": model.Load,
    "call": model.Call,
    "join-loads": model.JoinLoads,
    "target": model.Target,
    "link": model.Link,
    "cut": model.Cut,
    "silence": model.Silence,
    "heal": model.Heal,
    "partition": model.Partition,
    "freeze": model.Freeze,
    "resume": model.Resume,
    "kill": model.Kill,
    "start": model.Start,
    "stop": model.Stop,
    "leave": model.Leave,
    "remove": model.Remove,
    "relist": model.Relist,
    "platform": model.Platform,
    "edit": model.Edit,
    "pause": model.Pause,
    "wait-sections": model.WaitSections,
    "wait-ready": model.WaitReady,
}
CHECKS: dict[str, type[NamedTuple]] = {
    "at-most-once": model.AtMostOnce,
    "outcomes-true": model.OutcomesTrue,
    "answers-whole": model.AnswersWhole,
    "shed-order": model.ShedOrder,
    "executions-per-request": model.ExecutionsPerRequest,
    "executions-ratio": model.ExecutionsRatio,
    "wasted-share": model.WastedShare,
    "answered-share": model.AnsweredShare,
    "goodput-ratio": model.GoodputRatio,
    "no-unknown": model.NoUnknown,
    "exited-cleanly": model.ExitedCleanly,
    "no-new-work": model.NoNewWork,
    "sections-in-force": model.SectionsInForce,
    "never-reverted": model.NeverReverted,
    "in-force-within": model.InForceWithin,
    "confirmed-within": model.ConfirmedWithin,
    "rejection-reported": model.RejectionReported,
}
_TOP_LEVEL = ("name", "guards", "mesh", "step", "check", "twin")
_MESH = ("vms", "sections", "target", "disabled", "disabled_on", "links", "platform_behind_s")
_TOML_TYPES: dict[object, tuple[type, ...]] = {
    str: (str,),
    int: (int,),
    float: (int, float),
    bool: (bool,),
    dict: (dict,),
    tuple: (list,),
}

Record = TypeVar("Record")


class Faults(NamedTuple):
    """Collects what is wrong with a file while it is read."""

    source: str
    errors: list[ConfigurationError]


def load_scenario(path: Path) -> Result[model.Scenario, tuple[ConfigurationError, ...]]:
    """Return the scenario in a file, or every fault found in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((UnreadableFile(str(path), str(error)),))
    return parse_scenario(text, str(path))


def parse_scenario(
    text: str, source: str
) -> Result[model.Scenario, tuple[ConfigurationError, ...]]:
    """Return the scenario in a TOML text, or every fault found in it."""
    parsed = parse_toml(text, source)
    match parsed:
        case Success(table):
            faults = Faults(source, [])
            scenario = _scenario_of(table, faults)
            if faults.errors or scenario is None:
                return Failure(tuple(faults.errors))
            return Success(scenario)
        case Failure(error):
            return Failure((error,))
    raise AssertionError("a result is a success or a failure")


def _scenario_of(table: dict[str, Any], faults: Faults) -> model.Scenario | None:
    _report_unknown(table, _TOP_LEVEL, "", faults)
    for key in ("name", "guards", "mesh", "step", "check"):
        if key not in table:
            faults.errors.append(MissingKey(faults.source, key))
    if faults.errors:
        return None
    steps = _variants(table["step"], "step", "do", STEPS, faults)
    checks = _variants(table["check"], "check", "that", CHECKS, faults)
    for number, step in enumerate(steps):
        _check_contents(step, f"step[{number}]", faults)
    mesh = _mesh_of(table["mesh"], faults)
    twin = _twin_of(table, faults)
    if faults.errors:
        return None
    return model.Scenario(table["name"], table["guards"], mesh, steps, checks, twin)


def _twin_of(table: dict[str, Any], faults: Faults) -> model.Twin | None:
    if "twin" not in table:
        return None
    twin = _record_of(table["twin"], model.Twin, "twin", faults)
    if twin is None:
        return None
    _report_unknown_mechanisms(twin.disabled, "twin.disabled", faults)
    present = tuple(str(check.get("that")) for check in table["check"])
    for name in twin.fails:
        if name not in present:
            faults.errors.append(UnknownChoice(faults.source, "twin.fails", name, present))
    return twin


def _mesh_of(table: dict[str, Any], faults: Faults) -> model.MeshPlan:
    _report_unknown(table, _MESH, "mesh.", faults)
    vms = []
    for number, entry in enumerate(table.get("vms", [])):
        vm = _record_of(entry, MeshVm, f"mesh.vms[{number}]", faults)
        if vm is not None:
            vms.append(vm)
    if not vms:
        faults.errors.append(MissingKey(faults.source, "mesh.vms"))
    disabled = tuple(table.get("disabled", ()))
    _report_unknown_mechanisms(disabled, "mesh.disabled", faults)
    names = tuple(vm.vm for vm in vms)
    disabled_on = table.get("disabled_on", {})
    _report_unknown(disabled_on, names, "mesh.disabled_on.", faults)
    for vm_name, mechanisms in disabled_on.items():
        _report_unknown_mechanisms(tuple(mechanisms), f"mesh.disabled_on.{vm_name}", faults)
    behaviour = table.get("target", {})
    _report_unknown(behaviour, tuple(get_type_hints(Behaviour)), "mesh.target.", faults)
    return model.MeshPlan(
        vms=tuple(vms),
        sections=table.get("sections", {}),
        behaviour=behaviour,
        disabled=disabled,
        disabled_on=disabled_on,
        links=table.get("links", False),
        platform_behind_s=table.get("platform_behind_s", 0.0),
    )


def _variants(
    tables: list[dict[str, Any]],
    place: str,
    tag: str,
    kinds: dict[str, type[NamedTuple]],
    faults: Faults,
) -> tuple[Any, ...]:
    found = []
    for number, table in enumerate(tables):
        key = f"{place}[{number}]"
        name = table.get(tag)
        if name is None:
            faults.errors.append(MissingKey(faults.source, f"{key}.{tag}"))
            continue
        if name not in kinds:
            choices = tuple(kinds)
            faults.errors.append(UnknownChoice(faults.source, f"{key}.{tag}", str(name), choices))
            continue
        fields = {field: value for field, value in table.items() if field != tag}
        found.append(_record_of(fields, kinds[name], key, faults))
    return tuple(record for record in found if record is not None)


def _record_of(
    table: dict[str, Any], kind: type[Record], place: str, faults: Faults
) -> Record | None:
    """Return the named tuple with the fields of a table, and report what does not fit it."""
    fields: dict[str, Any] = {}
    before = len(faults.errors)
    hints = get_type_hints(kind)
    defaults: dict[str, Any] = getattr(kind, "_field_defaults", {})
    _report_unknown(table, tuple(hints), f"{place}.", faults)
    for name, hint in hints.items():
        key = f"{place}.{name}"
        if name not in table:
            if name not in defaults:
                faults.errors.append(MissingKey(faults.source, key))
            continue
        plain = getattr(hint, "__origin__", hint)
        value = table[name]
        if type(value) not in _TOML_TYPES[plain]:
            faults.errors.append(WrongType(faults.source, key, plain.__name__, repr(value)))
            continue
        fields[name] = tuple(value) if plain is tuple else value
    if len(faults.errors) > before:
        return None
    return kind(**fields)


def check_name(check: model.Check) -> str:
    """Return the name of a check in the language."""
    for name, kind in CHECKS.items():
        if kind is type(check):
            return name
    raise KeyError(type(check).__name__)


@singledispatch
def _check_contents(step: object, place: str, faults: Faults) -> None:
    """Report what does not fit in the tables inside a step."""


@_check_contents.register
def _(step: model.Load, place: str, faults: Faults) -> None:
    for number, table in enumerate(step.mix):
        _record_of(table, model.Mix, f"{place}.mix[{number}]", faults)


@_check_contents.register
def _(step: model.Call, place: str, faults: Faults) -> None:
    _record_of(step.call, model.Mix, f"{place}.call", faults)


@_check_contents.register
def _(step: model.Target, place: str, faults: Faults) -> None:
    _report_unknown(step.behaviour, tuple(get_type_hints(Behaviour)), f"{place}.behaviour.", faults)


@_check_contents.register
def _(step: model.Link, place: str, faults: Faults) -> None:
    known = tuple(get_type_hints(LinkBehaviour))
    _report_unknown(step.behaviour, known, f"{place}.behaviour.", faults)


def mix_of(load: model.Load) -> tuple[model.Mix, ...]:
    """Return the kinds of calls in a load that was read without faults."""
    mixes = []
    for table in load.mix:
        mix = model.Mix(**table)
        mixes.append(mix._replace(then=tuple(mix.then)))
    return tuple(mixes)


def _report_unknown(
    table: dict[str, Any], known: tuple[str, ...], prefix: str, faults: Faults
) -> None:
    for key in table:
        if key not in known:
            faults.errors.append(UnknownKey(faults.source, f"{prefix}{key}"))


def _report_unknown_mechanisms(names: tuple[str, ...], key: str, faults: Faults) -> None:
    choices = tuple(mechanism.value for mechanism in Mechanism)
    for name in names:
        if name not in choices:
            faults.errors.append(UnknownChoice(faults.source, key, name, choices))
