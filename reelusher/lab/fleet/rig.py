"""Plays a plan with real nodes: starts them, asks them, breaks things by the timetable, keeps the books."""

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
from reelusher.lab.fleet.account import Account
from reelusher.lab.fleet.census import Census
from reelusher.lab.fleet.plan import Fault, Plan, check_room
from reelusher.lab.fleet.processes import Processes, core_wait_s
from reelusher.lab.fleet.relay import FaultProxyNetwork
from reelusher.lab.fleet.stage import LAST_S, LOOK_S, Stage
from reelusher.lab.fleet.wires import BelowWire, Lines, ListWire, RuntimeHost, RuntimeWire

BEAT_S = 0.01
CORES_S = 0.1  # between looks at how long a node waited for a core, or more:
CORE_LOOKS_PER_S = 240.0  # at all nodes together, each some twelve small files; more would starve the rig
STARVE_S = 0.02  # a starved node is stopped and continued within each such span
STAND_IN_HOST = "127.200.0.2"  # where the stand-ins listen, behind the relays
PORTS, PORT_TRIES = (10_000, 32_000), 100
FAULTS = ("Traceback", " ERROR ")  # words in a node's log that spoil a run


def address_of(zone: int, number: int, port: int) -> Address:
    """Return the loopback address of a zone's node."""
    return f"127.{1 + number // 250}.{zone + 1}.{number % 250 + 1}", port


def free_port(hosts: list[str]) -> int:
    """Return a port that is free on all of these addresses, for connections and datagrams.

    It lies below those that the kernel gives to whoever asks for any: one of them, free when it was looked
    for, is now and then taken by a connection before its node has come to listen there.
    """
    for _ in range(PORT_TRIES):
        port = random.SystemRandom().randrange(*PORTS)
        with contextlib.suppress(OSError):
            for host in hosts:
                with socket.create_server((host, port)), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                    datagrams.bind((host, port))
            return port
    raise OSError(f"no port is free on all of {len(hosts)} addresses")


