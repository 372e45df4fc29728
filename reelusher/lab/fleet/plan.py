"""What a run of many nodes does, read from TOML; every fault is a `ConfigError` that names the key."""

import random
import resource
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from reelusher.config.table import ConfigError, Table

LINK = ("cut", "silent", "reset", "delay", "loss", "duplicate", "reorder")
PROCESS = ("kill", "stop", "restart", "starve")
SERVICE = {"outage": ("list",), "late": ("list",), "slow": ("below", "runtime."), "fall": ("below",)}
EFFECTS = {"safe": "pure", "keyed": "token"}
NODE_MB = 24  # resident memory of one node, measured at 16 to 24 MB on days of many nodes
NODE_DESCRIPTORS = 24  # of the rig for each node: relays, callers' connections, runtime, list, below
MOST_NODES = 1000


@dataclass(slots=True, frozen=True)
class Kind:
    """A class of requests. Worth is that of one request answered within `aim_ms`."""

    name: str
    share: float  # of the load
    work_ms: float  # mean, on one core at full speed
    aim_ms: float
    deadline_ms: float
    worth: float
    keyed: bool
    calls: bool  # each run makes one call below
    skip_worth: float  # part of the worth where that call was left out
    window_ms: float  # of a keyed class


@dataclass(slots=True, frozen=True)
class Zone:
    """A zone: its nodes, and the callers that sit there."""

    name: str
    nodes: int
    callers: int


@dataclass(slots=True, frozen=True)
class ListPlan:
    """The list service. Reports past its capacity are answered late, past twice that not at all."""

    capacity: float  # reports a second
    answer_ms: float
    lapse_s: float  # an entry comes off so long after its last report
    notice_s: float  # callers see changes so much later


@dataclass(slots=True, frozen=True)
class BelowPlan:
    """A service below that all runs may call."""

    slots: int  # calls served side by side at full speed
    service_ms: float
    most: int  # calls in hand past which it turns away
    capacity: float  # calls in hand, in the mean of `over_s`, past which it falls over
    over_s: float
    down_s: float  # it is gone so long then,
    cold_from: float  # and starts again at this part of its speed
    cold_s: float
    starts_cold: bool
    per_zone: bool


@dataclass(slots=True, frozen=True)
class NodePlan:
    """A node's machine."""

    cores: int
    memory_kb: float
    read_ms: float  # work of reading one request, whatever is decided
    cold_from: float  # part of its speed when cold
    cold_s: float
    starts_cold: bool  # also at the start of the run; after that a node that starts is cold
    stop_ms: int


@dataclass(slots=True, frozen=True)
class Habits:
    """What callers do (minutes of the first meeting, section 4)."""

    tries: int  # of one request at most; 0: without limit
    wait_ms: float  # before the next try
    heeds: float  # part of callers that follow advice


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


@dataclass(slots=True, frozen=True)
class Plan:
    """One run."""

    seconds: float  # of load
    wait_s: float  # the load begins once all nodes are listed, or after this
    spread_s: float  # nodes are started within this
    seed: int
    rate: float  # requests each second in all
    zones: tuple[Zone, ...]
    kinds: tuple[Kind, ...]
    nodes: NodePlan
    listing: ListPlan
    below: BelowPlan
    habits: Habits
    faults: tuple[Fault, ...]

    def node_names(self) -> list[str]:
        """Return the names of all nodes, those of the first zone first."""
        return [f"n{number + 1}" for number in range(sum(zone.nodes for zone in self.zones))]

    def longest_s(self) -> float:
        """Return the longest deadline."""
        return max(kind.deadline_ms for kind in self.kinds) / 1000

    def zone_of(self) -> dict[str, str]:
        """Return the zone of each party that has one."""
        names = iter(self.node_names())
        found = {next(names): zone.name for zone in self.zones for _ in range(zone.nodes)}
        found |= {f"callers.{zone.name}": zone.name for zone in self.zones}
        return found | ({f"below.{zone.name}": zone.name for zone in self.zones}
                        if self.below.per_zone else {})

    def belows(self) -> list[str]:
        """Return the names of the services below."""
        return [f"below.{zone.name}" for zone in self.zones] if self.below.per_zone else ["below"]

    def factor(self, at_s: float) -> float:
        """Return by what the load is multiplied at a time."""
        made = 1.0
        for fault in self.faults:
            if fault.kind == "surge" and fault.at_s <= at_s < fault.at_s + fault.for_s:
                made *= fault.part
        return made


