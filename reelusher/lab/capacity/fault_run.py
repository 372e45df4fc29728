"""One run with injected faults: real nodes under load and changes, with a history checker."""

import asyncio
import contextlib
from collections import Counter
from pathlib import Path
from statistics import median
from typing import Any

from reelusher.lab.capacity.books import WORKER_COUNT, HistoryChecker, worker_of
from reelusher.lab.capacity.fault_injector import FaultInjector
from reelusher.lab.capacity.fault_run_context import FaultRunContext
from reelusher.lab.capacity.fault_run_plan import SETTLE_TIMEOUT_S, ZONES, FaultRunPlan
from reelusher.lab.capacity.final_checks import FinalChecks
from reelusher.lab.capacity.nodes import NodeAddresses, NodeProcesses
from reelusher.lab.capacity.simulated_members import SimulatedMembers
from reelusher.lab.capacity.tenant_changes import TenantChanges, row_of
from reelusher.lab.capacity.wires import Callers, NamedWorker, NoAnswerError, NodeUnreachableError
from reelusher.lab.fleet.rig import STAND_IN_HOST, address_of, free_port

POLL_INTERVAL_S = 0.2  # between two reads of one node's tenant table
ANSWER_TIMEOUT_S = 12.0  # in which a request must be answered; its due time is 5 s


