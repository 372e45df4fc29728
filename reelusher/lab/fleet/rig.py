"""Plays a plan with real nodes: starts them, sends load, injects faults on schedule, and records history."""

import asyncio
import contextlib
import itertools
import random
import resource
import signal
import socket
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from reelusher.config.checked_table import Address
from reelusher.lab.fleet.account import RunHistory
from reelusher.lab.fleet.census import MembershipObserver
from reelusher.lab.fleet.plan import Fault, Plan, check_resources
from reelusher.lab.fleet.processes import Processes, core_wait_s
from reelusher.lab.fleet.relay import FaultProxyNetwork
from reelusher.lab.fleet.stage import FINAL_ANSWERS_S, SNAPSHOT_INTERVAL_S, Scenario
from reelusher.lab.fleet.wires import (
    CallerConnections,
    DownstreamConnection,
    RegistryConnection,
    RuntimeConnection,
    RuntimeHost,
)

LAG_CHECK_INTERVAL_S = 0.01  # between measurements of the rig's own scheduling lag
CORE_WAIT_INTERVAL_S = 0.1  # minimum time between two readings of how long a node waited for a core
# of all nodes together; each reads about twelve small files, so a higher rate would starve the rig
MAX_CORE_WAIT_READS_PER_S = 240.0
STARVE_PERIOD_S = 0.02  # in each such period a starved node is stopped for a fraction
STAND_IN_HOST = "127.200.0.2"  # address that the stand-ins listen on, behind the fault proxies
PORT_RANGE, MAX_PORT_ATTEMPTS = (10_000, 32_000), 100
LOG_FAULT_MARKERS = ("Traceback", " ERROR ")  # texts in a node's log that count as a violation


def address_of(zone: int, number: int, port: int) -> Address:
    """Return the loopback address of a node by its zone and its number within it."""
    return f"127.{1 + number // 250}.{zone + 1}.{number % 250 + 1}", port


def free_port(hosts: list[str]) -> int:
    """Return a port that is free for connections and datagrams on all of these addresses.

    It lies below the ephemeral ports, since the kernel may assign one of those to an outgoing connection
    after it was found free and before the node listens on it.
    """
    for _ in range(MAX_PORT_ATTEMPTS):
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with contextlib.suppress(OSError):
            for host in hosts:
                with socket.create_server((host, port)), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                    datagrams.bind((host, port))
            return port
    raise OSError(f"no port is free on all of {len(hosts)} addresses")