class Selector:
    """Settles words such as `node:n3`, `nodes:a`, `zone:a`, `part:0.3`, `runtimes`, `list`, `others`."""

    def __init__(self, plan: Plan) -> None:
        self.zone_of, self.random = plan.zone_of(), random.Random(plan.seed)
        self.nodes = plan.node_names()
        self.parties = {*self.zone_of, *plan.belows(), "list"}

    def settle(self, text: str, key: str, rest_of: frozenset[str] = frozenset()) -> frozenset[str]:
        """Return the parties that a word selects; `rest_of` is what `others` leaves out."""
        word, _, name = text.partition(":")
        nodes, zones = self.nodes, set(self.zone_of.values())
        if name and word in ("zone", "nodes", "runtimes", "callers") and name not in zones:
            raise ConfigError(key, f"there is no zone {name!r}")
        within = [node for node in nodes if not name or self.zone_of[node] == name]
        match word:
            case "nodes":
                return frozenset(within)
            case "runtimes":
                return frozenset(f"runtime.{node}" for node in within)
            case "zone" if name:
                return frozenset(party for party, zone in self.zone_of.items() if zone == name)
            case "callers":
                return frozenset(f"callers.{zone}" for zone in zones if name in ("", zone))
            case "part":
                try:
                    return frozenset(self.random.sample(nodes, max(1, round(float(name) * len(nodes)))))
                except ValueError:
                    raise ConfigError(key, f"a part from 0 to 1 is wanted, not {name!r}") from None
            case "others" if rest_of:
                return frozenset(self.parties - rest_of)
        found = name if word in ("node", "party") else text
        if found in self.parties or found.removeprefix("runtime.") in nodes:
            return frozenset([found])
        raise ConfigError(key, f"there is no party {text!r}")


def _fault(table: Table, selector: Selector) -> Fault:
    table.only("kind", "at_s", "for_s", "of", "to", "one_way", "ms", "part")
    kind = table.word("kind", (*LINK, *PROCESS, *SERVICE, "surge"))
    of: frozenset[str] = frozenset()
    to: frozenset[str] = frozenset()
    if kind != "surge":
        of = selector.settle(table.text("of"), table.path("of"))
    if kind in LINK:
        to = selector.settle(table.text("to", "others"), table.path("to"), of)
    if kind in PROCESS and not of <= set(selector.nodes):
        raise ConfigError(table.path("of"), f"{kind} is a fault of nodes")
    if kind in SERVICE and not all(party.startswith(SERVICE[kind]) for party in of):
        raise ConfigError(table.path("of"), f"{kind} is a fault of {' or '.join(SERVICE[kind])}")
    needs_part = kind in ("loss", "duplicate", "reorder", "starve", "slow", "surge")
    return Fault(kind, table.number("at_s"), table.number("for_s", 0.0), of, to, table.flag("one_way", False),
                 table.number("ms", 0.0) if kind not in ("delay", "late") else table.number("ms"),
                 table.number("part", None, 0.001, 100.0) if needs_part else 0.0)


def _kind(table: Table) -> Kind:
    table.only("name", "share", "work_ms", "aim_ms", "deadline_ms", "worth", "effect", "calls", "skip_worth",
               "window_ms")
    return Kind(table.text("name"), table.number("share", 1.0), table.number("work_ms", 60.0, 0.1),
                table.number("aim_ms", 2000.0, 1.0), table.number("deadline_ms", 6000.0, 10.0),
                table.number("worth", 1.0), table.word("effect", tuple(EFFECTS), "safe") == "keyed",
                table.flag("calls", False), table.number("skip_worth", 0.0, 0.0, 1.0),
                table.number("window_ms", 20_000.0, 1.0))


def scaled(value: dict[str, Any], factor: float) -> dict[str, Any]:
    """Return a plan of so many times the size: nodes, callers, load, and what lies below."""
    made = {name: dict(part) if isinstance(part, dict) else part for name, part in value.items()}
    made["zones"] = [{**zone, "nodes": round(zone["nodes"] * factor),
                      "callers": max(1, round(zone.get("callers", 2) * factor))} for zone in value["zones"]]
    for name, keys in (("run", ("rate",)), ("list", ("capacity",)), ("below", ("slots", "most", "capacity"))):
        for key in keys:
            if key in made.get(name, {}):
                made[name][key] = round(made[name][key] * factor)
    return made


