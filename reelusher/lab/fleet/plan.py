"""The plan of a run with many nodes, read from TOML; every error is a `ConfigError` that names the key."""

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
NODE_MB = 24  # resident memory of one node, which takes 16 to 24 MB
# of the rig per node: four listeners, three per proxied connection, ten concurrent downstream calls
NODE_DESCRIPTORS = 40
CALLER_DESCRIPTORS = 3  # of the rig per connection of a caller to a node, through a fault proxy
MAX_NODES = 1000


def bounded(default: float | None = None, least: float = 0.0, most: float = math.inf) -> Any:
    """Return a dataclass field with bounds; it is required if `default` is None."""
    bounds = {"minimum": least, "maximum": most}
    return field(metadata=bounds) if default is None else field(default=default, metadata=bounds)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests. A request earns `worth` if it is answered within `aim_ms`."""

    name: str
    share: float = bounded(1.0)  # of all requests, relative to the other classes
    work_ms: float = bounded(60.0, 0.1)  # mean run time on one core at full speed
    aim_ms: float = bounded(2000.0, 1.0)
    deadline_ms: float = bounded(6000.0, 10.0)
    worth: float = bounded(1.0)
    effect: str = "safe"
    calls: bool = False  # each run makes one downstream call
    skip_worth: float = bounded(0.0, 0.0, 1.0)  # fraction of the worth if that call was skipped
    window_ms: float = bounded(20_000.0, 1.0)  # in which an idempotency key runs once; for keyed classes

    @property
    def keyed(self) -> bool:
        """Return whether requests of this class have idempotency keys."""
        return self.effect == "keyed"


@dataclass(slots=True, frozen=True)
class Zone:
    """A zone: its number of nodes and of callers."""

    name: str
    nodes: int = bounded(None, 0, MAX_NODES)
    callers: int = bounded(2, 0, 1000)


@dataclass(slots=True, frozen=True)
class RegistryPlan:
    """The service registry.

    Reports above its capacity are answered late; while a second's worth is queued, further ones are ignored.
    """

    capacity: float = bounded(1000.0, 0.1)  # reports per second
    answer_ms: float = bounded(2.0)
    lapse_s: float = bounded(3.0, 0.1)  # an entry expires this long after its last report
    notice_s: float = bounded(1.0)  # delay until callers see a change


@dataclass(slots=True, frozen=True)
class DownstreamPlan:
    """A downstream service, which runs may call."""

    slots: int = bounded(40, 1)  # calls served concurrently at full speed
    service_ms: float = bounded(30.0, 0.1)
    most: int = bounded(320, 1)  # calls in progress above which further ones are rejected
    capacity: float = bounded(160.0, 0.1)  # mean calls in progress over `over_s` above which it crashes
    over_s: float = bounded(5.0, 0.1)
    down_s: float = bounded(5.0)  # how long it stays down after a crash
    cold_from: float = bounded(0.3, 0.01, 1.0)  # fraction of its full speed just after a start
    cold_s: float = bounded(8.0, 0.1)
    starts_cold: bool = False
    per_zone: bool = False


@dataclass(slots=True, frozen=True)
class NodePlan:
    """The machine that a node runs on."""

    cores: int = bounded(2, 1)
    memory_kb: float = bounded(40_000.0, 1.0)
    read_ms: float = bounded(0.0)  # work to read one request, whatever is decided about it
    cold_from: float = bounded(1.0, 0.01, 1.0)  # fraction of its full speed just after a start
    cold_s: float = bounded(10.0, 0.1)
    starts_cold: bool = False  # at the start of the run; nodes that start later are always cold
    stop_ms: int = bounded(4000, 500)
    fleet: bool = False  # the nodes are members of one fleet
    seeds: int = bounded(3, 1)  # number of nodes through which all others join


@dataclass(slots=True, frozen=True)
class CallerPlan:
    """How callers retry and whether they follow the hints of nodes."""

    tries: int = bounded(3)  # maximum number of attempts of a request; 0: unlimited
    wait_ms: float = bounded(20.0)  # mean delay before a retry
    heeds: float = bounded(0.85, 0.0, 1.0)  # fraction of callers that follow hints


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault and its time. `of` and `to` are endpoints, resolved before anything starts.

    `ms` is the delay of `delay`, `late` and `reorder`; `part` is a probability for `loss`, `duplicate` and
    `reorder`, and a factor for `starve`, `slow` and `surge`.
    """

    kind: str
    at_s: float  # after the start of the load
    for_s: float
    of: frozenset[str]
    to: frozenset[str] = frozenset()  # the other ends of the links, for faults of links
    one_way: bool = False  # affects only the direction from `of` to `to`
    ms: float = 0.0
    part: float = 0.0

    def affects(self, source: str, target: str) -> bool:
        """Return whether this fault of links affects messages from `source` to `target`."""
        forward = source in self.of and target in self.to
        return forward or (not self.one_way and source in self.to and target in self.of)


