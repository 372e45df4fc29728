"""What the parts of a run with injected faults share: the nodes, what is known of them, and the checker."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from reelusher.fleet.replication.positions import partition_of
from reelusher.lab.capacity.books import HistoryChecker, Row
from reelusher.lab.capacity.fault_run_plan import START_TIMEOUT_S, FaultRunPlan
from reelusher.lab.capacity.nodes import NodeAddresses, NodeProcesses
from reelusher.lab.capacity.wires import ApiResponse, Callers, call_admin_api, wait_until_ready
from reelusher.lab.fleet.relay import FaultProxyNetwork

MAX_CONTROL_MEMBERS = 3
LAG_CHECK_INTERVAL_S = 0.02  # between measurements of this process's lag


class FaultRunContext:
    """The nodes of one run, their states and rows, and the tasks that act on them."""

    nodes: NodeProcesses  # set when the run starts

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
        self.figures: dict[str, Any] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.changing = self.requesting = True
        self.max_lag_s = 0.0
        self.cut_active = False

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

    async def call_api(
        self,
        node: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> ApiResponse | None:
        """Call the administration API of a node; return None if it gave no complete answer.

        Raises `NodeUnreachableError`.
        """
        return await call_admin_api(self.addresses[node].admin, method, path, body, headers, timeout_s)

    async def start_node(self, name: str) -> None:
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

    def mark_away(self, name: str, state: str) -> None:
        """Record that a node is not expected to answer from now on, and why."""
        self.state[name] = state
        self.checker.note_unavailable(name, self.loop.time())

    def measure_lag(self, due_s: float) -> None:
        """Measure the lag of this event loop: what other processes do is observed later by that much."""
        now = self.loop.time()
        self.max_lag_s = max(self.max_lag_s, now - due_s)
        self.loop.call_at(now + LAG_CHECK_INTERVAL_S, self.measure_lag, now + LAG_CHECK_INTERVAL_S)
