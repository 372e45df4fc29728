"""Plays one drawn run with real node processes: the rig, with signals, reloads and misbehaving clients."""

import asyncio
import contextlib
import json
import os
import random
import signal
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from reelusher.codecs import msgpack
from reelusher.config.checked_table import Address
from reelusher.lab.fleet.account import RunHistory
from reelusher.lab.fleet.plan import Plan
from reelusher.lab.fleet.processes import Processes, node_settings
from reelusher.lab.fleet.rig import Rig, free_port
from reelusher.lab.fleet.stage import FINAL_ANSWERS_S
from reelusher.lab.fleet.wires import CallerConnection
from soak.history import GRACE_S, SoakHistory
from soak.plan import AfterTerm, Soak, Step, TimedStep

CLIENT_S = 3.0  # how long a misbehaving client stays connected
CROWD_SIZE = 400  # of the 512 descriptors of a node
SILENT_CLIENTS = 20
MAX_DRAIN_S = 5.0  # longer than any drain of a run takes
REST_S = 1.0  # without load, before descriptors are counted at the end
POLL_S = 0.01
HEALTH_CHECK = msgpack.pack([0, 1, "health", [{}]])


class SoakProcesses(Processes):
    """Node processes whose key locks outlive them."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        super().__init__(plan, folder)
        self.environment["TMPDIR"] = str(folder)

    def configure(
        self, name: str, listen: Address, downstream: Address, registry: Address, runtime: Address
    ) -> None:
        """Set a node's configuration, with an address for operators, which key locks need."""
        super().configure(name, listen, downstream, registry, runtime)
        self.configs[name]["operator"] = f"{listen[0]}:{free_port([listen[0]])}"

    def write_config(self, name: str, changes: dict[str, Any]) -> None:
        """Replace the file that a node reads at SIGHUP; `changes` replace settings of classes."""
        settings = node_settings(self.plan, False)
        settings["categories"] = [{**category, **changes} for category in settings["categories"]]
        self._path(name).write_text(json.dumps({**self.configs[name], "settings": settings}))

    def break_config(self, name: str) -> None:
        """Cut the file that a node reads at SIGHUP in half."""
        path = self._path(name)
        path.write_text(path.read_text()[: path.stat().st_size // 2])

    def _path(self, name: str) -> Path:
        return self.folder / f"{name}.json"


class SoakRig(Rig):
    """A run of the rig that also plays the steps of a soak."""

    history: SoakHistory

    def __init__(self, soak: Soak, folder: Path) -> None:
        super().__init__(soak.plan, folder)
        self.soak, self.random = soak, random.Random(f"soak rig {soak.seed}")
        self.processes: SoakProcesses = SoakProcesses(soak.plan, folder)
        self.descriptors_before: dict[str, int] = {}
        self.accepting: set[str] = set()  # nodes that have accepted a connection since their last start

    def make_history(self, plan: Plan) -> RunHistory:
        """Return the history of a soak."""
        return SoakHistory(plan)

    def start_load(self, transport: Any) -> None:
        """Start the load, and schedule the steps of the soak."""
        for name in self.node_addresses:
            self.descriptors_before[name] = self._descriptors(name)
        super().start_load(transport)
        for step in self.soak.steps:
            self.loop.call_later(step.at_s, self._spawn_step, step)

    def _spawn_step(self, step: TimedStep) -> None:
        self.network.spawn(self._play_step(step))

    def start_node(self, name: str) -> None:
        """Start a node's process, and measure how long it takes to accept a connection."""
        self.accepting.discard(name)
        super().start_node(name)
        self.network.spawn(self._measure_start(name))

    async def _measure_start(self, name: str) -> None:
        started_s = self.loop.time()
        while self.processes.is_alive(name):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.node_addresses[name])
                writer.close()
                self.accepting.add(name)
                break
            await asyncio.sleep(POLL_S)
        lag_s = self.history.total_lag_since(started_s - self.history.load_start_s)
        self.history.record_start(name, self.loop.time() - started_s - lag_s)

    # Drains

    async def _stop_node(self, name: str) -> None:
        """Send the signals of a drain; kill the node at the earliest time that the protocol allows."""
        process, stop_s = self.processes.running[name], self.plan.nodes.stop_ms / 1000
        for _ in range(self.soak.hups_before_term):
            self.processes.send_signal(name, signal.SIGHUP)
        self.history.record_term(name, self.loop.time())
        self.processes.send_signal(name, signal.SIGTERM)
        term_s = self.loop.time()
        if self.soak.after_term is not AfterTerm.NOTHING:
            second = signal.SIGTERM if self.soak.after_term is AfterTerm.TERM else signal.SIGHUP
            self.loop.call_later(self.random.uniform(0.0, GRACE_S), self.processes.send_signal, name, second)
        while process.poll() is None and self.loop.time() < term_s + stop_s:
            await asyncio.sleep(POLL_S)
        status = process.poll()
        if status is None:
            self.processes.kill(name)
        self.history.record_exit(name, self.loop.time(), status, stop_s)

    # Steps

    async def _play_step(self, step: TimedStep) -> None:
        if not self.processes.is_alive(step.node):
            return
        self.history.record_event(self.loop.time(), f"{step.step.value} at {step.node}")
        match step.step:
            case Step.RELOAD:
                self.processes.write_config(step.node, {"worth": 2.0})
                self.processes.send_signal(step.node, signal.SIGHUP)
            case Step.BROKEN_RELOAD if step.node in self.accepting:  # a node can't start with such a file
                self.processes.break_config(step.node)
                self.processes.send_signal(step.node, signal.SIGHUP)
                await asyncio.sleep(0.5)
                self.processes.write_config(step.node, {})
                self.processes.send_signal(step.node, signal.SIGHUP)
            case Step.MALFORMED:
                await self._client(step.node, HEALTH_CHECK + b"\xc1" * 40_000)
            case Step.HALF_REQUEST:
                await self._client(step.node, HEALTH_CHECK[:-3])
            case Step.SILENT:
                await asyncio.gather(*(self._client(step.node, b"") for _ in range(SILENT_CLIENTS)))
            case Step.HALF_CLOSED:
                await self._half_closed_client(step.node)
            case Step.CROWD:
                await asyncio.gather(*(self._client(step.node, HEALTH_CHECK) for _ in range(CROWD_SIZE)))

    async def _client(self, name: str, data: bytes) -> None:
        """Connect, send some bytes, and stay until the node closes the connection or `CLIENT_S` is over."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection(*self.node_addresses[name])
            writer.write(data)
            try:
                await asyncio.wait_for(reader.read(-1), CLIENT_S)
            finally:
                writer.close()

    async def _half_closed_client(self, name: str) -> None:
        """Send a health check and shut down the writing side: the answer must come, and then the end."""
        sent_s = self.loop.time()
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*self.node_addresses[name])
            writer.write(HEALTH_CHECK)
            writer.write_eof()
            answer = await asyncio.wait_for(reader.read(-1), FINAL_ANSWERS_S + CLIENT_S)
            writer.close()
            if not answer and not self._was_draining(name, sent_s):
                self.history.violations.append(f"{name} did not answer a half-closed health check")

    def _was_draining(self, name: str, since_s: float) -> bool:
        """Return whether a node has been sent SIGTERM since `MAX_DRAIN_S` before a time."""
        terms_s = self.history.terms(name)
        return any(term_s > since_s - self.history.load_start_s - MAX_DRAIN_S for term_s in terms_s)

    # The end

    async def after_load(self) -> None:
        """Check what the nodes hold once nobody uses them any more."""
        await asyncio.sleep(REST_S)
        for name in self.node_addresses:
            if self.processes.is_alive(name):
                pid = self.processes.running[name].pid
                pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
                before, after = self.descriptors_before[name], self._descriptors(name)
                held = self._connections_of_callers(name)
                self.history.record_resources(name, before + held, after, resident_mb)
        files = [path for path in self.processes.folder.glob("*.keys/*") if path.name != "lock"]
        keyed = sum(1 for request in self.history.requests if request.key)
        self.history.record_key_locks(len(files), keyed * len(self.node_addresses))

    def _connections_of_callers(self, name: str) -> int:
        """Return how many connections callers hold open to a node."""
        return sum(
            len(link.connection_by_peer) for (_, target), link in self.network.links.items() if target == name
        )

    def _descriptors(self, name: str) -> int:
        process = self.processes.running.get(name)
        return len(list(Path(f"/proc/{process.pid}/fd").iterdir())) if process else 0

    def check_logs(self) -> None:
        """Record the faults in the logs of all nodes."""
        for name in self.node_addresses:
            self.history.record_log(name, self.processes.log(name))


@contextlib.contextmanager
def ignore_last_calls(ignores: bool) -> Iterator[None]:
    """Within the context, callers ignore `lastCall` if `ignores`, and use connections until they end."""
    original = CallerConnection.is_last_call
    if ignores:
        CallerConnection.is_last_call = lambda self, message: False  # type: ignore[method-assign]
    try:
        yield
    finally:
        CallerConnection.is_last_call = original  # type: ignore[method-assign]


def play(soak: Soak, folder: Path | None = None) -> SoakHistory:
    """Play a run and return its history; logs and configurations are kept in `folder` if it is given."""

    async def run(run_folder: Path) -> SoakHistory:
        rig = SoakRig(soak, run_folder)
        with rig.processes:
            await rig.play()
            return rig.history

    with contextlib.ExitStack() as stack:
        stack.enter_context(ignore_last_calls(soak.ignores_last_call))
        run_folder = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        run_folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run(run_folder))