@dataclass(slots=True, frozen=True)
class RunPlan:
    """Duration, load and seed of a run."""

    seconds: float = bounded(20.0, 0.1, 3600)  # duration of the load
    wait_s: float = bounded(30.0)  # maximum wait for callers to see all nodes, after which the load begins
    spread_s: float = bounded(0.2)  # period over which node starts are spread
    seed: int = bounded(1)
    rate: float = bounded(20.0, 0.0, 100_000)  # requests per second from all callers


@dataclass(slots=True, frozen=True)
class Plan:
    """The plan of one run."""

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
        """Return the longest deadline of all classes."""
        return max(request_class.deadline_ms for request_class in self.classes) / 1000

    def zone_of(self) -> dict[str, str]:
        """Return the zone of each endpoint that belongs to one."""
        names = iter(self.node_names())
        zones = {next(names): zone.name for zone in self.zones for _ in range(zone.nodes)}
        zones |= {f"callers.{zone.name}": zone.name for zone in self.zones}
        return zones | (
            {f"below.{zone.name}": zone.name for zone in self.zones} if self.downstream.per_zone else {}
        )

    def downstream_names(self) -> list[str]:
        """Return the names of the downstream services."""
        return [f"below.{zone.name}" for zone in self.zones] if self.downstream.per_zone else ["below"]

    def load_factor(self, at_s: float) -> float:
        """Return the factor by which surges multiply the load at a time."""
        factor = 1.0
        for fault in self.faults:
            if fault.kind == "surge" and fault.at_s <= at_s < fault.at_s + fault.for_s:
                factor *= fault.part
        return factor


class Selector:
    """Resolves selectors such as `node:n3`, `nodes:a`, `zone:a`, `part:0.3`, `runtimes`, `list`, `others`."""

    def __init__(self, plan: Plan) -> None:
        self.zone_of, self.random = plan.zone_of(), random.Random(plan.run.seed)
        self.nodes = plan.node_names()
        self.endpoints = {*self.zone_of, *plan.downstream_names(), "list"}

    def resolve(self, text: str, key: str, excluded: frozenset[str] = frozenset()) -> frozenset[str]:
        """Return the selected endpoints; `others` selects all that are not in `excluded`."""
        selector_type, _, name = text.partition(":")
        nodes, zones = self.nodes, set(self.zone_of.values())
        if name and selector_type in ("zone", "nodes", "runtimes", "callers") and name not in zones:
            raise ConfigError(key, f"there is no zone {name!r}")
        matching = [node for node in nodes if not name or self.zone_of[node] == name]
        match selector_type:
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
            case "others" if excluded:
                return frozenset(self.endpoints - excluded)
        endpoint_name = name if selector_type in ("node", "party") else text
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
    """Read a table into a dataclass, whose fields give the types, defaults and bounds of the keys."""
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


def scaled(value: dict[str, Any], scale: float) -> dict[str, Any]:
    """Return a plan of `scale` times the size: nodes, load, registry and downstream services.

    The number of callers stays: each may have a connection to each node, so scaling both would make the
    number of connections grow with the square.
    """
    result = {name: dict(part) if isinstance(part, dict) else part for name, part in value.items()}
    result["zones"] = [{**zone, "nodes": round(zone["nodes"] * scale)} for zone in value["zones"]]
    for name, keys in (("run", ("rate",)), ("list", ("capacity",)), ("below", ("slots", "most", "capacity"))):
        for key in keys:
            if key in result.get(name, {}):
                result[name][key] = round(result[name][key] * scale)
    return result


def parse(value: Any) -> Plan:
    """Check a plan and return it; raise `ConfigError` for the first fault."""
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
    """Raise `ConfigError` if the descriptors or the memory of this machine don't suffice for the nodes."""
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
    """Read a plan from files and scale it.

    A later file adds keys to the tables of earlier files; all other values, such as arrays, it replaces.
    """
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