def parse(value: Any) -> Plan:
    """Check a plan."""
    table = Table(value)
    table.only("run", "zones", "classes", "nodes", "list", "below", "callers", "faults")
    run, nodes, listed = table.table("run"), table.table("nodes"), table.table("list")
    below, callers = table.table("below"), table.table("callers")
    run.only("seconds", "wait_s", "spread_s", "seed", "rate")
    nodes.only("cores", "memory_kb", "read_ms", "cold_from", "cold_s", "starts_cold", "stop_ms")
    listed.only("capacity", "answer_ms", "lapse_s", "notice_s")
    below.only("slots", "service_ms", "most", "capacity", "over_s", "down_s", "cold_from", "cold_s",
               "starts_cold", "per_zone")
    callers.only("tries", "wait_ms", "heeds")
    zones = []
    for entry in table.tables("zones"):
        entry.only("name", "nodes", "callers")
        zones.append(Zone(entry.text("name"), entry.whole("nodes", None, 0, MOST_NODES),
                          entry.whole("callers", 2, 0, 1000)))
    kinds = tuple(_kind(entry) for entry in table.tables("classes"))
    if not kinds:
        raise ConfigError("classes", "at least one is needed")
    if len({zone.name for zone in zones}) != len(zones) or not sum(zone.nodes for zone in zones):
        raise ConfigError("zones", "each needs a name of its own, and one of them a node")
    slots = below.whole("slots", 40, 1)
    made = Plan(
        run.number("seconds", 20.0, 0.1, 3600), run.number("wait_s", 30.0), run.number("spread_s", 0.2),
        run.whole("seed", 1), run.number("rate", 20.0, 0.0, 100_000), tuple(zones), kinds,
        NodePlan(nodes.whole("cores", 2, 1), nodes.number("memory_kb", 40_000.0, 1.0),
                 nodes.number("read_ms", 0.0), nodes.number("cold_from", 1.0, 0.01, 1.0),
                 nodes.number("cold_s", 10.0, 0.1), nodes.flag("starts_cold", False),
                 nodes.whole("stop_ms", 4000, 500)),
        ListPlan(listed.number("capacity", 1000.0, 0.1), listed.number("answer_ms", 2.0),
                 listed.number("lapse_s", 3.0, 0.1), listed.number("notice_s", 1.0)),
        BelowPlan(slots, below.number("service_ms", 30.0, 0.1), below.whole("most", 8 * slots, 1),
                  below.number("capacity", 4.0 * slots, 0.1), below.number("over_s", 5.0, 0.1),
                  below.number("down_s", 5.0), below.number("cold_from", 0.3, 0.01, 1.0),
                  below.number("cold_s", 8.0, 0.1), below.flag("starts_cold", False),
                  below.flag("per_zone", False)),
        Habits(callers.whole("tries", 3), callers.number("wait_ms", 20.0),
               callers.number("heeds", 0.85, 0, 1)), ())
    selector = Selector(made)
    faults = tuple(_fault(entry, selector) for entry in table.tables("faults"))
    return Plan(**{name: getattr(made, name) for name in Plan.__slots__ if name != "faults"}, faults=faults)


def check_room(plan: Plan) -> None:
    """Refuse more real nodes than the descriptors and the memory of this machine allow."""
    count = len(plan.node_names())
    if len(plan.zones) > 250:
        raise ConfigError("zones", "more than there are loopback addresses for")
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = count * NODE_DESCRIPTORS + 200
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise ConfigError("zones", f"{count} nodes need {needed} descriptors, {hard} are allowed")
    found = dict(line.split(":", 1) for line in Path("/proc/meminfo").read_text().splitlines())
    free_mb = int(found["MemAvailable"].split()[0]) // 1024
    if count * NODE_MB > free_mb:
        raise ConfigError("zones", f"{count} nodes need {count * NODE_MB} MB, {free_mb} are free")


def read(paths: Sequence[Path], scale: float = 1.0) -> Plan:
    """Read a plan from files: a later one adds to the tables of those before, and replaces all else."""
    whole: dict[str, Any] = {}
    for path in paths:
        try:
            for name, part in tomllib.loads(path.read_text()).items():
                known, both = whole.get(name), isinstance(part, dict)
                whole[name] = {**known, **part} if both and isinstance(known, dict) else part
        except (OSError, ValueError) as error:
            raise ConfigError(str(path), str(error)) from None
    parse(whole)
    return parse(scaled(whole, scale)) if scale != 1 else parse(whole)
