"""The scenario that the live rig and the model share: stand-ins, callers, and the schedule of faults."""

import itertools
from typing import Any

from reelusher.lab.fleet.account import RunHistory
from reelusher.lab.fleet.callers import Caller, Transport
from reelusher.lab.fleet.plan import LINK_FAULTS, Fault, Plan
from reelusher.lab.fleet.services import DownstreamService, Runtime, Scheduler, ServiceRegistry

SNAPSHOT_INTERVAL_S = 0.1  # between snapshots of the service registry
FINAL_ANSWERS_S = 2.0  # wait for the last answers beyond the longest deadline


class Scenario:
    """One run of a plan on a scheduler. Subclasses define how nodes and links are controlled."""

    def __init__(self, plan: Plan, scheduler: Scheduler) -> None:
        self.plan, self.scheduler, self.history = plan, scheduler, self.make_history(plan)
        self.history.load_start_s = scheduler.time()
        classes = {request_class.name: request_class for request_class in plan.classes}
        self.registry = ServiceRegistry(scheduler, plan.registry, self.history)
        self.downstreams = {
            name: DownstreamService(scheduler, plan.downstream, name, self.history)
            for name in plan.downstream_names()
        }
        self.runtimes = {
            name: Runtime(scheduler, plan.nodes, classes, name, self.history, plan.run.seed)
            for name in plan.node_names()
        }
        self.zone_of = plan.zone_of()
        self.dead_nodes: set[str] = set()
        self.restarted_nodes: set[str] = set()  # that have started more than once
        self.paused_since_s: dict[str, float] = {}  # of nodes that are paused now

    def make_history(self, plan: Plan) -> RunHistory:
        """Return the history that the run is recorded in."""
        return RunHistory(plan)

    def downstream_of(self, name: str) -> str:
        """Return the name of the downstream service that a node calls."""
        return f"below.{self.zone_of[name]}" if self.plan.downstream.per_zone else "below"

    def snapshot_registry(self) -> None:
        """Take a snapshot of the service registry, and again every `SNAPSHOT_INTERVAL_S`."""
        self.registry.take_snapshot()
        self.scheduler.call_later(SNAPSHOT_INTERVAL_S, self.snapshot_registry)

    def start_nodes(self) -> None:
        """Start all nodes, spread over the period that the plan states, and begin to take snapshots."""
        self.snapshot_registry()
        for number, name in enumerate(self.runtimes):
            self.scheduler.call_later(
                number * self.plan.run.spread_s / len(self.runtimes), self.start_node, name
            )

    def all_nodes_visible(self) -> bool:
        """Return whether callers see every node in the service registry."""
        return len(self.registry.visible_nodes()) == len(self.runtimes)

    def start_load(self, transport: Transport) -> None:
        """Start the callers and the schedule of faults; this is time 0 of the history."""
        self.history.begin_load(self.scheduler.time())
        ids, number = itertools.count(1), itertools.count(1)
        count = sum(zone.callers for zone in self.plan.zones)
        for zone in self.plan.zones:
            for _ in range(zone.callers):
                Caller(
                    self.scheduler,
                    self.plan,
                    zone.name,
                    next(number),
                    self.history,
                    self.registry.visible_nodes,
                    transport,
                    self.plan.run.rate / count,
                    ids,
                ).start()
        for fault in self.plan.faults:
            self.scheduler.call_later(fault.at_s, self._begin_fault, fault)

    # Control of nodes and links, defined by subclasses

    def set_link_fault(self, fault: Fault, active: bool) -> None:
        """Begin or end a fault of links."""
        raise NotImplementedError

    def kill_node(self, name: str) -> None:
        """Kill a node."""
        raise NotImplementedError

    def start_node(self, name: str) -> None:
        """Start a node that is not running."""
        raise NotImplementedError

    def set_paused(self, name: str, paused: bool) -> None:
        """Pause or resume a node."""
        raise NotImplementedError

    def restart(self, name: str) -> None:
        """Drain a node and start it again."""
        raise NotImplementedError

    def starve(self, name: str, fraction: float) -> None:
        """Let a node run for only this fraction of the time from now on; 1 ends the limit."""
        raise NotImplementedError

    # Faults

    def _begin_fault(self, fault: Fault) -> None:
        self.history.record_event(self.scheduler.time(), f"{fault.kind} begins")
        self._apply(fault, True)
        if fault.for_s and fault.kind not in ("surge", "restart"):
            self.scheduler.call_later(fault.for_s, self._end_fault, fault)

    def _end_fault(self, fault: Fault) -> None:
        self.history.record_event(self.scheduler.time(), f"{fault.kind} ends")
        self._apply(fault, False)

    def _apply(self, fault: Fault, active: bool) -> None:
        if fault.kind in LINK_FAULTS:
            self.set_link_fault(fault, active)
            return
        for endpoint in sorted(fault.of):
            match fault.kind:
                case "kill" if active:
                    self.kill_node(endpoint)
                    self.on_node_ended(endpoint)
                case "kill":
                    self.start_again(endpoint)
                case "stop":
                    self.set_paused(endpoint, active)
                    self._record_pause(endpoint, active)
                case "restart":
                    self.restart(endpoint)
                case "starve":
                    self.starve(endpoint, fault.part if active else 1.0)
                case _:
                    self._apply_service_fault(fault, endpoint, active)

    def _record_pause(self, name: str, paused: bool) -> None:
        if paused:
            self.paused_since_s[name] = self.scheduler.time()
        else:
            self.history.record_pause(name, self.paused_since_s.pop(name), self.scheduler.time())

    def on_node_ended(self, name: str) -> None:
        """Record that a node's process has ended, and its runs with it."""
        self.dead_nodes.add(name)
        self.history.record_process_end(name, self.scheduler.time())
        self.runtimes[name].restart()

    def start_again(self, name: str) -> None:
        """Start a node whose process has ended, on a cold machine."""
        self.runtimes[name].restart()
        self.dead_nodes.discard(name)
        self.restarted_nodes.add(name)
        self.start_node(name)

    def is_cold_start(self, name: str) -> bool:
        """Return whether the machine of a node is cold when the node starts."""
        return name in self.restarted_nodes or self.plan.nodes.starts_cold

    def _apply_service_fault(self, fault: Fault, endpoint: str, active: bool) -> None:
        """Begin or end a fault of a stand-in."""
        service: Any = self.downstreams.get(endpoint) or self.runtimes.get(endpoint.removeprefix("runtime."))
        match fault.kind:
            case "slow" if service is not None:
                service.speed_factor = fault.part if active else 1.0
            case "fall" if active and endpoint in self.downstreams:
                service.crash()
            case "outage" if endpoint == "list":
                self.registry.set_unavailable(active)
            case "late" if endpoint == "list":
                self.registry.extra_delay_s = fault.ms / 1000 if active else 0.0
