"""What a run of many nodes does, read from TOML; every fault is a `ConfigError` that names the key."""

import math
import random
import resource
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import MISSING, dataclass, field, fields, replace
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

from reelusher.config.checked_table import CheckedTable, ConfigError

T = TypeVar("T")
LINK_FAULTS = ("cut", "silent", "reset", "delay", "loss", "duplicate", "reorder")
NODE_FAULTS = ("kill", "stop", "restart", "starve")
SERVICE_FAULTS = {"outage": ("list",), "late": ("list",), "slow": ("below", "runtime."), "fall": ("below",)}
EFFECTS = {"safe": "pure", "keyed": "token"}
NODE_MB = 24  # resident memory of one node, measured at 16 to 24 MB on days of many nodes
NODE_DESCRIPTORS = 40  # of the rig for each node: four listeners, three a link, ten calls below at once
CALLER_DESCRIPTORS = 3  # for each caller's connection to a node, through a relay
MAX_NODES = 1000


def bounded(default: float | None = None, least: float = 0.0, most: float = math.inf) -> Any:
    """Return a field with a default (None: it must be given) and bounds."""
    bounds = {"least": least, "most": most}
    return field(metadata=bounds) if default is None else field(default=default, metadata=bounds)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests. Worth is that of one request answered within `aim_ms`."""

    name: str
    share: float = bounded(1.0)  # of the load
    work_ms: float = bounded(60.0, 0.1)  # mean, on one core at full speed
    aim_ms: float = bounded(2000.0, 1.0)
    deadline_ms: float = bounded(6000.0, 10.0)
    worth: float = bounded(1.0)
    effect: str = "safe"
    calls: bool = False  # each run makes one call below
    skip_worth: float = bounded(0.0, 0.0, 1.0)  # part of the worth where that call was left out
    window_ms: float = bounded(20_000.0, 1.0)  # of a keyed class

    @property
    def keyed(self) -> bool:
        """Tell whether its requests have keys."""
        return self.effect == "keyed"


@dataclass(slots=True, frozen=True)
class Zone:
    """A zone: its nodes, and the callers that sit there."""

    name: str
    nodes: int = bounded(None, 0, MAX_NODES)
    callers: int = bounded(2, 0, 1000)


@dataclass(slots=True, frozen=True)
class RegistryPlan:
    """The list service. Reports past its capacity are answered late, past a second's worth not at all."""

    capacity: float = bounded(1000.0, 0.1)  # reports a second
    answer_ms: float = bounded(2.0)
    lapse_s: float = bounded(3.0, 0.1)  # an entry comes off so long after its last report
    notice_s: float = bounded(1.0)  # callers see changes so much later


@dataclass(slots=True, frozen=True)
class DownstreamPlan:
    """A service below that all runs may call."""

    slots: int = bounded(40, 1)  # calls served side by side at full speed
    service_ms: float = bounded(30.0, 0.1)
    most: int = bounded(320, 1)  # calls in hand past which it turns away
    capacity: float = bounded(160.0, 0.1)  # calls in hand, in the mean of `over_s`, past which it falls over
    over_s: float = bounded(5.0, 0.1)
    down_s: float = bounded(5.0)  # it is gone so long then,
    cold_from: float = bounded(0.3, 0.01, 1.0)  # and starts again at this part of its speed
    cold_s: float = bounded(8.0, 0.1)
    starts_cold: bool = False
    per_zone: bool = False


@dataclass(slots=True, frozen=True)
class NodePlan:
    """A node's machine."""

    cores: int = bounded(2, 1)
    memory_kb: float = bounded(40_000.0, 1.0)
    read_ms: float = bounded(0.0)  # work of reading one request, whatever is decided
    cold_from: float = bounded(1.0, 0.01, 1.0)  # part of its speed when cold
    cold_s: float = bounded(10.0, 0.1)
    starts_cold: bool = False  # also at the start of the run; after that a node that starts is cold
    stop_ms: int = bounded(4000, 500)
    fleet: bool = False  # they are members of one fleet
    seeds: int = bounded(3, 1)  # of them, that all others join through


