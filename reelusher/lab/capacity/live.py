"""Fault injection into real processes: tenants change while nodes are killed, paused and cut off.

    python -m reelusher.lab.capacity.live --nodes 24 --kills 200 --json FILE
    python -m reelusher.lab.capacity.live fill --rows 260000

Loopback only. Exit status: 0, or 1 if an invariant was violated. Ctrl-C ends every process by its id.
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

from reelusher.fleet.replication.positions import partition_of
from reelusher.lab.capacity import fill
from reelusher.lab.capacity.books import (
    ACTIVE,
    SUSPENDED,
    WORKER_COUNT,
    History,
    HistoryChecker,
    Revision,
    Row,
    Step,
    expected_answer,
    worker_of,
)
from reelusher.lab.capacity.hollow import loopback_hosts
from reelusher.lab.capacity.nodes import CLASS, NodeAddresses, NodeProcesses
from reelusher.lab.capacity.wires import (
    ApiResponse,
    Callers,
    NamedWorker,
    NoAnswerError,
    NodeUnreachableError,
    call_admin_api,
    wait_until_ready,
)
from reelusher.lab.fleet.plan import Fault
from reelusher.lab.fleet.processes import ROOT
from reelusher.lab.fleet.relay import FaultProxyNetwork
from reelusher.lab.fleet.rig import STAND_IN_HOST, address_of, free_port

ZONES = ("a", "b", "c")
# wait after a kill, on the members' clock, for each simulated member of a process: the process gossips the
# news of the kill for all of its members
GOSSIP_S_PER_MEMBER = 0.01
MAX_CONTROL_MEMBERS = 3
POLL_INTERVAL_S = 0.2  # between two reads of one node's tenant table
LAG_CHECK_INTERVAL_S = 0.02  # between measurements of this process's lag
START_TIMEOUT_S = 60.0  # in which a process must start, or end
COMMAND_TIMEOUT_S = 120.0  # in which a process of simulated members must reply to a command
SETTLE_TIMEOUT_S = 60.0  # in which all nodes must show the same rows once they are all up
ANSWER_TIMEOUT_S = 12.0  # in which a request must be answered; its due time is 5 s
RETRY_PAUSE_RANGE_S = 0.05, 0.3  # shortest and longest pause before a change is sent again
SERIAL_BASE = 1_000_000  # a row's `max_open` is this plus its serial number
# Moments of kills, in turn. "during" and "after" kill the leader of a tenant's partition, while the tenant is
# being changed or right after the change is acknowledged; "asked" kills the node that a change is sent to,
# while the change is in progress; "any" kills any running node at once.
KILL_MOMENTS = ("after", "during", "asked", "after", "any")
# number of kills for each pause, cut, restart and lost replica
KILLS_PER_PAUSE, KILLS_PER_CUT, KILLS_PER_RESTART, KILLS_PER_LOST_REPLICA = 5, 20, 7, 9
INDEFINITE_STATUSES = {500, 502, 504}  # after these statuses a change may have been made or not
# the status by which each operation is rejected if an earlier attempt has already made the change
ALREADY_MADE_STATUS = {"put": 412, "patch": 412, "suspend": 412, "resume": 412, "create": 409, "delete": 404}


@dataclass(slots=True, frozen=True)
class FaultRunPlan:
    """The size, load and faults of a run."""

    nodes: int = 24
    kills: int = 200
    simulated_members: int = 0
    member_process_count: int = 1  # processes that run the simulated members
    tenants: int = 40
    requests_per_s: float = 100.0  # in total
    changes_per_s: float = 8.0  # in total, if each were answered at once
    # no fault is begun while this many nodes, or a quarter of all if that is less, are away
    max_away: int = 3
    replicated: bool = True
    seed: int = 1


def revision_of(headers: dict[str, str]) -> Revision | None:
    """Return the revision in an `ETag` header, or None without one."""
    text = headers.get("etag", "").strip('"')
    epoch, _, number = text.rpartition(".")
    return (int(epoch or 0), int(number)) if number.isdigit() else None


def row_of(tenant: dict[str, Any]) -> Row:
    """Return the row of a tenant that the administration API returned."""
    return tenant["max_open"] - SERIAL_BASE, tenant["state"]


class FaultRun:
    """One run of a `FaultRunPlan`: node processes under load, changes and faults, with a history checker."""

    def __init__(self, plan: FaultRunPlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(plan.seed)
        self.checker, self.net = HistoryChecker(), FaultProxyNetwork(plan.seed)
        self.names = [f"n{number + 1}" for number in range(plan.nodes)]
        self.tenants = [f"t{number + 1}" for number in range(plan.tenants)]
        self.control = (
            self.names[: min(MAX_CONTROL_MEMBERS, max(1, plan.nodes // 3))] if plan.replicated else []
        )
        self.leader_of = self._leaders()
        self.addresses: dict[str, NodeAddresses] = {}
        self.callers: dict[str, Callers] = {}
        self.state: dict[str, str] = dict.fromkeys(self.names, "new")
        self.rows: dict[str, dict[str, Row]] = {name: {} for name in self.names}
        # kills that wait for their moment, and the futures to set then
        self.pending_kills: deque[tuple[str, asyncio.Future[None]]] = deque()
        self.etags: dict[str, str] = {}  # newest entity tag of each tenant
        self.figures: dict[str, Any] = {}
        self.fault_counts: Counter[str] = Counter()
        self.heal_times_s: list[float] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.changing = self.requesting = True
        self.max_lag_s = 0.0
        self.cut_active = False
        self.member_processes: list[asyncio.subprocess.Process] = []
        self.command_lock = asyncio.Lock()
        self.status_before: dict[str, Any] = {}

    def _leaders(self) -> dict[str, str]:
        if not self.control:
            return dict.fromkeys(self.tenants, self.names[0])
        return {name: partition_of(name, self.control) for name in self.tenants}

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine in the background; an error in it fails the run."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.checker.violations.append(f"the run failed: {error!r}")

    async def until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until a condition holds; return whether it did in time."""
        deadline_s = self.loop.time() + timeout_s
        while not condition():
            if self.loop.time() > deadline_s:
                return False
            await asyncio.sleep(0.02)
        return True

    def up(self) -> list[str]:
        """Return the nodes that are up."""
        return [name for name in self.names if self.state[name] == "up"]

    # The run

    async def execute(self) -> None:
        """Run the plan; the checker then has the invariants that were violated."""
        self._measure_lag(self.loop.time())
        workers = [NamedWorker(worker_of(number), 2.0) for number in range(WORKER_COUNT)]
        servers = [await asyncio.start_server(worker.serve, STAND_IN_HOST, 0) for worker in workers]
        addresses = {
            worker.name.decode(): server.sockets[0].getsockname()
            for worker, server in zip(workers, servers, strict=True)
        }
        with NodeProcesses(self.folder, addresses) as self.nodes:
            try:
                await self._start_all()
                await self._inject_faults()
                await self._finish()
            finally:
                for process in self.member_processes:
                    if process.returncode is None:
                        process.kill()
                for task in list(self.tasks):
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)
                for callers in self.callers.values():
                    callers.close()
                self.net.close()
                for server in servers:
                    server.close()
        self._report()

    def _measure_lag(self, due_s: float) -> None:
        """Measure the lag of this event loop: what other processes do is observed later by that much."""
        now = self.loop.time()
        self.max_lag_s = max(self.max_lag_s, now - due_s)
        self.loop.call_at(now + LAG_CHECK_INTERVAL_S, self._measure_lag, now + LAG_CHECK_INTERVAL_S)

    async def _start_all(self) -> None:
        began_s = self.loop.time()
        await self._configure_nodes()
        await asyncio.gather(*(self._start_node(name) for name in self.names))
        self.figures["all_up_s"] = round(self.loop.time() - began_s, 3)
        if self.control:
            await self._wait_until_joined(0)
        if self.plan.simulated_members:
            await self._add_simulated_members()
        for name in self.names:
            self.spawn(self._watch(name))
        for name in self.tenants:
            self.spawn(self._change_repeatedly(name))
        self.spawn(self._load())
        histories = [self.checker.history(name) for name in self.tenants]
        if not await self.until(
            lambda: all(len(history.steps) > 2 or history.last.revision for history in histories),
            SETTLE_TIMEOUT_S,
        ):
            self.checker.violations.append("not all tenants could be created before the first fault")
        self.figures["all_made_s"] = round(self.loop.time() - began_s, 3)

    async def _configure_nodes(self) -> None:
        zone_of = {name: number % len(ZONES) for number, name in enumerate(self.names)}
        host_of = {name: address_of(zone_of[name], number, 0)[0] for number, name in enumerate(self.names)}
        hosts, ports = list(host_of.values()), set[int]()
        while len(ports) < 3:
            ports.add(free_port(hosts))
        ajp, admin, fleet = ports
        for name, host in host_of.items():
            self.net.endpoint_of[host] = name
            advertised = (
                await self.net.open_shared_proxy(name, (host, fleet), streams=True)
                if self.control
                else (host, fleet)
            )
            self.addresses[name] = NodeAddresses(
                (host, ajp), (host, admin), (host, fleet), advertised, ZONES[zone_of[name]]
            )
            self.callers[name] = Callers((host, ajp))
        seeds = [self.addresses[name].advertise for name in self.names[: len(ZONES)]]
        for name, addresses in self.addresses.items():
            self.nodes.configure(name, addresses, seeds, self.control)

    async def _start_node(self, name: str) -> None:
        """Start a node and wait until it responds."""
        self.state[name] = "starting"
        self.nodes.start(name)
        addresses = self.addresses[name]
        if not await wait_until_ready(
            addresses.admin, addresses.ajp, lambda: self.nodes.alive(name), START_TIMEOUT_S
        ):
            self.checker.violations.append(f"{name} did not come up within {START_TIMEOUT_S:.0f} s")
            return
        self.state[name] = "up"

    async def _call_api(
        self,
        node: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> ApiResponse | None:
        return await call_admin_api(self.addresses[node].admin, method, path, body, headers, timeout_s)

    async def _wait_until_joined(self, simulated_count: int) -> None:
        """Wait until each node considers all nodes and simulated members live."""
        began_s, wanted = self.loop.time(), len(self.names) + simulated_count

        async def sees(name: str) -> bool:
            with contextlib.suppress(NodeUnreachableError):
                response = await self._call_api(name, "GET", "/v1/fleet")
                return response is not None and response.status == 200 and response.value["live"] >= wanted
            return False

        while not all(await asyncio.gather(*map(sees, self.names))):
            if self.loop.time() - began_s > SETTLE_TIMEOUT_S:
                self.checker.violations.append("not all nodes consider all others live")
                return
            await asyncio.sleep(0.1)
        self.figures["hollow_joined_s" if simulated_count else "all_joined_s"] = round(
            self.loop.time() - began_s, 3
        )

    # Simulated members

    async def _add_simulated_members(self) -> None:
        """Start the processes of simulated members, and have them join the nodes."""
        count, shard_count = self.plan.simulated_members, self.plan.member_process_count
        port, incarnation = free_port(loopback_hosts(count)), int(time.time() * 1000)
        for shard in range(shard_count):
            log = self.nodes.log_file(f"hollow-{shard}").open("ab")
            self.member_processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-O",
                    "-m",
                    "reelusher.lab.capacity.hollow",
                    "--members",
                    str(count),
                    "--control",
                    *self.control,
                    "--secret",
                    str(self.nodes.secret),
                    "--sealed",
                    "--part",
                    str(shard),
                    "--parts",
                    str(shard_count),
                    "--port",
                    str(port),
                    "--life",
                    str(incarnation),
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=log,
                    cwd=ROOT,
                )
            )
            log.close()
        await asyncio.gather(*map(self._read_status, self.member_processes))
        await self._command_all(
            join=["{}:{}".format(*addresses.advertise) for addresses in self.addresses.values()]
        )
        await self._wait_until_joined(count)
        self.status_before = await self._command_all()

    async def _read_status(self, process: asyncio.subprocess.Process) -> dict[str, Any]:
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), COMMAND_TIMEOUT_S)
        if not line:
            raise RuntimeError("a process of simulated members has ended")
        status: dict[str, Any] = json.loads(line)
        return status

    async def _command(self, process: asyncio.subprocess.Process, command: dict[str, Any]) -> dict[str, Any]:
        assert process.stdin is not None
        process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self._read_status(process)

    async def _command_all(self, **command: Any) -> dict[str, Any]:
        """Send a command to all processes of simulated members; return their merged status."""
        async with self.command_lock:
            return merged_statuses(
                await asyncio.gather(*(self._command(process, command) for process in self.member_processes))
            )

    async def _end_simulated_members(self) -> None:
        """Check that all simulated members have the expected table, and end their processes."""
        if not self.member_processes:
            return
        wanted = {
            name: [SERIAL_BASE + row[0], row[1]] for name, row in self.checker.expected().items() if row
        }
        deadline_s, status = self.loop.time() + SETTLE_TIMEOUT_S, dict[str, Any]()
        member_count = self.plan.simulated_members
        while (status := await self._command_all(rows=wanted))["right"] < member_count:
            if self.loop.time() > deadline_s:
                self.checker.violations.append(
                    f"only {status['right']} of {member_count} simulated members have all changes"
                )
                break
            await asyncio.sleep(0.5)
        clock_s, lost_s, processor_s = (
            status[key] - self.status_before[key] for key in ("clock_s", "lost_s", "processor_s")
        )
        self.figures["hollow"] = status | {
            "of_real_time": round(clock_s / (clock_s + lost_s), 3),
            "of_a_core": round(processor_s / (clock_s + lost_s), 3),
        }
        for process in self.member_processes:
            assert process.stdin is not None
            process.stdin.close()
            await asyncio.wait_for(process.wait(), START_TIMEOUT_S)

    # Reading tables

    async def _watch(self, node: str) -> None:
        """Read a node's table periodically while it is up."""
        while True:
            if self.state[node] == "up":
                await self._read_table(node)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_table(self, node: str) -> bool:
        """Read a node's table; return whether that succeeded."""
        floors = {name: self.checker.floor(node, name) for name in self.tenants}
        self.checker.counts["looks"] += 1
        try:
            response = await self._call_api(node, "GET", "/v1/tenants?limit=1000")
        except NodeUnreachableError:
            return False
        if response is None or response.status != 200 or self.state[node] not in ("up", "leaving"):
            self.checker.counts["looks_in_vain"] += 1
            return False
        rows = {tenant["name"]: row_of(tenant) for tenant in response.value["tenants"]}
        now = self.loop.time()
        for name in self.tenants:
            self.checker.note_row(node, name, rows.get(name), floors[name], now)
        self.rows[node] = rows
        return True

    # Load

    async def _load(self) -> None:
        """Send requests at random times in an open loop, whatever becomes of earlier ones."""
        at_s = self.loop.time()
        while self.requesting:
            at_s += self.random.expovariate(self.plan.requests_per_s)
            await asyncio.sleep(max(0.0, at_s - self.loop.time()))
            up = self.up()
            if up:
                self.spawn(self._request(self.random.choice(up), self.random.choice(self.tenants)))

    async def _request(self, node: str, name: str) -> tuple[int, str] | None:
        """Send a request for a tenant; return its answer's status and worker, or None without an answer."""
        checker, began_s = self.checker, self.loop.time()
        floor = checker.floor(node, name)
        checker.counts["asked"] += 1
        try:
            status, worker = await self.callers[node].ask(
                f"{name}.example",
                ANSWER_TIMEOUT_S + self.max_lag_s,
                lambda: checker.note_extra_answer(node, name),
            )
        except (NoAnswerError, NodeUnreachableError) as error:
            checker.note_unanswered(node, name, began_s, self.loop.time(), str(error))
            return None
        checker.note_answer(node, name, status, worker, floor, self.loop.time(), began_s)
        return status, worker

    # Changes

    async def _change_repeatedly(self, name: str) -> None:
        """Change a tenant repeatedly at random times."""
        while self.changing and name not in self.checker.unverifiable:
            await self._change(name)
            if self.changing:
                await asyncio.sleep(self.random.expovariate(self.plan.changes_per_s / len(self.tenants)))

    def _next_change(self, history: History) -> tuple[str, Row]:
        """Choose the next change of a tenant: an operation, and a row that the tenant has not had before."""
        row, serial = history.last.row, history.serial() + 1
        if row is None:
            return "create", (serial, ACTIVE)
        changed = serial, row[1]
        candidates: list[tuple[str, Row]] = [("put", changed), ("patch", changed), ("delete", None)]
        toggle = ("suspend", (row[0], SUSPENDED)) if row[1] == ACTIVE else ("resume", (row[0], ACTIVE))
        if toggle[1] not in history.rows():
            candidates.append(toggle)
        return self.random.choices(candidates, [3, 3, 1, 2 if row[1] == ACTIVE else 8][: len(candidates)])[0]

    def _api_call_of(self, name: str, step: Step, key: str) -> tuple[str, str, Any, dict[str, str]]:
        """Return the method, path, body and headers of the API call for a change."""
        path = f"/v1/tenants/{name}"
        precondition = {"If-Match": self.etags[name]} if name in self.etags else {}
        serial = step.row[0] if step.row else 0
        fields = {"backend": worker_of(serial), "max_open": SERIAL_BASE + serial}
        tenant = {"name": name, "hosts": [f"{name}.example"], "default_class": CLASS, **fields}
        match step.op:
            case "create":
                return "POST", "/v1/tenants", tenant, {"Idempotency-Key": key}
            case "put":
                return "PUT", path, tenant, precondition
            case "patch":
                return "PATCH", path, fields, precondition
            case "delete":
                return "DELETE", path if self.control else f"{path}?within_ms=500", None, precondition
        return "POST", f"{path}/{step.op}", None, precondition

    async def _change(self, name: str) -> None:
        """Make a tenant's next change; retry until its answer is definite or the tenant is unverifiable."""
        checker, history = self.checker, self.checker.history(name)
        step = checker.begin(name, *self._next_change(history), self.loop.time())
        key = f"{name}-{len(history.steps)}-{self.plan.seed}"
        while True:
            up = self.up()
            node = self.random.choice(up) if up else ""
            if node:
                step.in_flight = True
                self._kill_during(name, node)
                method, path, body, headers = self._api_call_of(name, step, key)
                try:
                    response = await self._call_api(node, method, path, body, headers)
                except NodeUnreachableError:
                    step.in_flight = False
                else:
                    if await self._record_attempt(name, step, response) or name in checker.unverifiable:
                        return
            await asyncio.sleep(self.random.uniform(*RETRY_PAUSE_RANGE_S))

    async def _record_attempt(self, name: str, step: Step, response: ApiResponse | None) -> bool:
        """Record the answer to an attempt at a change; return whether the change is known to be made.

        Raises RuntimeError for a status such as 400 or 422, which no correct change gets.
        """
        checker = self.checker
        if response is None or response.status in INDEFINITE_STATUSES:
            checker.note_indeterminate(name, response.status if response else 0)
            return False
        if 200 <= response.status < 300:
            etag = response.headers.get("etag")
            if step.row is None:
                self.etags.pop(name, None)
            elif etag:
                self.etags[name] = etag
            else:
                checker.violations.append(
                    f"{name}: {step.op} was answered {response.status} without a revision"
                )
            checker.note_acked(name, revision_of(response.headers), self.loop.time())
            self._kill_after(name)
            return True
        if response.status in (400, 401, 403, 405, 422):
            raise RuntimeError(f"{step.op} of {name} was answered {response.status}: {response.value}")
        if response.status == ALREADY_MADE_STATUS[step.op] and await self._was_made_before(
            name, step, response.status
        ):
            return True
        if response.status == 404:
            checker.unverifiable.add(name)
            checker.violations.append(
                f"{name}: {step.op} found no tenant, though its last change was acknowledged"
            )
        if step.in_flight:
            checker.note_refused(name, response.status)
        return False

    async def _was_made_before(self, name: str, step: Step, status: int) -> bool:
        """Check whether the newest step is made already, and if so record that it is acknowledged.

        A deletion that finds no tenant counts as made. If no earlier attempt was indeterminate, a step that
        is made already is recorded as a violation, and so is any precondition that fails (412).
        """
        step.in_flight = (
            step.indeterminate
        )  # during this check only such an attempt can explain a node that shows it
        if step.row is None:
            self.etags.pop(name, None)
            self.checker.note_already_applied(name, status)
            self.checker.note_acked(name, None, self.loop.time())
            return True
        if status == 412 and not step.indeterminate:
            self.checker.note_already_applied(name, status)
            return False

        def showing() -> list[str]:
            return [node for node in self.up() if self.rows[node].get(name) == step.row]

        if not await self.until(lambda: bool(showing()), 5.0):
            step.in_flight = True
            return False
        with contextlib.suppress(NodeUnreachableError, IndexError):
            response = await self._call_api(showing()[0], "GET", f"/v1/tenants/{name}")
            if response is not None and response.status == 200 and row_of(response.value) == step.row:
                self.etags[name] = response.headers["etag"]
                self.checker.note_already_applied(name, status)
                self.checker.note_acked(name, revision_of(response.headers), self.loop.time())
                return True
        step.in_flight = True
        return False

    # Faults

    def _kill_during(self, name: str, node: str) -> None:
        """Kill the leader, or the node that the change is sent to, during a change if such a kill is due."""
        for moment, victim in (("during", self.leader_of[name]), ("asked", node)):
            if self.pending_kills and self.pending_kills[0][0] == moment and self.state[victim] == "up":
                _, done = self.pending_kills.popleft()
                self.loop.call_later(self.random.uniform(0.0, 0.03), self._kill, victim, done)
                return

    def _kill_after(self, name: str) -> None:
        """Kill the leader right after its acknowledgement if such a kill is due."""
        victim = self.leader_of[name]
        if self.pending_kills and self.pending_kills[0][0] == "after" and self.state[victim] == "up":
            self._kill(victim, self.pending_kills.popleft()[1])

    def _kill(
        self, name: str, done: "asyncio.Future[None] | None" = None, loses_replica: bool = False
    ) -> None:
        """Kill a process with SIGKILL, and start it again later."""
        if done is not None and not done.done():
            done.set_result(None)
        if self.state[name] != "up":  # another fault has already taken it down
            self.fault_counts["kills_missed"] += 1
            return
        self.fault_counts["kills"] += 1
        self.fault_counts["kills_of_writers"] += name in self.leader_of.values()
        self._mark_away(name, "dead")
        self.nodes.send(name, signal.SIGKILL)
        self.spawn(self._restart_when_ended(name, loses_replica))

    def _mark_away(self, name: str, state: str) -> None:
        self.state[name] = state
        self.checker.note_unavailable(name, self.loop.time())

    async def _restart_when_ended(self, name: str, loses_replica: bool = False) -> None:
        """Start a node again once its process has ended, and record that it is up."""
        if not await self.until(lambda: not self.nodes.alive(name), START_TIMEOUT_S):
            self.checker.violations.append(f"{name} did not end within {START_TIMEOUT_S:.0f} s")
            return
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        if loses_replica:
            self.fault_counts["copies_lost"] += 1
            self.nodes.delete_replica(name)
            self.checker.note_copy_lost(name)
            self.rows[name] = {}
        self.callers[name].close()
        await self._start_node(name)
        self.checker.note_available(name, self.loop.time())

    async def _pause(self, name: str, seconds: float) -> None:
        """Pause a process with SIGSTOP for a time."""
        self.fault_counts["stops"] += 1
        self._mark_away(name, "still")
        self.nodes.send(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.nodes.send(name, signal.SIGCONT)
        self.state[name] = "up"
        self.checker.note_available(name, self.loop.time())

    async def _drain_and_restart(self, name: str) -> None:
        """Drain a process with SIGTERM and start it again."""
        self.fault_counts["restarts"] += 1
        self._mark_away(name, "leaving")
        self.nodes.send(name, signal.SIGTERM)
        if not await self.until(lambda: not self.nodes.alive(name), START_TIMEOUT_S):
            self.checker.violations.append(f"{name} did not end within {START_TIMEOUT_S:.0f} s of SIGTERM")
            return
        if (status := self.nodes.running[name].returncode) != 0:
            self.checker.violations.append(f"{name} ended with status {status}")
        await self._restart_when_ended(name)

    async def _cut_off(self, zone: str, seconds: float) -> None:
        """Cut a zone off from the others for a time, and measure how long both sides then take to agree.

        They agree when all nodes that were available since the cut have the changes that were acknowledged by
        its end.
        """
        self.fault_counts["cuts"] += 1
        inside = frozenset(name for name, addresses in self.addresses.items() if addresses.zone == zone)
        fault = Fault("cut", 0.0, 0.0, inside, frozenset(self.names) - inside)
        self.cut_active = True
        self.checker.note_cut(self.names, self.loop.time(), True)
        await self._command_all(cut=[zone])
        self.net.begin(fault)
        await asyncio.sleep(seconds)
        self.net.end(fault)
        await self._command_all(cut=[])
        healed_s = self.loop.time()
        histories = [self.checker.history(name) for name in self.tenants]
        targets = [
            (history, len(history.steps) - 1 - (history.last.acked_s is None)) for history in histories
        ]

        def agreed() -> bool:
            steady = [
                node
                for node in self.names
                if not self.checker.was_unavailable(node, healed_s - seconds, self.loop.time())
            ]
            return all(
                history.min_step_index.get(node, 0) >= number or history.steps[number].row is None
                for node in steady
                for history, number in targets
            )

        if await self.until(agreed, SETTLE_TIMEOUT_S):
            self.heal_times_s.append(self.loop.time() - healed_s)
        else:
            self.checker.violations.append(
                f"{SETTLE_TIMEOUT_S:.0f} s after a cut of zone {zone} the sides do not agree"
            )
        self.checker.note_cut(self.names, self.loop.time(), False)
        self.cut_active = False

    async def _inject_faults(self) -> None:
        """Inject the planned number of kills, with pauses, cuts and restarts in between."""
        began_s, max_away = self.loop.time(), max(1, min(self.plan.max_away, len(self.names) // 4))
        for number in range(self.plan.kills):
            if not await self.until(lambda: len(self.names) - len(self.up()) < max_away, 2 * START_TIMEOUT_S):
                self.checker.violations.append("too many nodes stay down")
                return
            if number % KILLS_PER_CUT == KILLS_PER_CUT // 2 and self.control and not self.cut_active:
                zone = ZONES[number // KILLS_PER_CUT % len(ZONES)]
                self.spawn(self._cut_off(zone, self.random.uniform(2.0, 5.0)))
            if number % KILLS_PER_PAUSE == 2:
                self.spawn(self._pause(self.random.choice(self.up()), self.random.uniform(0.5, 3.0)))
            if number % KILLS_PER_RESTART == 3 and (up := self.up()):
                self.spawn(self._drain_and_restart(self.random.choice(up)))
            await self._inject_kill(number)
            await self._wait_for_gossip()
        self.figures["faults_s"] = round(self.loop.time() - began_s, 3)

    async def _wait_for_gossip(self) -> None:
        """Wait until simulated members have had time, by their clock, to gossip about a kill."""
        if not self.member_processes:
            return
        gossip_s = self.plan.simulated_members / self.plan.member_process_count * GOSSIP_S_PER_MEMBER
        until_s = (await self._command_all())["clock_s"] + gossip_s
        deadline_s = self.loop.time() + COMMAND_TIMEOUT_S
        while (await self._command_all())["clock_s"] < until_s:
            if self.loop.time() > deadline_s:
                self.checker.violations.append(
                    f"simulated members took more than {COMMAND_TIMEOUT_S:.0f} s to gossip about a kill"
                )
                return
            await asyncio.sleep(0.2)

    async def _inject_kill(self, number: int) -> None:
        moment, kills_before = KILL_MOMENTS[number % len(KILL_MOMENTS)], self.fault_counts["kills"]
        loses_replica = bool(self.control) and number % KILLS_PER_LOST_REPLICA == 4
        while self.fault_counts["kills"] == kills_before:
            others = [name for name in self.up() if name not in self.control]
            if loses_replica and others:
                self._kill(self.random.choice(others), loses_replica=True)
            elif moment == "any" and (up := self.up()):
                self._kill(self.random.choice(up))
            else:
                done = self.loop.create_future()
                self.pending_kills.append((moment, done))
                try:
                    await asyncio.wait_for(done, START_TIMEOUT_S)
                except TimeoutError:
                    self.checker.violations.append(
                        f"no change within {START_TIMEOUT_S:.0f} s at which to kill a node"
                    )
                    return
            await asyncio.sleep(0.02)

    # Final checks

    async def _finish(self) -> None:
        """Wait until all nodes are up and show the same rows, and check those against the history."""
        checker = self.checker
        if not await self.until(
            lambda: len(self.up()) == len(self.names) and not self.cut_active, 2 * START_TIMEOUT_S
        ):
            checker.violations.append(f"not all nodes are up again: {self.state}")
        self.changing = False
        if not await self.until(
            lambda: all(
                history.last.acked_s is not None or history.name in checker.unverifiable
                for history in checker.histories.values()
            ),
            SETTLE_TIMEOUT_S,
        ):
            checker.violations.append("not all changes have a definite answer although all nodes are up")
        began_s = self.loop.time()
        settled: set[str] = set()

        def poll() -> bool:
            now = self.loop.time()
            settled.update(node for node in self.up() if checker.has_final_rows(node, self.rows[node], now))
            return len(settled) == len(self.names)

        if not await self.until(poll, SETTLE_TIMEOUT_S):
            checker.violations.append(f"{sorted(set(self.names) - settled)} show another table at the end")
        self.figures["settled_s"] = round(self.loop.time() - began_s, 3)
        self.requesting = False
        await asyncio.gather(*map(self._check_answers, self.up()))
        shown = {node: self.rows[node] for node in self.up()}
        revisions = dict(zip(shown, await asyncio.gather(*map(self._revisions, shown)), strict=True))
        checker.check_final_state(shown, revisions)
        resident_kb = median(map(self.nodes.resident_kb, self.up()))
        self.figures["resident_mb"] = round(resident_kb / 1024, 1)
        await self._end_simulated_members()
        await self._drain_all()

    async def _check_answers(self, node: str) -> None:
        """Check that a request for each tenant is answered as its last row, or its absence, demands."""
        for name, row in self.checker.expected().items():
            answer, deadline_s = None, self.loop.time() + SETTLE_TIMEOUT_S
            while answer != expected_answer(row) and self.loop.time() < deadline_s:
                answer = await self._request(node, name)
                if answer is not None and answer[0] != 503:
                    break
                if answer != expected_answer(row):
                    await asyncio.sleep(0.1)  # a node may reject requests for a while, whatever the row
            if answer != expected_answer(row):
                self.checker.violations.append(
                    f"{node} answers {answer} for {name} at the end, whose row is {row}"
                )

    async def _revisions(self, node: str) -> dict[str, Revision]:
        revisions = {}
        for name, row in self.checker.expected().items():
            with contextlib.suppress(NodeUnreachableError):
                response = await self._call_api(node, "GET", f"/v1/tenants/{name}")
                if row and response and (revision := revision_of(response.headers)):
                    revisions[name] = revision
        return revisions

    async def _drain_all(self) -> None:
        """Drain all nodes with SIGTERM, and report errors in their logs."""
        draining = self.up()
        for name in draining:
            self._mark_away(name, "leaving")
            self.nodes.send(name, signal.SIGTERM)
        if not await self.until(lambda: not any(map(self.nodes.alive, draining)), START_TIMEOUT_S):
            self.checker.violations.append("not all nodes ended in time")
        for name in draining:
            if (status := self.nodes.running[name].poll()) != 0:
                self.checker.violations.append(f"{name} ended with status {status}")
        for name in self.names:
            self.checker.violations += [f"{name} logged: {line}" for line in self.nodes.error_lines(name)[:3]]

    def _report(self) -> None:
        times = self.checker.propagation_times_s(self.names, self.leader_of)
        percentiles_by_kind = {f"in_force_{kind}": percentiles(times_s) for kind, times_s in times.items()}
        self.figures |= {
            **self.fault_counts,
            **self.checker.counts,
            **percentiles_by_kind,
            "after_cut": percentiles(self.heal_times_s),
            "slowest": self.checker.slowest,
            "rig_late_s": round(self.max_lag_s, 3),
        }


def merged_statuses(statuses: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Merge the statuses of several processes of simulated members.

    Values are summed, but of clocks the slowest counts, of lost time the most, and of `live_*` the extreme.
    """
    combine = {"clock_s": min, "lost_s": max, "live_least": min, "live_most": max}
    return {
        key: combine.get(key, sum)([status.get(key, 0) for status in statuses])
        for key in dict.fromkeys(key for status in statuses for key in status)
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


def run_plan(plan: FaultRunPlan, folder: Path | None = None) -> FaultRun:
    """Run a plan. Logs and configurations of nodes go to `folder`, by default a temporary one.

    Raises SystemExit after SIGTERM, once all node processes have ended.
    """

    async def run_in(run_folder: Path) -> FaultRun:
        run, task = FaultRun(plan, run_folder), asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await run.execute()
        return run

    with contextlib.ExitStack() as stack:
        run_folder = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        run_folder.mkdir(parents=True, exist_ok=True)
        try:
            return asyncio.run(run_in(run_folder))
        except asyncio.CancelledError:
            raise SystemExit(128 + signal.SIGTERM) from None


def main(argv: list[str] | None = None) -> int:
    """Run a plan and print its figures; return 0, or 1 if an invariant was violated."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] == ["fill"]:
        return fill.main(arguments[1:])
    defaults = FaultRunPlan()
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.live", description="On loopback only.")
    parser.add_argument("--nodes", type=int, default=defaults.nodes)
    parser.add_argument("--kills", type=int, default=defaults.kills)
    parser.add_argument("--hollow", type=int, default=defaults.simulated_members, help="simulated members")
    parser.add_argument(
        "--hollow-parts",
        type=int,
        default=defaults.member_process_count,
        help="processes that run the simulated members",
    )
    parser.add_argument("--tenants", type=int, default=defaults.tenants)
    parser.add_argument(
        "--rate", type=float, default=defaults.requests_per_s, help="requests a second in all"
    )
    parser.add_argument(
        "--changes", type=float, default=defaults.changes_per_s, help="changes a second in all"
    )
    parser.add_argument("--away", type=int, default=defaults.max_away, help="nodes that are down at once")
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--alone", action="store_true", help="one node with a journal, not replicated")
    parser.add_argument("--logs", type=Path, help="keep the nodes' logs and configurations in this folder")
    parser.add_argument("--json", type=Path, help="write the figures there")
    args = parser.parse_args(arguments)
    nodes = 1 if args.alone else args.nodes
    began_s = time.monotonic()
    run = run_plan(
        FaultRunPlan(
            nodes,
            args.kills,
            args.hollow,
            args.hollow_parts,
            args.tenants,
            args.rate,
            args.changes,
            args.away,
            not args.alone,
            args.seed,
        ),
        args.logs,
    )
    figures = {**run.figures, "took_s": round(time.monotonic() - began_s, 1)}
    width = max(map(len, figures))
    for name, value in figures.items():
        print(f"{name.ljust(width)}  {value}")
    for line in run.checker.violations[:40]:
        print(f"broken: {line}")
    if args.json:
        args.json.write_text(
            json.dumps({"figures": figures, "broken": run.checker.violations}, indent=1) + "\n"
        )
    return 1 if run.checker.violations else 0


if __name__ == "__main__":
    sys.exit(main())
