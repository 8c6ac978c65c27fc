"""Queries that parse scenario files."""

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


class ErrorCollector(NamedTuple):
    """Collects the errors of a file while it is parsed."""

    source: str
    errors: list[ConfigurationError]


def load_scenario(path: Path) -> Result[model.Scenario, tuple[ConfigurationError, ...]]:
    """Return the scenario in a file, or every error found in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((UnreadableFile(str(path), str(error)),))
    return parse_scenario(text, str(path))


def parse_scenario(
    text: str, source: str
) -> Result[model.Scenario, tuple[ConfigurationError, ...]]:
    """Return the scenario in a TOML text, or every error found in it."""
    parsed = parse_toml(text, source)
    match parsed:
        case Success(table):
            collector = ErrorCollector(source, [])
            scenario = _read_scenario(table, collector)
            if collector.errors or scenario is None:
                return Failure(tuple(collector.errors))
            return Success(scenario)
        case Failure(error):
            return Failure((error,))
    raise AssertionError("a result is a success or a failure")


def _read_scenario(table: dict[str, Any], collector: ErrorCollector) -> model.Scenario | None:
    _report_unknown(table, _TOP_LEVEL, "", collector)
    for key in ("name", "guards", "mesh", "step", "check"):
        if key not in table:
            collector.errors.append(MissingKey(collector.source, key))
    if collector.errors:
        return None
    steps = _read_variants(table["step"], "step", "do", STEPS, collector)
    checks = _read_variants(table["check"], "check", "that", CHECKS, collector)
    for number, step in enumerate(steps):
        _validate_contents(step, f"step[{number}]", collector)
    mesh = _read_mesh(table["mesh"], collector)
    twin = _read_twin(table, collector)
    if collector.errors:
        return None
    return model.Scenario(table["name"], table["guards"], mesh, steps, checks, twin)


def _read_twin(table: dict[str, Any], collector: ErrorCollector) -> model.Twin | None:
    if "twin" not in table:
        return None
    twin = _read_record(table["twin"], model.Twin, "twin", collector)
    if twin is None:
        return None
    _report_unknown_mechanisms(twin.disabled, "twin.disabled", collector)
    present = tuple(str(check.get("that")) for check in table["check"])
    for name in twin.fails:
        if name not in present:
            collector.errors.append(UnknownChoice(collector.source, "twin.fails", name, present))
    return twin


def _read_mesh(table: dict[str, Any], collector: ErrorCollector) -> model.MeshPlan:
    _report_unknown(table, _MESH, "mesh.", collector)
    vms = []
    for number, entry in enumerate(table.get("vms", [])):
        vm = _read_record(entry, MeshVm, f"mesh.vms[{number}]", collector)
        if vm is not None:
            vms.append(vm)
    if not vms:
        collector.errors.append(MissingKey(collector.source, "mesh.vms"))
    disabled = tuple(table.get("disabled", ()))
    _report_unknown_mechanisms(disabled, "mesh.disabled", collector)
    names = tuple(vm.vm for vm in vms)
    disabled_on = table.get("disabled_on", {})
    _report_unknown(disabled_on, names, "mesh.disabled_on.", collector)
    for vm_name, mechanisms in disabled_on.items():
        _report_unknown_mechanisms(tuple(mechanisms), f"mesh.disabled_on.{vm_name}", collector)
    behaviour = table.get("target", {})
    _report_unknown(behaviour, tuple(get_type_hints(Behaviour)), "mesh.target.", collector)
    return model.MeshPlan(
        vms=tuple(vms),
        sections=table.get("sections", {}),
        behaviour=behaviour,
        disabled=disabled,
        disabled_on=disabled_on,
        links=table.get("links", False),
        platform_behind_s=table.get("platform_behind_s", 0.0),
    )


def _read_variants(
    tables: list[dict[str, Any]],
    path: str,
    tag: str,
    kinds: dict[str, type[NamedTuple]],
    collector: ErrorCollector,
) -> tuple[Any, ...]:
    found = []
    for number, table in enumerate(tables):
        key = f"{path}[{number}]"
        name = table.get(tag)
        if name is None:
            collector.errors.append(MissingKey(collector.source, f"{key}.{tag}"))
            continue
        if name not in kinds:
            choices = tuple(kinds)
            collector.errors.append(
                UnknownChoice(collector.source, f"{key}.{tag}", str(name), choices)
            )
            continue
        fields = {field: value for field, value in table.items() if field != tag}
        found.append(_read_record(fields, kinds[name], key, collector))
    return tuple(record for record in found if record is not None)


def _read_record(
    table: dict[str, Any], kind: type[Record], path: str, collector: ErrorCollector
) -> Record | None:
    """Return a named tuple with the fields of a table, and collect the errors of the table."""
    fields: dict[str, Any] = {}
    before = len(collector.errors)
    hints = get_type_hints(kind)
    defaults: dict[str, Any] = getattr(kind, "_field_defaults", {})
    _report_unknown(table, tuple(hints), f"{path}.", collector)
    for name, hint in hints.items():
        key = f"{path}.{name}"
        if name not in table:
            if name not in defaults:
                collector.errors.append(MissingKey(collector.source, key))
            continue
        origin = getattr(hint, "__origin__", hint)
        value = table[name]
        if type(value) not in _TOML_TYPES[origin]:
            collector.errors.append(WrongType(collector.source, key, origin.__name__, repr(value)))
            continue
        fields[name] = tuple(value) if origin is tuple else value
    if len(collector.errors) > before:
        return None
    return kind(**fields)


def check_name(check: model.Check) -> str:
    """Return the name of a check in the scenario language."""
    for name, kind in CHECKS.items():
        if kind is type(check):
            return name
    raise KeyError(type(check).__name__)


@singledispatch
def _validate_contents(step: object, path: str, collector: ErrorCollector) -> None:
    """Collect the errors of the nested tables of a step."""


@_validate_contents.register
def _(step: model.Load, path: str, collector: ErrorCollector) -> None:
    for number, table in enumerate(step.mix):
        _read_record(table, model.Mix, f"{path}.mix[{number}]", collector)


@_validate_contents.register
def _(step: model.Call, path: str, collector: ErrorCollector) -> None:
    _read_record(step.call, model.Mix, f"{path}.call", collector)


@_validate_contents.register
def _(step: model.Target, path: str, collector: ErrorCollector) -> None:
    _report_unknown(
        step.behaviour, tuple(get_type_hints(Behaviour)), f"{path}.behaviour.", collector
    )


@_validate_contents.register
def _(step: model.Link, path: str, collector: ErrorCollector) -> None:
    known = tuple(get_type_hints(LinkBehaviour))
    _report_unknown(step.behaviour, known, f"{path}.behaviour.", collector)


def read_mix(load: model.Load) -> tuple[model.Mix, ...]:
    """Return the kinds of calls in a load whose tables were validated."""
    mixes = []
    for table in load.mix:
        mix = model.Mix(**table)
        mixes.append(mix._replace(then=tuple(mix.then)))
    return tuple(mixes)


def _report_unknown(
    table: dict[str, Any], known: tuple[str, ...], prefix: str, collector: ErrorCollector
) -> None:
    for key in table:
        if key not in known:
            collector.errors.append(UnknownKey(collector.source, f"{prefix}{key}"))


def _report_unknown_mechanisms(names: tuple[str, ...], key: str, collector: ErrorCollector) -> None:
    choices = tuple(mechanism.value for mechanism in Mechanism)
    for name in names:
        if name not in choices:
            collector.errors.append(UnknownChoice(collector.source, key, name, choices))
