"""The live proof: real processes whose tenants are changed while they are killed, stopped and cut off.

    python -m reelusher.lab.capacity.live --nodes 24 --kills 200 --json FILE
    python -m reelusher.lab.capacity.live fill --rows 260000

Loopback only. Exit status: 0, 1 where a rule was broken. Ctrl-C ends every process by its id.
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
    Callers,
    NamedWorker,
    NoAnswerError,
    NodeUnreachableError,
    Told,
    call_admin_api,
    wait_until_ready,
)
from reelusher.lab.fleet.plan import Fault
from reelusher.lab.fleet.processes import ROOT
from reelusher.lab.fleet.relay import FaultProxyNetwork
from reelusher.lab.fleet.rig import STAND_IN_HOST, address_of, free_port

ZONES = ("a", "b", "c")
NEWS_S = 0.01  # for each hollow member of a process after a kill: it carries the news of it for all
MOST_CONTROL = 3
POLL_S = 0.2  # between looks at one node's table
BEAT_S = 0.02
START_S = 60.0  # a process is up by then
HOLLOW_S = 120.0  # the process of hollow members answers by then
SETTLE_S = 60.0  # with everybody there again, all show the same by then
ANSWER_S = 12.0  # a request has its answer by then: its due time is 5 s
REST_S = 0.05, 0.3  # before a change that was not made is asked for again
SERIALS = 1_000_000  # a row's `max_open` is so much and its serial number
KINDS = ("after", "during", "asked", "after", "any")  # of kills, in turn
EACH_STOP, EACH_CUT, EACH_RESTART, EACH_LOSS = 5, 20, 7, 9  # kills to a stop, a cut, a restart, a lost copy
UNDECIDED = {500, 502, 504}  # statuses that leave open whether a change was made
MADE = {"put": 412, "patch": 412, "suspend": 412, "resume": 412, "create": 409, "delete": 404}


@dataclass(slots=True, frozen=True)
class Proof:
    """What a run does."""

    nodes: int = 24
    kills: int = 200
    hollow: int = 0
    hollow_parts: int = 1  # processes that they share
    tenants: int = 40
    rate: float = 100.0  # requests a second in all
    changes: float = 8.0  # a second in all, while nothing is broken
    most_away: int = 3  # nodes at once
    replicated: bool = True
    seed: int = 1


def revision_of(headers: dict[str, str]) -> Revision | None:
    """Read an entity tag."""
    text = headers.get("etag", "").strip('"')
    epoch, _, number = text.rpartition(".")
    return (int(epoch or 0), int(number)) if number.isdigit() else None


def row_of(told: dict[str, Any]) -> Row:
    """Read a tenant as the administration API shows it."""
    return told["max_open"] - SERIALS, told["state"]


class Rig:
    """One run."""

    def __init__(self, proof: Proof, folder: Path) -> None:
        self.proof, self.folder = proof, folder
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(proof.seed)
        self.books, self.net = HistoryChecker(), FaultProxyNetwork(proof.seed)
        self.names = [f"n{number + 1}" for number in range(proof.nodes)]
        self.tenants = [f"t{number + 1}" for number in range(proof.tenants)]
        self.control = self.names[: min(MOST_CONTROL, max(1, proof.nodes // 3))] if proof.replicated else []
        self.writer_of = self._writers()
        self.places: dict[str, NodeAddresses] = {}
        self.callers: dict[str, Callers] = {}
        self.state: dict[str, str] = dict.fromkeys(self.names, "new")
        self.rows: dict[str, dict[str, Row]] = {name: {} for name in self.names}
        self.wants: deque[tuple[str, asyncio.Future[None]]] = deque()  # kills that wait for their moment
        self.tags: dict[str, str] = {}  # the newest entity tag of each tenant
        self.figures: dict[str, Any] = {}
        self.broke: Counter[str] = Counter()
        self.healed_s: list[float] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.changing = self.asking = True
        self.late_s = 0.0
        self.cut = False
        self.hollow: list[asyncio.subprocess.Process] = []
        self.hollow_line = asyncio.Lock()
        self.hollow_before: dict[str, Any] = {}

    def _writers(self) -> dict[str, str]:
        if not self.control:
            return dict.fromkeys(self.tenants, self.names[0])
        return {name: partition_of(name, self.control) for name in self.tenants}

    def spawn(self, work: Any) -> None:
        """Run something beside all else; a fault in it spoils the run."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._over)

    def _over(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.books.violations.append(f"the rig failed: {error!r}")

    async def until(self, holds: Callable[[], bool], most_s: float) -> bool:
        """Wait until something holds; tell whether it came to that."""
        ends_s = self.loop.time() + most_s
        while not holds():
            if self.loop.time() > ends_s:
                return False
            await asyncio.sleep(0.02)
        return True

    def up(self) -> list[str]:
        """Return the nodes that are there."""
        return [name for name in self.names if self.state[name] == "up"]

    # The run

    async def play(self) -> None:
        """Play the proof; the books then tell what broke a rule."""
        self._beat(self.loop.time())
        workers = [NamedWorker(worker_of(number), 2.0) for number in range(WORKER_COUNT)]
        servers = [await asyncio.start_server(one.serve, STAND_IN_HOST, 0) for one in workers]
        addresses = {
            one.name.decode(): server.sockets[0].getsockname()
            for one, server in zip(workers, servers, strict=True)
        }
        with NodeProcesses(self.folder, addresses) as self.nodes:
            try:
                await self._begin()
                await self._break_things()
                await self._end()
            finally:
                for process in self.hollow:
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

    def _beat(self, due_s: float) -> None:
        """Note by how much this process is late: it sees what others do so much later."""
        now = self.loop.time()
        self.late_s = max(self.late_s, now - due_s)
        self.loop.call_at(now + BEAT_S, self._beat, now + BEAT_S)

    async def _begin(self) -> None:
        began_s = self.loop.time()
        await self._place()
        await asyncio.gather(*(self._start(name) for name in self.names))
        self.figures["all_up_s"] = round(self.loop.time() - began_s, 3)
        if self.control:
            await self._joined(0)
        if self.proof.hollow:
            await self._add_hollow()
        for name in self.names:
            self.spawn(self._watch(name))
        for name in self.tenants:
            self.spawn(self._change_on(name))
        self.spawn(self._load())
        histories = [self.books.history(name) for name in self.tenants]
        if not await self.until(
            lambda: all(len(one.steps) > 2 or one.last.revision for one in histories), SETTLE_S
        ):
            self.books.violations.append("not all tenants could be made before anything was broken")
        self.figures["all_made_s"] = round(self.loop.time() - began_s, 3)

    async def _place(self) -> None:
        zone_of = {name: number % len(ZONES) for number, name in enumerate(self.names)}
        host_of = {name: address_of(zone_of[name], number, 0)[0] for number, name in enumerate(self.names)}
        hosts, ports = list(host_of.values()), set[int]()
        while len(ports) < 3:
            ports.add(free_port(hosts))
        ajp, admin, fleet = ports
        for name, host in host_of.items():
            self.net.endpoint_of[host] = name
            door = (
                await self.net.open_shared_proxy(name, (host, fleet), streams=True)
                if self.control
                else (host, fleet)
            )
            self.places[name] = NodeAddresses(
                (host, ajp), (host, admin), (host, fleet), door, ZONES[zone_of[name]]
            )
            self.callers[name] = Callers((host, ajp))
        seeds = [self.places[name].advertise for name in self.names[: len(ZONES)]]
        for name, places in self.places.items():
            self.nodes.configure(name, places, seeds, self.control)

    async def _start(self, name: str) -> None:
        """Start a node and wait until it answers."""
        self.state[name] = "starting"
        self.nodes.start(name)
        places = self.places[name]
        if not await wait_until_ready(places.admin, places.ajp, lambda: self.nodes.alive(name), START_S):
            self.books.violations.append(f"{name} did not come up within {START_S:.0f} s")
            return
        self.state[name] = "up"

    async def _api(
        self,
        node: str,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
        most_s: float = 10.0,
    ) -> Told | None:
        return await call_admin_api(self.places[node].admin, method, path, value, headers, most_s)

    async def _joined(self, hollow: int) -> None:
        """Wait until each node counts all others as live."""
        began_s, wanted = self.loop.time(), len(self.names) + hollow

        async def sees(name: str) -> bool:
            with contextlib.suppress(NodeUnreachableError):
                told = await self._api(name, "GET", "/v1/fleet")
                return told is not None and told.status == 200 and told.value["live"] >= wanted
            return False

        while not all(await asyncio.gather(*map(sees, self.names))):
            if self.loop.time() - began_s > SETTLE_S:
                self.books.violations.append("the nodes did not find each other")
                return
            await asyncio.sleep(0.1)
        self.figures["hollow_joined_s" if hollow else "all_joined_s"] = round(self.loop.time() - began_s, 3)

    # Hollow members

    async def _add_hollow(self) -> None:
        """Have hollow members join, from processes of their own."""
        count, parts = self.proof.hollow, self.proof.hollow_parts
        port, life = free_port(loopback_hosts(count)), int(time.time() * 1000)
        for part in range(parts):
            log = self.nodes.log_file(f"hollow-{part}").open("ab")
            self.hollow.append(
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
                    str(part),
                    "--parts",
                    str(parts),
                    "--port",
                    str(port),
                    "--life",
                    str(life),
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=log,
                    cwd=ROOT,
                )
            )
            log.close()
        await asyncio.gather(*map(self._told_by, self.hollow))
        await self._tell_hollow(join=["{}:{}".format(*places.advertise) for places in self.places.values()])
        await self._joined(count)
        self.hollow_before = await self._tell_hollow()

    async def _told_by(self, process: asyncio.subprocess.Process) -> dict[str, Any]:
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), HOLLOW_S)
        if not line:
            raise RuntimeError("a process of hollow members has ended")
        told: dict[str, Any] = json.loads(line)
        return told

    async def _tell(self, process: asyncio.subprocess.Process, command: dict[str, Any]) -> dict[str, Any]:
        assert process.stdin is not None
        process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self._told_by(process)

    async def _tell_hollow(self, **command: Any) -> dict[str, Any]:
        """Give all processes of hollow members a command; return how their members stand together."""
        async with self.hollow_line:
            return together(await asyncio.gather(*(self._tell(one, command) for one in self.hollow)))

    async def _end_hollow(self) -> None:
        """See that all hollow members have the table too, and end their processes."""
        if not self.hollow:
            return
        wanted = {name: [SERIALS + row[0], row[1]] for name, row in self.books.expected().items() if row}
        ends_s, told = self.loop.time() + SETTLE_S, dict[str, Any]()
        most = self.proof.hollow
        while (told := await self._tell_hollow(rows=wanted))["right"] < most:
            if self.loop.time() > ends_s:
                self.books.violations.append(
                    f"only {told['right']} of {most} hollow members have all changes"
                )
                break
            await asyncio.sleep(0.5)
        clock_s, lost_s, processor_s = (
            told[key] - self.hollow_before[key] for key in ("clock_s", "lost_s", "processor_s")
        )
        self.figures["hollow"] = told | {
            "of_real_time": round(clock_s / (clock_s + lost_s), 3),
            "of_a_core": round(processor_s / (clock_s + lost_s), 3),
        }
        for process in self.hollow:
            assert process.stdin is not None
            process.stdin.close()
            await asyncio.wait_for(process.wait(), START_S)

    # Looking

    async def _watch(self, node: str) -> None:
        """Look at a node's table again and again."""
        while True:
            if self.state[node] == "up":
                await self._look(node)
            await asyncio.sleep(POLL_S)

    async def _look(self, node: str) -> bool:
        """Look at a node's table; tell whether it was shown."""
        floors = {name: self.books.floor(node, name) for name in self.tenants}
        self.books.counts["looks"] += 1
        try:
            told = await self._api(node, "GET", "/v1/tenants?limit=1000")
        except NodeUnreachableError:
            return False
        if told is None or told.status != 200 or self.state[node] not in ("up", "leaving"):
            self.books.counts["looks_in_vain"] += 1
            return False
        rows = {one["name"]: row_of(one) for one in told.value["tenants"]}
        now = self.loop.time()
        for name in self.tenants:
            self.books.note_row(node, name, rows.get(name), floors[name], now)
        self.rows[node] = rows
        return True

    # Load

    async def _load(self) -> None:
        """Ask at random times, whatever comes back."""
        at_s = self.loop.time()
        while self.asking:
            at_s += self.random.expovariate(self.proof.rate)
            await asyncio.sleep(max(0.0, at_s - self.loop.time()))
            up = self.up()
            if up:
                self.spawn(self._ask(self.random.choice(up), self.random.choice(self.tenants)))

    async def _ask(self, node: str, name: str) -> tuple[int, str] | None:
        """Make a request; return its answer's status and worker."""
        books, began_s = self.books, self.loop.time()
        floor = books.floor(node, name)
        books.counts["asked"] += 1
        try:
            status, worker = await self.callers[node].ask(
                f"{name}.example", ANSWER_S + self.late_s, lambda: books.note_extra_answer(node, name)
            )
        except (NoAnswerError, NodeUnreachableError) as error:
            books.note_unanswered(node, name, began_s, self.loop.time(), str(error))
            return None
        books.note_answer(node, name, status, worker, floor, self.loop.time(), began_s)
        return status, worker

    # Changes

    async def _change_on(self, name: str) -> None:
        """Change a tenant again and again."""
        while self.changing and name not in self.books.unverifiable:
            await self._change(name)
            if self.changing:
                await asyncio.sleep(self.random.expovariate(self.proof.changes / len(self.tenants)))

    def _next(self, history: History) -> tuple[str, Row]:
        """Choose the next change of a tenant: one that makes a row which it has not had."""
        row, serial = history.last.row, history.serial() + 1
        if row is None:
            return "create", (serial, ACTIVE)
        changed = serial, row[1]
        able: list[tuple[str, Row]] = [("put", changed), ("patch", changed), ("delete", None)]
        turned = ("suspend", (row[0], SUSPENDED)) if row[1] == ACTIVE else ("resume", (row[0], ACTIVE))
        if turned[1] not in history.rows():
            able.append(turned)
        return self.random.choices(able, [3, 3, 1, 2 if row[1] == ACTIVE else 8][: len(able)])[0]

    def _call_of(self, name: str, step: Step, key: str) -> tuple[str, str, Any, dict[str, str]]:
        """Return method, path, body and headers of a change."""
        path = f"/v1/tenants/{name}"
        match = {"If-Match": self.tags[name]} if name in self.tags else {}
        serial = step.row[0] if step.row else 0
        fields = {"backend": worker_of(serial), "max_open": SERIALS + serial}
        whole = {"name": name, "hosts": [f"{name}.example"], "default_class": CLASS, **fields}
        match step.op:
            case "create":
                return "POST", "/v1/tenants", whole, {"Idempotency-Key": key}
            case "put":
                return "PUT", path, whole, match
            case "patch":
                return "PATCH", path, fields, match
            case "delete":
                return "DELETE", path if self.control else f"{path}?within_ms=500", None, match
        return "POST", f"{path}/{step.op}", None, match

    async def _change(self, name: str) -> None:
        """Make a tenant's next change, asking for it until it has a definite answer."""
        books, history = self.books, self.books.history(name)
        step = books.begin(name, *self._next(history), self.loop.time())
        key = f"{name}-{len(history.steps)}-{self.proof.seed}"
        while True:
            up = self.up()
            node = self.random.choice(up) if up else ""
            if node:
                step.in_flight = True
                self._kill_during(name, node)
                method, path, value, headers = self._call_of(name, step, key)
                try:
                    told = await self._api(node, method, path, value, headers)
                except NodeUnreachableError:
                    step.in_flight = False
                else:
                    if await self._answered(name, step, told) or name in books.unverifiable:
                        return
            await asyncio.sleep(self.random.uniform(*REST_S))

    async def _answered(self, name: str, step: Step, told: Told | None) -> bool:
        """Take the answer to a change; tell whether it is made."""
        books = self.books
        if told is None or told.status in UNDECIDED:
            books.note_indeterminate(name, told.status if told else 0)
            return False
        if 200 <= told.status < 300:
            tag = told.headers.get("etag")
            if step.row is None:
                self.tags.pop(name, None)
            elif tag:
                self.tags[name] = tag
            else:
                books.violations.append(f"{name}: {step.op} was answered {told.status} without a revision")
            books.note_acked(name, revision_of(told.headers), self.loop.time())
            self._kill_after(name)
            return True
        if told.status in (400, 401, 403, 405, 422):
            raise RuntimeError(f"{step.op} of {name} was answered {told.status}: {told.value}")
        if told.status == MADE[step.op] and await self._made_before(name, step, told.status):
            return True
        if told.status == 404:
            books.unverifiable.add(name)
            books.violations.append(
                f"{name}: {step.op} found no tenant, though its last change was acknowledged"
            )
        if step.in_flight:
            books.note_refused(name, told.status)
        return False

    async def _made_before(self, name: str, step: Step, status: int) -> bool:
        """Tell whether the newest step is made already, by a try that had no definite answer."""
        step.in_flight = step.indeterminate  # while it is looked for, only such a try makes it possible
        if step.row is None:
            self.tags.pop(name, None)
            self.books.note_already_applied(name, status)
            self.books.note_acked(name, None, self.loop.time())
            return True
        if status == 412 and not step.indeterminate:
            self.books.note_already_applied(name, status)
            return False

        def showing() -> list[str]:
            return [node for node in self.up() if self.rows[node].get(name) == step.row]

        if not await self.until(lambda: bool(showing()), 5.0):
            step.in_flight = True
            return False
        with contextlib.suppress(NodeUnreachableError, IndexError):
            told = await self._api(showing()[0], "GET", f"/v1/tenants/{name}")
            if told is not None and told.status == 200 and row_of(told.value) == step.row:
                self.tags[name] = told.headers["etag"]
                self.books.note_already_applied(name, status)
                self.books.note_acked(name, revision_of(told.headers), self.loop.time())
                return True
        step.in_flight = True
        return False

    # Faults

    def _kill_during(self, name: str, node: str) -> None:
        """Kill the writer, or the node that is asked, while a change is under way, where that is wanted."""
        for kind, victim in (("during", self.writer_of[name]), ("asked", node)):
            if self.wants and self.wants[0][0] == kind and self.state[victim] == "up":
                _, done = self.wants.popleft()
                self.loop.call_later(self.random.uniform(0.0, 0.03), self._kill, victim, done)
                return

    def _kill_after(self, name: str) -> None:
        """Kill the writer right after its answer, where that is wanted."""
        victim = self.writer_of[name]
        if self.wants and self.wants[0][0] == "after" and self.state[victim] == "up":
            self._kill(victim, self.wants.popleft()[1])

    def _kill(self, name: str, done: "asyncio.Future[None] | None" = None, loses_copy: bool = False) -> None:
        """End a process at once and have it come back."""
        if done is not None and not done.done():
            done.set_result(None)
        if self.state[name] != "up":  # another fault came first
            self.broke["kills_missed"] += 1
            return
        self.broke["kills"] += 1
        self.broke["kills_of_writers"] += name in self.writer_of.values()
        self._away(name, "dead")
        self.nodes.send(name, signal.SIGKILL)
        self.spawn(self._come_back(name, loses_copy))

    def _away(self, name: str, state: str) -> None:
        self.state[name] = state
        self.books.note_unavailable(name, self.loop.time())

    async def _come_back(self, name: str, loses_copy: bool = False) -> None:
        """Start a node again once its process has ended, and note that it is there."""
        if not await self.until(lambda: not self.nodes.alive(name), START_S):
            self.books.violations.append(f"{name} did not end within {START_S:.0f} s")
            return
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        if loses_copy:
            self.broke["copies_lost"] += 1
            self.nodes.lose_copy(name)
            self.books.note_copy_lost(name)
            self.rows[name] = {}
        self.callers[name].close()
        await self._start(name)
        self.books.note_available(name, self.loop.time())

    async def _stop(self, name: str, seconds: float) -> None:
        """Have a process stand still for a time."""
        self.broke["stops"] += 1
        self._away(name, "still")
        self.nodes.send(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.nodes.send(name, signal.SIGCONT)
        self.state[name] = "up"
        self.books.note_available(name, self.loop.time())

    async def _restart(self, name: str) -> None:
        """Drain a process and start it again."""
        self.broke["restarts"] += 1
        self._away(name, "leaving")
        self.nodes.send(name, signal.SIGTERM)
        if not await self.until(lambda: not self.nodes.alive(name), START_S):
            self.books.violations.append(f"{name} did not leave within {START_S:.0f} s")
            return
        if (status := self.nodes.running[name].returncode) != 0:
            self.books.violations.append(f"{name} left with status {status}")
        await self._come_back(name)

    async def _cut_off(self, zone: str, seconds: float) -> None:
        """Cut a zone off from the others for a time, and see how long both sides take to agree after it."""
        self.broke["cuts"] += 1
        inside = frozenset(name for name, places in self.places.items() if places.zone == zone)
        fault = Fault("cut", 0.0, 0.0, inside, frozenset(self.names) - inside)
        self.cut = True
        self.books.note_cut(self.names, self.loop.time(), True)
        await self._tell_hollow(cut=[zone])
        self.net.begin(fault)
        await asyncio.sleep(seconds)
        self.net.end(fault)
        await self._tell_hollow(cut=[])
        healed_s = self.loop.time()
        histories = [self.books.history(name) for name in self.tenants]
        made = [(one, len(one.steps) - 1 - (one.last.acked_s is None)) for one in histories]

        def agreed() -> bool:
            steady = [
                node
                for node in self.names
                if not self.books.was_unavailable(node, healed_s - seconds, self.loop.time())
            ]
            return all(
                history.min_step_index.get(node, 0) >= number or history.steps[number].row is None
                for node in steady
                for history, number in made
            )

        if await self.until(agreed, SETTLE_S):
            self.healed_s.append(self.loop.time() - healed_s)
        else:
            self.books.violations.append(
                f"{SETTLE_S:.0f} s after a cut of zone {zone} the sides do not agree"
            )
        self.books.note_cut(self.names, self.loop.time(), False)
        self.cut = False

    async def _break_things(self) -> None:
        """Kill as often as the proof says, and stop, cut and restart in between."""
        began_s, most = self.loop.time(), max(1, min(self.proof.most_away, len(self.names) // 4))
        for number in range(self.proof.kills):
            if not await self.until(lambda: len(self.names) - len(self.up()) < most, 2 * START_S):
                self.books.violations.append("too many nodes stay away")
                return
            if number % EACH_CUT == EACH_CUT // 2 and self.control and not self.cut:
                zone = ZONES[number // EACH_CUT % len(ZONES)]
                self.spawn(self._cut_off(zone, self.random.uniform(2.0, 5.0)))
            if number % EACH_STOP == 2:
                self.spawn(self._stop(self.random.choice(self.up()), self.random.uniform(0.5, 3.0)))
            if number % EACH_RESTART == 3 and (up := self.up()):
                self.spawn(self._restart(self.random.choice(up)))
            await self._one_kill(number)
            await self._news_told()
        self.figures["faults_s"] = round(self.loop.time() - began_s, 3)

    async def _news_told(self) -> None:
        """Wait until hollow members have had the time, by their clock, to tell each other of a kill."""
        if not self.hollow:
            return
        told_s = self.proof.hollow / self.proof.hollow_parts * NEWS_S
        until_s = (await self._tell_hollow())["clock_s"] + told_s
        ends_s = self.loop.time() + HOLLOW_S
        while (await self._tell_hollow())["clock_s"] < until_s:
            if self.loop.time() > ends_s:
                self.books.violations.append(f"hollow members do not go on: {HOLLOW_S:.0f} s for one kill")
                return
            await asyncio.sleep(0.2)

    async def _one_kill(self, number: int) -> None:
        kind, before = KINDS[number % len(KINDS)], self.broke["kills"]
        loses_copy = bool(self.control) and number % EACH_LOSS == 4
        while self.broke["kills"] == before:
            others = [name for name in self.up() if name not in self.control]
            if loses_copy and others:
                self._kill(self.random.choice(others), loses_copy=True)
            elif kind == "any" and (up := self.up()):
                self._kill(self.random.choice(up))
            else:
                done = self.loop.create_future()
                self.wants.append((kind, done))
                try:
                    await asyncio.wait_for(done, START_S)
                except TimeoutError:
                    self.books.violations.append(f"no change came in {START_S:.0f} s to kill a writer at")
                    return
            await asyncio.sleep(0.02)

    # The end

    async def _end(self) -> None:
        """Wait until all are there and show the same, and hold that against the books."""
        books = self.books
        if not await self.until(lambda: len(self.up()) == len(self.names) and not self.cut, 2 * START_S):
            books.violations.append(f"not all came back: {self.state}")
        self.changing = False
        if not await self.until(
            lambda: all(
                history.last.acked_s is not None or history.name in books.unverifiable
                for history in books.histories.values()
            ),
            SETTLE_S,
        ):
            books.violations.append("not all changes have a definite answer, with all nodes there")
        began_s = self.loop.time()
        settled: set[str] = set()

        def look() -> bool:
            now = self.loop.time()
            settled.update(node for node in self.up() if books.has_final_rows(node, self.rows[node], now))
            return len(settled) == len(self.names)

        if not await self.until(look, SETTLE_S):
            books.violations.append(f"{sorted(set(self.names) - settled)} show another table in the end")
        self.figures["settled_s"] = round(self.loop.time() - began_s, 3)
        self.asking = False
        await asyncio.gather(*map(self._last_requests, self.up()))
        shown = {node: self.rows[node] for node in self.up()}
        revisions = dict(zip(shown, await asyncio.gather(*map(self._revisions, shown)), strict=True))
        books.check_final_state(shown, revisions)
        resident_kb = median(map(self.nodes.resident_kb, self.up()))
        self.figures["resident_mb"] = round(resident_kb / 1024, 1)
        await self._end_hollow()
        await self._leave()

    async def _last_requests(self, node: str) -> None:
        """Make a request of each tenant: it is answered under the last row, also where there is none."""
        for name, row in self.books.expected().items():
            found, ends_s = None, self.loop.time() + SETTLE_S
            while found != expected_answer(row) and self.loop.time() < ends_s:
                found = await self._ask(node, name)
                if found is not None and found[0] != 503:
                    break
                if found != expected_answer(row):
                    await asyncio.sleep(0.1)  # it may refuse for a while, under any row
            if found != expected_answer(row):
                self.books.violations.append(
                    f"{node} answers {found} for {name} in the end, whose row is {row}"
                )

    async def _revisions(self, node: str) -> dict[str, Revision]:
        found = {}
        for name, row in self.books.expected().items():
            with contextlib.suppress(NodeUnreachableError):
                told = await self._api(node, "GET", f"/v1/tenants/{name}")
                if row and told and (revision := revision_of(told.headers)):
                    found[name] = revision
        return found

    async def _leave(self) -> None:
        """Have all nodes leave, and look for errors in their logs."""
        left = self.up()
        for name in left:
            self._away(name, "leaving")
            self.nodes.send(name, signal.SIGTERM)
        if not await self.until(lambda: not any(map(self.nodes.alive, left)), START_S):
            self.books.violations.append("not all left in time")
        for name in left:
            if (status := self.nodes.running[name].poll()) != 0:
                self.books.violations.append(f"{name} left with status {status}")
        for name in self.names:
            self.books.violations += [f"{name} logged: {line}" for line in self.nodes.error_lines(name)[:3]]

    def _report(self) -> None:
        times = self.books.propagation_times_s(self.names, self.writer_of)
        told = {f"in_force_{kind}": percentiles(found) for kind, found in times.items()}
        self.figures |= {
            **self.broke,
            **self.books.counts,
            **told,
            "after_cut": percentiles(self.healed_s),
            "slowest": self.books.slowest,
            "rig_late_s": round(self.late_s, 3),
        }


def together(told: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return what several processes of hollow members tell, as if one did: the slowest clock counts."""
    how = {"clock_s": min, "lost_s": max, "live_least": min, "live_most": max}
    return {
        key: how.get(key, sum)([one.get(key, 0) for one in told])
        for key in dict.fromkeys(key for one in told for key in one)
    }


def percentiles(found: list[float]) -> dict[str, float]:
    """Return how many there are, their median, their 99th percentile and the most, in seconds."""
    if not found:
        return {"count": 0}
    ordered = sorted(found)
    return {
        "count": len(ordered),
        "median_s": round(median(ordered), 3),
        "p99_s": round(ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))], 3),
        "most_s": round(ordered[-1], 3),
    }


def play(proof: Proof, folder: Path | None = None) -> Rig:
    """Play a proof. Logs and configurations of nodes go to `folder`, which is else a passing one."""

    async def work(where: Path) -> Rig:
        rig, task = Rig(proof, where), asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await rig.play()
        return rig

    with contextlib.ExitStack() as stack:
        where = folder or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        where.mkdir(parents=True, exist_ok=True)
        try:
            return asyncio.run(work(where))
        except asyncio.CancelledError:
            raise SystemExit(128 + signal.SIGTERM) from None


def main(argv: list[str] | None = None) -> int:
    """Play a proof and print its figures; 0, or 1 where a rule was broken."""
    words = sys.argv[1:] if argv is None else argv
    if words[:1] == ["fill"]:
        return fill.main(words[1:])
    usual = Proof()
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.live", description="On loopback only.")
    parser.add_argument("--nodes", type=int, default=usual.nodes)
    parser.add_argument("--kills", type=int, default=usual.kills)
    parser.add_argument("--hollow", type=int, default=usual.hollow, help="members without a process")
    parser.add_argument("--hollow-parts", type=int, default=usual.hollow_parts, help="processes they share")
    parser.add_argument("--tenants", type=int, default=usual.tenants)
    parser.add_argument("--rate", type=float, default=usual.rate, help="requests a second in all")
    parser.add_argument("--changes", type=float, default=usual.changes, help="changes a second in all")
    parser.add_argument("--away", type=int, default=usual.most_away, help="nodes at once")
    parser.add_argument("--seed", type=int, default=usual.seed)
    parser.add_argument("--alone", action="store_true", help="one node with a journal, not replicated")
    parser.add_argument("--logs", type=Path, help="keep the nodes' logs and configurations in this folder")
    parser.add_argument("--json", type=Path, help="write the figures there")
    given = parser.parse_args(words)
    nodes = 1 if given.alone else given.nodes
    began_s = time.monotonic()
    rig = play(
        Proof(
            nodes,
            given.kills,
            given.hollow,
            given.hollow_parts,
            given.tenants,
            given.rate,
            given.changes,
            given.away,
            not given.alone,
            given.seed,
        ),
        given.logs,
    )
    figures = {**rig.figures, "took_s": round(time.monotonic() - began_s, 1)}
    width = max(map(len, figures))
    for name, value in figures.items():
        print(f"{name.ljust(width)}  {value}")
    for line in rig.books.violations[:40]:
        print(f"broken: {line}")
    if given.json:
        given.json.write_text(
            json.dumps({"figures": figures, "broken": rig.books.violations}, indent=1) + "\n"
        )
    return 1 if rig.books.violations else 0


if __name__ == "__main__":
    sys.exit(main())