class Rig(Scenario):
    """A run of a plan with real node processes."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.loop = asyncio.get_running_loop()
        super().__init__(plan, self.loop)
        self.network, self.processes = FaultProxyNetwork(plan.run.seed), Processes(plan, folder)
        self.membership_observer = MembershipObserver(self.loop.time)
        self.runtime_hosts = {name: RuntimeHost(runtime) for name, runtime in self.runtimes.items()}
        self.node_addresses: dict[str, Address] = {}
        self.cpu_fractions: dict[str, float] = {}  # fraction of the time for which a starved node runs
        self.servers: list[asyncio.Server] = []
        self.loop.set_exception_handler(self._on_loop_exception)

    def _on_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an unexpected exception in a stand-in as a violation, since it would distort the figures."""
        self.history.violations.append(
            f"the rig failed: {context.get('exception') or context.get('message')!r}"
        )

    async def play(self) -> RunHistory:
        """Play the plan and return its history."""
        plan, history = self.plan, self.history
        await self._set_up_proxies()
        try:
            self.start_nodes()
            self.membership_observer.start()
            self._measure_lag(self.loop.time())
            for name in self.node_addresses:
                self._measure_core_wait(name, {}, self.loop.time())
            deadline_s = self.loop.time() + plan.run.wait_s
            while self.loop.time() < deadline_s and not self.all_nodes_visible():
                await asyncio.sleep(0.02)
            self.start_load(
                CallerConnections(
                    self.network,
                    self.node_addresses,
                    lambda name: name not in self.dead_nodes,
                    lambda name: self.runtimes[name].read_request(),
                )
            )
            await asyncio.sleep(plan.run.seconds)
            deadline_s = self.loop.time() + plan.longest_deadline_s() + FINAL_ANSWERS_S
            while self.loop.time() < deadline_s and not history.is_settled():
                await asyncio.sleep(SNAPSHOT_INTERVAL_S)
            history.check_unanswered(self.loop.time())
            await self.after_load()
            self.membership_observer.stop(history.load_start_s)  # nodes leave from here on
            await asyncio.gather(
                *(self._stop_node(name) for name in self.node_addresses if self.processes.is_alive(name))
            )
            self.check_logs()
        finally:
            self.membership_observer.stop(history.load_start_s)
            history.membership = self.membership_observer
            self.network.close()
            for server in self.servers:
                server.close()
        return history

    async def after_load(self) -> None:
        """Do nothing; subclasses check what the nodes hold after the load."""

    def check_logs(self) -> None:
        """Record a violation for each node whose log tells of a fault."""
        for name in self.node_addresses:
            if any(word in self.processes.log(name) for word in LOG_FAULT_MARKERS):
                self.history.violations.append(f"{name} logged a fault")

    def _measure_lag(self, due_s: float) -> None:
        """Record how late this process is: it sees the actions of others that much later."""
        now = self.loop.time()
        self.history.record_lag(now, now - due_s)
        self.loop.call_at(now + LAG_CHECK_INTERVAL_S, self._measure_lag, now + LAG_CHECK_INTERVAL_S)

    def _measure_core_wait(self, name: str, previous_s: dict[str, float], since: float) -> None:
        """Record the longest time for which any one thread of a node had no core since the last reading."""
        now, alive = self.loop.time(), self.processes.is_alive(name)
        waits = core_wait_s(self.processes.running[name].pid) if alive else {}
        if now > since:
            self.history.record_core_wait(
                name,
                since,
                now,
                max(
                    (total_s - previous_s.get(thread, 0.0) for thread, total_s in waits.items()),
                    default=0.0,
                ),
            )
        interval_s = max(CORE_WAIT_INTERVAL_S, len(self.node_addresses) / MAX_CORE_WAIT_READS_PER_S)
        self.loop.call_later(interval_s, self._measure_core_wait, name, waits, now)

    async def _start_stand_in(self, make: Callable[[], asyncio.Protocol]) -> Address:
        server = await self.loop.create_server(make, STAND_IN_HOST, 0, backlog=4096)
        self.servers.append(server)
        address: Address = server.sockets[0].getsockname()
        return address

    async def _set_up_proxies(self) -> None:
        """Start the stand-ins and fault proxies, and write the configuration of each node."""
        plan, names = self.plan, iter(self.plan.node_names())
        port = free_port(
            [
                address_of(zone_no, number, 0)[0]
                for zone_no, zone in enumerate(plan.zones)
                for number in range(zone.nodes)
            ]
        )
        registry = await self._start_stand_in(partial(RegistryConnection, self.registry))
        downstreams = {
            name: await self._start_stand_in(partial(DownstreamConnection, service))
            for name, service in self.downstreams.items()
        }
        for zone_no, zone in enumerate(plan.zones):
            for number in range(zone.nodes):
                name = next(names)
                downstream, address = self.downstream_of(name), address_of(zone_no, number, port)
                self.node_addresses[name], self.network.endpoint_of[address[0]] = address, name
                runtime = await self._start_stand_in(partial(RuntimeConnection, self.runtime_hosts[name]))
                self.processes.configure(
                    name,
                    address,
                    await self.network.open_link_proxy(name, downstream, downstreams[downstream]),
                    await self.network.open_link_proxy(name, "list", registry),
                    await self.network.open_link_proxy(name, f"runtime.{name}", runtime),
                )
        if plan.nodes.fleet:
            await self._set_up_fleet()

    async def _set_up_fleet(self) -> None:
        """Configure all nodes as members of one fleet, whose datagrams and connections go through proxies."""
        hosts = [address[0] for address in self.node_addresses.values()]
        fleet_port = admin_port = free_port(hosts)
        while admin_port == fleet_port:
            admin_port = free_port(hosts)
        proxy_addresses = {
            name: await self.network.open_shared_proxy(name, (address[0], fleet_port), streams=True)
            for name, address in self.node_addresses.items()
        }
        by_zone: dict[str, list[str]] = {}
        for name in self.node_addresses:
            by_zone.setdefault(self.zone_of[name], []).append(name)
        # the first node of each zone, then the second of each
        order = [name for row in itertools.zip_longest(*by_zone.values()) for name in row if name]
        seeds = [proxy_addresses[name] for name in order[: self.plan.nodes.seeds]]
        for name, address in self.node_addresses.items():
            self.membership_observer.admin_addresses[name] = address[0], admin_port
            self.processes.configure_fleet(
                name,
                (address[0], fleet_port),
                proxy_addresses[name],
                seeds,
                self.zone_of[name],
                (address[0], admin_port),
            )

    # Faults

    def set_link_fault(self, fault: Fault, active: bool) -> None:
        """Begin or end a fault of links."""
        if active:
            self.network.begin(fault)
        else:
            self.network.end(fault)

    def kill_node(self, name: str) -> None:
        """Kill a node's process."""
        self.processes.kill(name)

    def on_node_ended(self, name: str) -> None:
        """Record that a node's process has ended, and reset its runtime's notices."""
        super().on_node_ended(name)
        self.runtime_hosts[name].restart()

    def start_node(self, name: str) -> None:
        """Start a node's process."""
        self.processes.start(name, self.is_cold_start(name))

    def set_paused(self, name: str, paused: bool) -> None:
        """Stop or continue a node's process."""
        self.processes.send_signal(name, signal.SIGSTOP if paused else signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Drain a node's process and start it again."""
        self.network.spawn(self._restart(name))

    async def _restart(self, name: str) -> None:
        await self._stop_node(name)
        self.on_node_ended(name)
        self.start_again(name)

    async def _stop_node(self, name: str) -> None:
        """Send SIGTERM to a node, and check that it exits in time with status 0."""
        process, deadline_s = self.processes.running[name], self.loop.time() + self.plan.nodes.stop_ms / 1000
        self.processes.send_signal(name, signal.SIGTERM)
        while process.poll() is None and self.loop.time() < deadline_s:
            await asyncio.sleep(0.01)
        if process.poll() != 0:
            self.history.violations.append(f"{name} left with status {process.poll()}")

    def starve(self, name: str, fraction: float) -> None:
        """Let a node's process run for only this fraction of the time; 1 ends the limit."""
        is_new = name not in self.cpu_fractions
        self.cpu_fractions[name] = fraction
        if is_new:
            self.network.spawn(self._starve(name))

    async def _starve(self, name: str) -> None:
        while (fraction := self.cpu_fractions[name]) < 1 and self.processes.is_alive(name):
            stopped_s = self.loop.time()
            self.processes.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(STARVE_PERIOD_S * (1 - fraction))
            self.processes.send_signal(name, signal.SIGCONT)
            self.history.record_pause(name, stopped_s, self.loop.time())
            await asyncio.sleep(STARVE_PERIOD_S * fraction)
        del self.cpu_fractions[name]


def play(plan: Plan, folder: Path | None = None) -> RunHistory:
    """Play a plan with real nodes and return its history.

    Logs and configurations of the nodes are kept in `folder`, or in a temporary folder without it. Raises
    `ConfigError` if this machine lacks the resources.
    """
    check_resources(plan)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))

    async def run_rig(run_folder: Path) -> RunHistory:
        rig = Rig(plan, run_folder)
        task = asyncio.current_task()
        assert task is not None
        with rig.processes:  # SIGTERM must end its processes as Ctrl-C does, else hundreds would outlive it
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
            last_s = plan.run.wait_s + plan.run.seconds + plan.longest_deadline_s() + 60
            return await asyncio.wait_for(rig.play(), last_s)

    with contextlib.ExitStack() as stack:
        run_folder = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        run_folder.mkdir(parents=True, exist_ok=True)
        try:
            return asyncio.run(run_rig(run_folder))
        except asyncio.CancelledError:
            raise SystemExit(128 + signal.SIGTERM) from None