class Rig(Stage):
    """One run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.loop = asyncio.get_running_loop()
        super().__init__(plan, self.loop)
        self.net, self.processes = FaultProxyNetwork(plan.run.seed), Processes(plan, folder)
        self.census = Census(self.loop.time)
        self.hosts = {name: RuntimeHost(runtime) for name, runtime in self.runtimes.items()}
        self.places: dict[str, Address] = {}
        self.starved: dict[str, float] = {}  # the part of the time that a node runs for
        self.servers: list[asyncio.Server] = []
        self.loop.set_exception_handler(self._failed)

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Spoil the run for a fault in a stand-in: its figures would be wrong."""
        self.account.violations.append(
            f"the rig failed: {context.get('exception') or context.get('message')!r}"
        )

    async def play(self) -> Account:
        """Play the plan and return the books."""
        plan, account = self.plan, self.account
        await self._wire()
        try:
            self.begin_nodes()
            self.census.start()
            self._beat(self.loop.time())
            for name in self.places:
                self._look_for_cores(name, {}, self.loop.time())
            until = self.loop.time() + plan.run.wait_s
            while self.loop.time() < until and not self.all_seen():
                await asyncio.sleep(0.02)
            self.begin_load(
                Lines(
                    self.net,
                    self.places,
                    lambda name: name not in self.dead,
                    lambda name: self.runtimes[name].read(),
                )
            )
            await asyncio.sleep(plan.run.seconds)
            until = self.loop.time() + plan.longest_s() + LAST_S
            while self.loop.time() < until and not account.settled():
                await asyncio.sleep(LOOK_S)
            account.close(self.loop.time())
            self.census.stop(account.zero_s)  # from here on nodes leave
            await asyncio.gather(*(self._left(name) for name in self.places if self.processes.alive(name)))
            for name in self.places:
                if any(word in self.processes.log(name) for word in FAULTS):
                    self.account.violations.append(f"{name} logged a fault")
        finally:
            self.census.stop(account.zero_s)
            account.census = self.census
            self.net.close()
            for server in self.servers:
                server.close()
        return account

    def _beat(self, due_s: float) -> None:
        """Note by how much this process is late: it sees what others do so much later."""
        now = self.loop.time()
        self.account.note_lag(now, now - due_s)
        self.loop.call_at(now + BEAT_S, self._beat, now + BEAT_S)

    def _look_for_cores(self, name: str, before: dict[str, float], since: float) -> None:
        """Note for how long the thread of a node that waited longest had no core since the last look."""
        now, alive = self.loop.time(), self.processes.alive(name)
        waited = core_wait_s(self.processes.running[name].pid) if alive else {}
        if now > since:
            self.account.note_coreless(
                name,
                since,
                now,
                max(
                    (core_wait_s - before.get(thread, 0.0) for thread, core_wait_s in waited.items()),
                    default=0.0,
                ),
            )
        wait_s = max(CORES_S, len(self.places) / CORE_LOOKS_PER_S)
        self.loop.call_later(wait_s, self._look_for_cores, name, waited, now)

    async def _serve(self, make: Callable[[], asyncio.Protocol]) -> Address:
        server = await self.loop.create_server(make, STAND_IN_HOST, 0, backlog=4096)
        self.servers.append(server)
        found: Address = server.sockets[0].getsockname()
        return found

    async def _wire(self) -> None:
        """Set up relays and configurations."""
        plan, names = self.plan, iter(self.plan.node_names())
        port = free_port(
            [
                address_of(zone_no, number, 0)[0]
                for zone_no, zone in enumerate(plan.zones)
                for number in range(zone.nodes)
            ]
        )
        listed = await self._serve(partial(ListWire, self.list))
        below = {name: await self._serve(partial(BelowWire, one)) for name, one in self.belows.items()}
        for zone_no, zone in enumerate(plan.zones):
            for number in range(zone.nodes):
                name = next(names)
                mine, place = self.below_of(name), address_of(zone_no, number, port)
                self.places[name], self.net.endpoint_of[place[0]] = place, name
                runtime = await self._serve(partial(RuntimeWire, self.hosts[name]))
                self.processes.configure(
                    name,
                    place,
                    await self.net.through(name, mine, below[mine]),
                    await self.net.through(name, "list", listed),
                    await self.net.through(name, f"runtime.{name}", runtime),
                )
        if plan.nodes.fleet:
            await self._join()

    async def _join(self) -> None:
        """Make all nodes members of one fleet, whose datagrams and states go through relays too."""
        hosts = [place[0] for place in self.places.values()]
        fleet_port = admin_port = free_port(hosts)
        while admin_port == fleet_port:
            admin_port = free_port(hosts)
        doors = {
            name: await self.net.open_shared_proxy(name, (place[0], fleet_port), streams=True)
            for name, place in self.places.items()
        }
        by_zone: dict[str, list[str]] = {}
        for name in self.places:
            by_zone.setdefault(self.zone_of[name], []).append(name)
        # the first of each zone, then the second of each
        order = [name for row in itertools.zip_longest(*by_zone.values()) for name in row if name]
        seeds = [doors[name] for name in order[: self.plan.nodes.seeds]]
        for name, place in self.places.items():
            self.census.places[name] = place[0], admin_port
            self.processes.join(
                name, (place[0], fleet_port), doors[name], seeds, self.zone_of[name], (place[0], admin_port)
            )

    # Faults

    def link(self, fault: Fault, begins: bool) -> None:
        """Break links or mend them."""
        if begins:
            self.net.begin(fault)
        else:
            self.net.end(fault)

    def end_node(self, name: str) -> None:
        """End a process at once."""
        self.processes.kill(name)

    def gone(self, name: str) -> None:
        """Note that a node has ended; its runtime numbers notices from 1 again."""
        super().gone(name)
        self.hosts[name].restart()

    def start_node(self, name: str) -> None:
        """Start a process."""
        self.processes.start(name, self.is_fresh(name))

    def freeze(self, name: str, still: bool) -> None:
        """Stop or continue a process."""
        self.processes.send(name, signal.SIGSTOP if still else signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Drain a process and start it again."""
        self.net.spawn(self._restart(name))

    async def _restart(self, name: str) -> None:
        await self._left(name)
        self.gone(name)
        self.come_back(name)

    async def _left(self, name: str) -> None:
        """Tell a node to leave and see that it does so in time, with status 0."""
        process, until = self.processes.running[name], self.loop.time() + self.plan.nodes.stop_ms / 1000
        self.processes.send(name, signal.SIGTERM)
        while process.poll() is None and self.loop.time() < until:
            await asyncio.sleep(0.01)
        if process.poll() != 0:
            self.account.violations.append(f"{name} left with status {process.poll()}")

    def starve(self, name: str, part: float) -> None:
        """Let a process run for a part of the time."""
        new = name not in self.starved
        self.starved[name] = part
        if new:
            self.net.spawn(self._starve(name))

    async def _starve(self, name: str) -> None:
        while (part := self.starved[name]) < 1 and self.processes.alive(name):
            stopped = self.loop.time()
            self.processes.send(name, signal.SIGSTOP)
            await asyncio.sleep(STARVE_S * (1 - part))
            self.processes.send(name, signal.SIGCONT)
            self.account.note_away(name, stopped, self.loop.time())
            await asyncio.sleep(STARVE_S * part)
        del self.starved[name]


def play(plan: Plan, folder: Path | None = None) -> Account:
    """Play a plan. Logs and configurations of nodes go to `folder`, which is else a passing one."""
    check_room(plan)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))

    async def work(where: Path) -> Account:
        rig = Rig(plan, where)
        task = asyncio.current_task()
        assert task is not None
        with rig.processes:  # SIGTERM must end its processes as Ctrl-C does, else hundreds go on without it
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
            last_s = plan.run.wait_s + plan.run.seconds + plan.longest_s() + 60
            return await asyncio.wait_for(rig.play(), last_s)

    with contextlib.ExitStack() as stack:
        where = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        where.mkdir(parents=True, exist_ok=True)
        try:
            return asyncio.run(work(where))
        except asyncio.CancelledError:
            raise SystemExit(128 + signal.SIGTERM) from None
