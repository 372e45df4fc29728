"""What the live rig and the model share: stand-ins, callers, and the timetable of faults."""

import itertools
from typing import Any

from reelusher.lab.fleet.account import Account
from reelusher.lab.fleet.callers import Caller, Way
from reelusher.lab.fleet.plan import LINK, Fault, Plan
from reelusher.lab.fleet.services import Below, ListService, Runtime, Timeline

LOOK_S = 0.1  # between looks at the list
LAST_S = 2.0  # beyond the longest deadline, for the last answers


class Stage:
    """A run on some timeline. Who plays it says what becomes of nodes and links."""

    def __init__(self, plan: Plan, line: Timeline) -> None:
        self.plan, self.line, self.account = plan, line, Account(plan)
        self.account.zero_s = line.time()
        kinds = {kind.name: kind for kind in plan.kinds}
        self.list = ListService(line, plan.listing, self.account)
        self.belows = {name: Below(line, plan.below, name, self.account) for name in plan.belows()}
        self.runtimes = {
            name: Runtime(line, plan.nodes, kinds, name, self.account, plan.run.seed)
            for name in plan.node_names()
        }
        self.zone_of = plan.zone_of()
        self.dead: set[str] = set()
        self.again: set[str] = set()  # nodes that have started more than once
        self.since: dict[str, float] = {}  # when nodes that stand still were stopped

    def below_of(self, name: str) -> str:
        """Return the service below that a node calls."""
        return f"below.{self.zone_of[name]}" if self.plan.below.per_zone else "below"

    def look(self) -> None:
        """Let the list note what stands on it, again and again."""
        self.list.look()
        self.line.call_later(LOOK_S, self.look)

    def begin_nodes(self) -> None:
        """Start all nodes within the time that the plan gives, and look at the list from now on."""
        self.look()
        for number, name in enumerate(self.runtimes):
            self.line.call_later(number * self.plan.run.spread_s / len(self.runtimes), self.start_node, name)

    def all_seen(self) -> bool:
        """Tell whether callers see every node on the list."""
        return len(self.list.as_seen()) == len(self.runtimes)

    def begin_load(self, way: Way) -> None:
        """Let callers ask, and the timetable of faults begin."""
        self.account.begin(self.line.time())
        names, number = itertools.count(1), itertools.count(1)
        count = sum(zone.callers for zone in self.plan.zones)
        for zone in self.plan.zones:
            for _ in range(zone.callers):
                Caller(
                    self.line,
                    self.plan,
                    zone.name,
                    next(number),
                    self.account,
                    self.list.as_seen,
                    way,
                    self.plan.run.rate / count,
                    names,
                ).begin()
        for fault in self.plan.faults:
            self.line.call_later(fault.at_s, self._begin, fault)

    # Who plays it says how

    def link(self, fault: Fault, begins: bool) -> None:
        """Break links or mend them."""
        raise NotImplementedError

    def end_node(self, name: str) -> None:
        """End a node at once."""
        raise NotImplementedError

    def start_node(self, name: str) -> None:
        """Start a node that has ended."""
        raise NotImplementedError

    def freeze(self, name: str, still: bool) -> None:
        """Have a node stand still, or go on."""
        raise NotImplementedError

    def restart(self, name: str) -> None:
        """Drain a node and start it again."""
        raise NotImplementedError

    def starve(self, name: str, part: float) -> None:
        """Let a node run for a part of the time from now on; 1: all the time."""
        raise NotImplementedError

    # Faults

    def _begin(self, fault: Fault) -> None:
        self.account.mark(self.line.time(), f"{fault.kind} begins")
        self._apply(fault, True)
        if fault.for_s and fault.kind not in ("surge", "restart"):
            self.line.call_later(fault.for_s, self._end, fault)

    def _end(self, fault: Fault) -> None:
        self.account.mark(self.line.time(), f"{fault.kind} ends")
        self._apply(fault, False)

    def _apply(self, fault: Fault, begins: bool) -> None:
        if fault.kind in LINK:
            self.link(fault, begins)
            return
        for party in sorted(fault.of):
            match fault.kind:
                case "kill" if begins:
                    self.end_node(party)
                    self.gone(party)
                case "kill":
                    self.come_back(party)
                case "stop":
                    self.freeze(party, begins)
                    self._still(party, begins)
                case "restart":
                    self.restart(party)
                case "starve":
                    self.starve(party, fault.part if begins else 1.0)
                case _:
                    self._service(fault, party, begins)

    def _still(self, name: str, still: bool) -> None:
        if still:
            self.since[name] = self.line.time()
        else:
            self.account.note_away(name, self.since.pop(name), self.line.time())

    def gone(self, name: str) -> None:
        """Note that a node has ended, and its runs with it."""
        self.dead.add(name)
        self.account.note_end_of_life(name, self.line.time())
        self.runtimes[name].restart()

    def come_back(self, name: str) -> None:
        """Start a node that has ended; its machine is cold."""
        self.runtimes[name].restart()
        self.dead.discard(name)
        self.again.add(name)
        self.start_node(name)

    def is_fresh(self, name: str) -> bool:
        """Tell whether a node that starts finds its machine cold."""
        return name in self.again or self.plan.nodes.starts_cold

    def _service(self, fault: Fault, party: str, begins: bool) -> None:
        """Break or mend a stand-in."""
        service: Any = self.belows.get(party) or self.runtimes.get(party.removeprefix("runtime."))
        match fault.kind:
            case "slow" if service is not None:
                service.slow = fault.part if begins else 1.0
            case "fall" if begins and party in self.belows:
                service.fall()
            case "outage" if party == "list":
                self.list.outage(begins)
            case "late" if party == "list":
                self.list.late_s = fault.ms / 1000 if begins else 0.0
