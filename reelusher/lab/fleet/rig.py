"""Plays a plan with real nodes: starts them, asks them, breaks things by the timetable, keeps the books."""

import asyncio
import contextlib
import itertools
import resource
import signal
import socket
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from reelusher.config.table import Address
from reelusher.lab.fleet.account import Account
from reelusher.lab.fleet.callers import Caller
from reelusher.lab.fleet.plan import LINK, Fault, Plan
from reelusher.lab.fleet.processes import Processes
from reelusher.lab.fleet.relay import Net
from reelusher.lab.fleet.services import Below, ListService, Runtime
from reelusher.lab.fleet.wires import BelowWire, Lines, ListWire, RuntimeHost, RuntimeWire

LOOK_S = 0.1
STARVE_S = 0.02  # a starved node is stopped and continued within each such span
LAST_S = 2.0  # beyond the longest deadline
SERVICES = "127.200.0.2"  # where the stand-ins listen, behind the relays


def address_of(zone: int, number: int, port: int) -> Address:
    """Return the loopback address of a zone's node."""
    return f"127.{1 + number // 250}.{zone + 1}.{number % 250 + 1}", port


class Rig:
    """One run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.account, self.net = plan, Account(plan), Net(plan.seed)
        self.processes = Processes(plan, folder)
        self.loop = asyncio.get_running_loop()
        self.account.zero_s = self.loop.time()
        kinds = {kind.name: kind for kind in plan.kinds}
        self.list = ListService(self.loop, plan.listing, self.account)
        self.belows = {name: Below(self.loop, plan.below, name, self.account) for name in plan.belows()}
        self.hosts = {name: RuntimeHost(Runtime(self.loop, plan.nodes, kinds, name, self.account, plan.seed))
                      for name in plan.node_names()}
        self.places: dict[str, Address] = {}
        self.dead: set[str] = set()
        self.since: dict[str, float] = {}  # when nodes that are away went
        self.starved: set[str] = set()
        self.servers: list[asyncio.Server] = []
        self.loop.set_exception_handler(self._fault_of_rig)

    async def play(self) -> Account:
        """Play the plan and return the books."""
        plan, account = self.plan, self.account
        await self._wire()
        spread = plan.spread_s / len(self.places)
        looking = asyncio.ensure_future(self._look())
        try:
            account.start_s = 0.0
            for number, name in enumerate(self.places):
                self.loop.call_later(number * spread, self.processes.start, name)
            until = self.loop.time() + plan.wait_s
            while self.loop.time() < until and not self._all_seen():
                await asyncio.sleep(0.02)
            account.begin(self.loop.time())
            self._callers()
            for fault in plan.faults:
                self.loop.call_later(fault.at_s, self._begin, fault)
            await asyncio.sleep(plan.seconds)
            until = self.loop.time() + max(kind.deadline_ms for kind in plan.kinds) / 1000 + LAST_S
            while self.loop.time() < until and not account.settled():
                await asyncio.sleep(LOOK_S)
            account.close(self.loop.time())
            await self._leave()
        finally:
            looking.cancel()
            self.net.close()
            for server in self.servers:
                server.close()
        return account

    def _fault_of_rig(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A fault in a stand-in spoils the run: its figures would be wrong."""
        self.account.broken.append(f"the rig failed: {context.get('exception') or context.get('message')!r}")

    def _all_seen(self) -> bool:
        return len(self.list.as_seen()) == len(self.places)

    async def _serve(self, make: Callable[[], asyncio.Protocol]) -> Address:
        server = await self.loop.create_server(make, SERVICES, 0, backlog=4096)
        self.servers.append(server)
        found: Address = server.sockets[0].getsockname()
        return found

    async def _wire(self) -> None:
        """Set up relays and configurations."""
        plan, names = self.plan, iter(self.plan.node_names())
        with socket.create_server(("127.1.1.1", 0)) as free:
            port = free.getsockname()[1]
        listed = await self._serve(lambda: ListWire(self.list))
        below = {name: await self._serve(lambda service=service: BelowWire(service))  # type: ignore[misc]
                 for name, service in self.belows.items()}
        for zone_no, zone in enumerate(plan.zones):
            mine = f"below.{zone.name}" if plan.below.per_zone else "below"
            for number in range(zone.nodes):
                name = next(names)
                place = self.places[name] = address_of(zone_no, number, port)
                self.net.party_of[place[0]] = name
                host = self.hosts[name]
                runtime = await self._serve(lambda host=host: RuntimeWire(host))  # type: ignore[misc]
                self.processes.configure(
                    name, place, await self.net.through(name, mine, below[mine]),
                    await self.net.through(name, "list", listed),
                    await self.net.through(name, f"runtime.{name}", runtime))

    def _callers(self) -> None:
        plan, names, number = self.plan, itertools.count(1), itertools.count(1)
        way = Lines(self.net, self.places, lambda name: name not in self.dead,
                    lambda name: self.hosts[name].runtime.read())
        count = sum(zone.callers for zone in plan.zones)
        for zone in plan.zones:
            for _ in range(zone.callers):
                Caller(self.loop, plan, zone.name, next(number), self.account, self.list.as_seen, way,
                       plan.rate / count, names).begin()

    async def _look(self) -> None:
        while True:
            self.list.look()
            await asyncio.sleep(LOOK_S)

    # Faults

    def _begin(self, fault: Fault) -> None:
        self.account.mark(self.loop.time(), f"{fault.kind} begins")
        if fault.kind in LINK:
            self.net.begin(fault)
        for party in sorted(fault.of) if fault.kind not in LINK else ():
            self._begin_at(fault, party)
        if fault.for_s and fault.kind != "surge":
            self.loop.call_later(fault.for_s, self._end, fault)

    def _end(self, fault: Fault) -> None:
        self.account.mark(self.loop.time(), f"{fault.kind} ends")
        if fault.kind in LINK:
            self.net.end(fault)
        for party in sorted(fault.of) if fault.kind not in LINK else ():
            self._end_at(fault, party)

    def _begin_at(self, fault: Fault, party: str) -> None:
        match fault.kind:
            case "kill":
                self._kill(party)
            case "stop":
                self.since[party] = self.loop.time()
                self.processes.send(party, signal.SIGSTOP)
            case "restart":
                self.net.spawn(self._restart(party))
            case "starve":
                self.starved.add(party)
                self.net.spawn(self._starve(party, fault.part))
            case _:
                self._service(fault, party, True)

    def _end_at(self, fault: Fault, party: str) -> None:
        match fault.kind:
            case "kill":
                self._start(party, cold=True)
            case "stop":
                self.processes.send(party, signal.SIGCONT)
                self.account.note_away(party, self.since.pop(party), self.loop.time())
            case "starve":
                self.starved.discard(party)
            case "restart":
                pass
            case _:
                self._service(fault, party, False)

    def _service(self, fault: Fault, party: str, begins: bool) -> None:
        """Break or mend a stand-in."""
        service: Below | Runtime | None = self.belows.get(party)
        if party.startswith("runtime."):
            service = self.hosts[party.removeprefix("runtime.")].runtime
        if fault.kind == "slow" and service is not None:
            service.slow = fault.part if begins else 1.0
        elif fault.kind == "fall" and begins and isinstance(service, Below):
            service.fall()
        elif fault.kind == "outage" and party == "list":
            self.list.outage(begins)
        elif fault.kind == "late" and party == "list":
            self.list.late_s = fault.ms / 1000 if begins else 0.0

    def _kill(self, name: str) -> None:
        self.dead.add(name)
        self.processes.kill(name)
        self._gone(name)

    def _gone(self, name: str) -> None:
        self.account.note_end_of_life(name, self.loop.time())
        self.hosts[name].runtime.restart(cold=True)
        self.hosts[name].restart()

    def _start(self, name: str, cold: bool) -> None:
        self.hosts[name].runtime.restart(cold)
        self.processes.start(name)
        self.dead.discard(name)

    async def _restart(self, name: str) -> None:
        """Drain a node, and start it again once it has left."""
        await self._left(name)
        self.dead.add(name)
        self._gone(name)
        self._start(name, cold=True)

    async def _left(self, name: str) -> None:
        """Tell a node to leave and see that it does so in time, with status 0."""
        process, until = self.processes.running[name], self.loop.time() + self.plan.nodes.stop_ms / 1000
        self.processes.send(name, signal.SIGTERM)
        while process.poll() is None and self.loop.time() < until:
            await asyncio.sleep(0.01)
        if process.poll() != 0:
            self.account.broken.append(f"{name} left with status {process.poll()}")

    async def _starve(self, name: str, part: float) -> None:
        """Let a node run for a part of the time."""
        while name in self.starved and self.processes.alive(name):
            stopped = self.loop.time()
            self.processes.send(name, signal.SIGSTOP)
            await asyncio.sleep(STARVE_S * (1 - part))
            self.processes.send(name, signal.SIGCONT)
            self.account.note_away(name, stopped, self.loop.time())
            await asyncio.sleep(STARVE_S * part)

    async def _leave(self) -> None:
        """Have all nodes that live leave."""
        await asyncio.gather(*(self._left(name) for name in self.places if self.processes.alive(name)))
        for name in self.places:
            for word in ("Traceback", "invariant", "ERROR"):
                if word in self.processes.log(name):
                    self.account.broken.append(f"{name} logged {word}")
                    break


def play(plan: Plan, folder: Path | None = None) -> Account:
    """Play a plan. Logs and configurations of nodes go to `folder`, which is else a passing one."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))

    async def work(where: Path) -> Account:
        rig = Rig(plan, where)
        with rig.processes:
            last_s = plan.wait_s + plan.seconds + max(kind.deadline_ms for kind in plan.kinds) / 1000 + 60
            return await asyncio.wait_for(rig.play(), last_s)

    with contextlib.ExitStack() as stack:
        where = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        where.mkdir(parents=True, exist_ok=True)
        return asyncio.run(work(where))