class FaultRun:
    """One run of a `FaultRunPlan`: node processes under load, changes and faults, with a history checker."""

    def __init__(self, plan: FaultRunPlan, folder: Path) -> None:
        self._context = FaultRunContext(plan, folder)
        self._loop, self._random = self._context.loop, self._context.random
        self._members = SimulatedMembers(self._context)
        self.faults = FaultInjector(self._context, self._members)
        self._changes = TenantChanges(self._context, self.faults)

    @property
    def checker(self) -> HistoryChecker:
        """The checker, which has the invariants that were violated."""
        return self._context.checker

    @property
    def figures(self) -> dict[str, Any]:
        """The figures of the run by name; complete once it has ended."""
        return self._context.figures

    @property
    def fault_counts(self) -> Counter[str]:
        """How many faults of each kind were injected."""
        return self.faults.counts

    async def execute(self) -> None:
        """Run the plan; the checker then has the invariants that were violated."""
        self._context.measure_lag(self._loop.time())
        workers = [NamedWorker(worker_of(number), 2.0) for number in range(WORKER_COUNT)]
        servers = [await asyncio.start_server(worker.serve, STAND_IN_HOST, 0) for worker in workers]
        addresses = {
            worker.name.decode(): server.sockets[0].getsockname()
            for worker, server in zip(workers, servers, strict=True)
        }
        with NodeProcesses(self._context.folder, addresses) as self._context.nodes:
            try:
                await self._start_all()
                await self.faults.inject()
                await FinalChecks(self._context, self._members, self._request).run()
            finally:
                self._members.kill()
                for task in list(self._context.tasks):
                    task.cancel()
                await asyncio.gather(*self._context.tasks, return_exceptions=True)
                for callers in self._context.callers.values():
                    callers.close()
                self._context.net.close()
                for server in servers:
                    server.close()
        self._report()

    async def _start_all(self) -> None:
        began_s = self._loop.time()
        await self._configure_nodes()
        await asyncio.gather(*(self._context.start_node(name) for name in self._context.names))
        self.figures["all_up_s"] = round(self._loop.time() - began_s, 3)
        if self._context.control:
            await self._wait_until_joined(0)
        if self._context.plan.simulated_members:
            await self._members.start()
            await self._wait_until_joined(self._context.plan.simulated_members)
            await self._members.begin_measuring()
        for name in self._context.names:
            self._context.spawn(self._watch(name))
        for name in self._context.tenants:
            self._context.spawn(self._changes.repeat(name))
        self._context.spawn(self._load())
        histories = [self.checker.history(name) for name in self._context.tenants]
        if not await self._context.until(
            lambda: all(len(history.steps) > 2 or history.last.revision for history in histories),
            SETTLE_TIMEOUT_S,
        ):
            self.checker.violations.append("not all tenants could be created before the first fault")
        self.figures["all_made_s"] = round(self._loop.time() - began_s, 3)

    async def _configure_nodes(self) -> None:
        zone_of = {name: number % len(ZONES) for number, name in enumerate(self._context.names)}
        host_of = {
            name: address_of(zone_of[name], number, 0)[0] for number, name in enumerate(self._context.names)
        }
        hosts, ports = list(host_of.values()), set[int]()
        while len(ports) < 3:
            ports.add(free_port(hosts))
        ajp, admin, fleet = ports
        for name, host in host_of.items():
            self._context.net.endpoint_of[host] = name
            advertised = (
                await self._context.net.open_shared_proxy(name, (host, fleet), streams=True)
                if self._context.control
                else (host, fleet)
            )
            self._context.addresses[name] = NodeAddresses(
                (host, ajp), (host, admin), (host, fleet), advertised, ZONES[zone_of[name]]
            )
            self._context.callers[name] = Callers((host, ajp))
        seeds = [self._context.addresses[name].advertise for name in self._context.names[: len(ZONES)]]
        for name, addresses in self._context.addresses.items():
            self._context.nodes.configure(name, addresses, seeds, self._context.control)

    async def _wait_until_joined(self, simulated_count: int) -> None:
        """Wait until each node considers all nodes and simulated members live."""
        began_s, wanted = self._loop.time(), len(self._context.names) + simulated_count

        async def sees(name: str) -> bool:
            with contextlib.suppress(NodeUnreachableError):
                response = await self._context.call_api(name, "GET", "/v1/fleet")
                return response is not None and response.status == 200 and response.value["live"] >= wanted
            return False

        while not all(await asyncio.gather(*map(sees, self._context.names))):
            if self._loop.time() - began_s > SETTLE_TIMEOUT_S:
                self.checker.violations.append("not all nodes consider all others live")
                return
            await asyncio.sleep(0.1)
        self.figures["hollow_joined_s" if simulated_count else "all_joined_s"] = round(
            self._loop.time() - began_s, 3
        )

    async def _watch(self, node: str) -> None:
        """Read a node's table periodically while it is up."""
        while True:
            if self._context.state[node] == "up":
                await self._read_table(node)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_table(self, node: str) -> bool:
        """Read a node's table; return whether that succeeded."""
        floors = {name: self.checker.floor(node, name) for name in self._context.tenants}
        self.checker.counts["looks"] += 1
        try:
            response = await self._context.call_api(node, "GET", "/v1/tenants?limit=1000")
        except NodeUnreachableError:
            return False
        if response is None or response.status != 200 or self._context.state[node] not in ("up", "leaving"):
            self.checker.counts["looks_in_vain"] += 1
            return False
        rows = {tenant["name"]: row_of(tenant) for tenant in response.value["tenants"]}
        now = self._loop.time()
        for name in self._context.tenants:
            self.checker.note_row(node, name, rows.get(name), floors[name], now)
        self._context.rows[node] = rows
        return True

    async def _load(self) -> None:
        """Send requests at random times in an open loop, whatever becomes of earlier ones."""
        at_s = self._loop.time()
        while self._context.requesting:
            at_s += self._random.expovariate(self._context.plan.requests_per_s)
            await asyncio.sleep(max(0.0, at_s - self._loop.time()))
            up = self._context.up()
            if up:
                self._context.spawn(
                    self._request(self._random.choice(up), self._random.choice(self._context.tenants))
                )

    async def _request(self, node: str, name: str) -> tuple[int, str] | None:
        """Send a request for a tenant; return its answer's status and worker, or None without an answer."""
        checker, began_s = self.checker, self._loop.time()
        floor = checker.floor(node, name)
        checker.counts["asked"] += 1
        try:
            status, worker = await self._context.callers[node].ask(
                f"{name}.example",
                ANSWER_TIMEOUT_S + self._context.max_lag_s,
                lambda: checker.note_extra_answer(node, name),
            )
        except (NoAnswerError, NodeUnreachableError) as error:
            checker.note_unanswered(node, name, began_s, self._loop.time(), str(error))
            return None
        checker.note_answer(node, name, status, worker, floor, self._loop.time(), began_s)
        return status, worker

    def _report(self) -> None:
        times = self.checker.propagation_times_s(self._context.names, self._context.leader_of)
        percentiles_by_kind = {f"in_force_{kind}": percentiles(times_s) for kind, times_s in times.items()}
        self._context.figures |= {
            **self.faults.counts,
            **self.checker.counts,
            **percentiles_by_kind,
            "after_cut": percentiles(self.faults.heal_times_s),
            "slowest": self.checker.slowest,
            "rig_late_s": round(self._context.max_lag_s, 3),
        }


def percentiles(times_s: list[float]) -> dict[str, float]:
    """Return the count, the median, the 99th percentile and the maximum of some times in seconds."""
    if not times_s:
        return {"count": 0}
    ordered = sorted(times_s)
    return {
        "count": len(ordered),
        "median_s": round(median(ordered), 3),
        "p99_s": round(ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))], 3),
        "most_s": round(ordered[-1], 3),
    }