@dataclass(slots=True, frozen=True)
class CallerPlan:
    """What callers do (minutes of the first meeting, section 4)."""

    tries: int = bounded(3)  # of one request at most; 0: without limit
    wait_ms: float = bounded(20.0)  # before the next try
    heeds: float = bounded(0.85, 0.0, 1.0)  # part of callers that follow advice


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault with its time. What `of` and `to` select is settled before anything starts."""

    kind: str
    at_s: float  # after the start of the load
    for_s: float
    of: frozenset[str]
    to: frozenset[str] = frozenset()  # of links: the other ends
    one_way: bool = False  # only what goes from `of` to `to`
    ms: float = 0.0
    part: float = 0.0

    def affects(self, source: str, target: str) -> bool:
        """Tell whether this fault of links is met by what goes from one party to another."""
        forward = source in self.of and target in self.to
        return forward or (not self.one_way and source in self.to and target in self.of)


@dataclass(slots=True, frozen=True)
class RunPlan:
    """How long and how much."""

    seconds: float = bounded(20.0, 0.1, 3600)  # of load
    wait_s: float = bounded(30.0)  # the load begins once callers see all nodes, or after this
    spread_s: float = bounded(0.2)  # nodes are started within this
    seed: int = bounded(1)
    rate: float = bounded(20.0, 0.0, 100_000)  # requests each second in all


@dataclass(slots=True, frozen=True)
class Plan:
    """One run."""

    run: RunPlan
    zones: tuple[Zone, ...]
    classes: tuple[RequestClass, ...]
    nodes: NodePlan
    registry: RegistryPlan
    downstream: DownstreamPlan
    caller_plan: CallerPlan
    faults: tuple[Fault, ...]

    def node_names(self) -> list[str]:
        """Return the names of all nodes, those of the first zone first."""
        return [f"n{number + 1}" for number in range(sum(zone.nodes for zone in self.zones))]

    def longest_deadline_s(self) -> float:
        """Return the longest deadline."""
        return max(request_class.deadline_ms for request_class in self.classes) / 1000

    def zone_of(self) -> dict[str, str]:
        """Return the zone of each party that has one."""
        names = iter(self.node_names())
        zones = {next(names): zone.name for zone in self.zones for _ in range(zone.nodes)}
        zones |= {f"callers.{zone.name}": zone.name for zone in self.zones}
        return zones | (
            {f"below.{zone.name}": zone.name for zone in self.zones} if self.downstream.per_zone else {}
        )

    def downstream_names(self) -> list[str]:
        """Return the names of the services below."""
        return [f"below.{zone.name}" for zone in self.zones] if self.downstream.per_zone else ["below"]

    def load_factor(self, at_s: float) -> float:
        """Return by what the load is multiplied at a time."""
        factor = 1.0
        for fault in self.faults:
            if fault.kind == "surge" and fault.at_s <= at_s < fault.at_s + fault.for_s:
                factor *= fault.part
        return factor


class Selector:
    """Settles words such as `node:n3`, `nodes:a`, `zone:a`, `part:0.3`, `runtimes`, `list`, `others`."""

    def __init__(self, plan: Plan) -> None:
        self.zone_of, self.random = plan.zone_of(), random.Random(plan.run.seed)
        self.nodes = plan.node_names()
        self.endpoints = {*self.zone_of, *plan.downstream_names(), "list"}

    def resolve(self, text: str, key: str, rest_of: frozenset[str] = frozenset()) -> frozenset[str]:
        """Return the parties that a word selects; `rest_of` is what `others` leaves out."""
        word, _, name = text.partition(":")
        nodes, zones = self.nodes, set(self.zone_of.values())
        if name and word in ("zone", "nodes", "runtimes", "callers") and name not in zones:
            raise ConfigError(key, f"there is no zone {name!r}")
        matching = [node for node in nodes if not name or self.zone_of[node] == name]
        match word:
            case "nodes":
                return frozenset(matching)
            case "runtimes":
                return frozenset(f"runtime.{node}" for node in matching)
            case "zone" if name:
                return frozenset(endpoint for endpoint, zone in self.zone_of.items() if zone == name)
            case "callers":
                return frozenset(f"callers.{zone}" for zone in zones if name in ("", zone))
            case "part":
                try:
                    return frozenset(self.random.sample(nodes, max(1, round(float(name) * len(nodes)))))
                except ValueError:
                    raise ConfigError(key, f"a part from 0 to 1 is wanted, not {name!r}") from None
            case "others" if rest_of:
                return frozenset(self.endpoints - rest_of)
        endpoint_name = name if word in ("node", "party") else text
        if endpoint_name in self.endpoints or endpoint_name.removeprefix("runtime.") in nodes:
            return frozenset([endpoint_name])
        raise ConfigError(key, f"there is no party {text!r}")


def _fault(table: CheckedTable, selector: Selector) -> Fault:
    table.reject_unknown_keys("kind", "at_s", "for_s", "of", "to", "one_way", "ms", "part")
    kind = table.choice("kind", (*LINK_FAULTS, *NODE_FAULTS, *SERVICE_FAULTS, "surge"))
    of: frozenset[str] = frozenset()
    to: frozenset[str] = frozenset()
    if kind != "surge":
        of = selector.resolve(table.string("of"), table.path("of"))
    if kind in LINK_FAULTS:
        to = selector.resolve(table.string("to", "others"), table.path("to"), of)
    if kind in NODE_FAULTS and not of <= set(selector.nodes):
        raise ConfigError(table.path("of"), f"{kind} is a fault of nodes")
    if kind in SERVICE_FAULTS and not all(endpoint.startswith(SERVICE_FAULTS[kind]) for endpoint in of):
        raise ConfigError(table.path("of"), f"{kind} is a fault of {' or '.join(SERVICE_FAULTS[kind])}")
    needs_part = kind in ("loss", "duplicate", "reorder", "starve", "slow", "surge")
    return Fault(
        kind,
        table.number("at_s"),
        table.number("for_s", 0.0),
        of,
        to,
        table.boolean("one_way", False),
        table.number("ms", 0.0) if kind not in ("delay", "late") else table.number("ms"),
        table.number("part", None, 0.001, 100.0) if needs_part else 0.0,
    )


def _read_dataclass(cls: type[T], table: CheckedTable) -> T:
    """Read a table as what its fields say."""
    types = get_type_hints(cls)
    table.reject_unknown_keys(*types)
    readers: dict[Any, Callable[..., Any]] = {
        float: table.number,
        int: table.integer,
        bool: table.boolean,
        str: table.string,
    }
    values = {
        item.name: readers[types[item.name]](
            item.name, None if item.default is MISSING else item.default, **item.metadata
        )
        for item in fields(cls)  # type: ignore[arg-type]
    }
    return cls(**values)


def scaled(value: dict[str, Any], load_factor: float) -> dict[str, Any]:
    """Return a plan of so many times the size: nodes, load, and what lies below.

    Callers stay as many: each may have a connection to each node, so both at once would grow with the square.
    """
    result = {name: dict(part) if isinstance(part, dict) else part for name, part in value.items()}
    result["zones"] = [{**zone, "nodes": round(zone["nodes"] * load_factor)} for zone in value["zones"]]
    for name, keys in (("run", ("rate",)), ("list", ("capacity",)), ("below", ("slots", "most", "capacity"))):
        for key in keys:
            if key in result.get(name, {}):
                result[name][key] = round(result[name][key] * load_factor)
    return result


def parse(value: Any) -> Plan:
    """Check a plan."""
    table = CheckedTable(value)
    table.reject_unknown_keys("run", "zones", "classes", "nodes", "list", "below", "callers", "faults")
    zones = tuple(_read_dataclass(Zone, entry) for entry in table.tables("zones"))
    classes = tuple(_read_dataclass(RequestClass, entry) for entry in table.tables("classes"))
    for entry in table.tables("classes"):
        entry.choice("effect", tuple(EFFECTS), "safe")
    if not classes:
        raise ConfigError("classes", "at least one is needed")
    if len({zone.name for zone in zones}) != len(zones) or not sum(zone.nodes for zone in zones):
        raise ConfigError("zones", "each needs a name of its own, and one of them a node")
    plan = Plan(
        _read_dataclass(RunPlan, table.table("run")),
        zones,
        classes,
        _read_dataclass(NodePlan, table.table("nodes")),
        _read_dataclass(RegistryPlan, table.table("list")),
        _read_dataclass(DownstreamPlan, table.table("below")),
        _read_dataclass(CallerPlan, table.table("callers")),
        (),
    )
    selector = Selector(plan)
    return replace(plan, faults=tuple(_fault(entry, selector) for entry in table.tables("faults")))


def check_resources(plan: Plan) -> None:
    """Refuse more real nodes than the descriptors and the memory of this machine allow."""
    count = len(plan.node_names())
    if len(plan.zones) > 250:
        raise ConfigError("zones", "more than there are loopback addresses for")
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = count * (NODE_DESCRIPTORS + CALLER_DESCRIPTORS * sum(zone.callers for zone in plan.zones)) + 200
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise ConfigError("zones", f"{count} nodes need {needed} descriptors, {hard} are allowed")
    meminfo = dict(line.split(":", 1) for line in Path("/proc/meminfo").read_text().splitlines())
    free_mb = int(meminfo["MemAvailable"].split()[0]) // 1024
    if count * NODE_MB > free_mb:
        raise ConfigError("zones", f"{count} nodes need {count * NODE_MB} MB, {free_mb} are free")


def read(paths: Sequence[Path], scale: float = 1.0) -> Plan:
    """Read a plan from files: a later one adds to the tables of those before, and replaces all else."""
    merged: dict[str, Any] = {}
    for path in paths:
        try:
            for name, part in tomllib.loads(path.read_text()).items():
                earlier, is_table = merged.get(name), isinstance(part, dict)
                merged[name] = {**earlier, **part} if is_table and isinstance(earlier, dict) else part
        except (OSError, ValueError) as error:
            raise ConfigError(str(path), str(error)) from None
    plan = parse(merged)
    return parse(scaled(merged, scale)) if scale != 1 else plan
