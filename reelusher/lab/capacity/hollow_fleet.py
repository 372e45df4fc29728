"""A fleet of hollow nodes on a virtual clock: the real `Swim` and `Replica`, no sockets.

It is in 17 zones of 7 regions, loses datagrams, restarts nodes and takes changes of tenants.
"""

import gc
import resource
from array import array
from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import count
from math import ceil
from random import Random
from statistics import mean
from time import perf_counter, process_time
from typing import Any, NamedTuple

import msgspec

from reelusher.fleet.membership.authentication import MessageAuthenticator
from reelusher.fleet.membership.member_table import MemberTable
from reelusher.fleet.membership.messages import (
    BucketsRequest,
    Datagram,
    DigestReply,
    DigestRequest,
    MemberState,
    StateReply,
    StateRequest,
    Update,
)
from reelusher.fleet.membership.requests import REQUEST_TIMEOUT_S
from reelusher.fleet.membership.service import EXPIRY_INTERVAL_S, MAX_CONNECTIONS
from reelusher.fleet.membership.state_sync import (
    STATE_REPLIES_PER_S,
    STATE_REPLY_BURST,
    SYNC_INTERVAL_S,
    SYNC_PAUSE_S,
)
from reelusher.fleet.membership.swim import StepResult, Swim
from reelusher.fleet.replication.messages import EntriesReply, LogEntry
from reelusher.fleet.replication.positions import partition_of
from reelusher.fleet.replication.pull_scheduler import Pull
from reelusher.fleet.replication.replica import NotLeaderError, Replica
from reelusher.fleet.replication.replica_store import MemoryReplicaStore
from reelusher.lab.fleet.virtual import VirtualClock
from reelusher.pacing.token_bucket import TokenBucket

ZONES, REGIONS = 17, 7
CONTROL = tuple(f"control-{number}" for number in range(1, 7))
IN_ZONE_S, IN_REGION_S = 0.0005, 0.002  # one way
BETWEEN_S = 0.01, 0.1  # one way between the two closest regions, and the two furthest
JITTER = 0.2  # part of a way by which it may take longer
LOSS = 0.02  # of datagrams, and of legs of an exchange, which then wait for TCP
RESENT_S = 0.2  # until TCP sends anew
HEADERS = 28  # bytes of IP and UDP of a datagram
SEGMENT = 1448  # bytes of an exchange in one packet
PACKET = 52  # bytes of IP and TCP headers of one
HANDSHAKE = 6  # packets of a connection without data, both ways
LIFE_MS = 1_764_650_000_000  # incarnations are the times of starts
RESTART_S = 11.0  # between restarts in the fleet: 7,880 a day
DOWN_S = 2.0, 6.0  # that one is away
DAY_RATE = 12_000 / 86_400  # changes a second
TENANT = b'{"name":"%s","backend":"w-1","hosts":["%s.example"],"prefix":"/","class":"shop"}' + b" " * 220
TENANTS = 400  # that are changed
ENOUGH = 0.999
MOST_KNOWN = 200_000  # updates of other parts that are remembered, so that nodes share them
Network = Callable[[int, int], bool]
Post = tuple[float, str, tuple[Any, ...]]  # when, which method of the part that it is for, its arguments


def region_of(zone: int) -> int:
    """Return the region of a zone: most have two or three."""
    return zone % REGIONS


def ways() -> list[list[float]]:
    """Return the seconds one way between each two zones: regions lie on a line."""
    step = (BETWEEN_S[1] - BETWEEN_S[0]) / (REGIONS - 2)

    def way(one: int, other: int) -> float:
        if one == other:
            return IN_ZONE_S
        apart = abs(region_of(one) - region_of(other))
        return BETWEEN_S[0] + (apart - 1) * step if apart else IN_REGION_S

    return [[way(one, other) for other in range(ZONES)] for one in range(ZONES)]


class Node:
    """One hollow node, and what it has sent."""

    __slots__ = (
        "asked",
        "due_s",
        "exchange_bytes",
        "exchanges",
        "got_bytes",
        "index",
        "name",
        "place",
        "position",
        "pull_due_s",
        "replica",
        "rows",
        "sent",
        "sent_bytes",
        "states",
        "swim",
        "sync_due_s",
        "syncing",
        "up",
        "zone",
    )

    def __init__(self, index: int, name: str) -> None:
        self.index, self.name, self.zone = index, name, index % ZONES
        self.place = f"10.{index // 250}.{index % 250 + 1}.9:7946"
        self.up = True
        self.rows = MemoryReplicaStore()
        self.swim: Swim
        self.replica: Replica
        self.due_s = self.pull_due_s = self.sync_due_s = float("inf")
        self.syncing = False
        self.asked = 0  # askers at this instant
        self.states: TokenBucket
        self.sent = self.sent_bytes = self.got_bytes = self.exchanges = self.exchange_bytes = 0
        self.position: list[int] = []


class Change(NamedTuple):
    """One change of a tenant."""

    at_s: float
    stream: int
    number: int


class Fleet:
    """Hollow nodes that have joined, and what stands between them; or a part of them, see `parts`."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        loss: float = LOSS,
        replicate: bool = True,
        part: int = 0,
        parts: int = 1,
    ) -> None:
        """Hold the nodes of each so many-th region, from the part's on; all, where there is one part."""
        self.line, self.loss = VirtualClock(), loss
        self.random = Random(f"{seed} {part}") if parts > 1 else Random(seed)
        self.seed, self.part, self.parts = seed, part, parts
        self.replicate = replicate
        self.way = ways()
        self.cut: Network = lambda one, other: False
        self.nodes = [
            Node(number, CONTROL[number] if number < len(CONTROL) else f"node-{number:04}")
            for number in range(size)
        ]
        self.by_place = {node.place: node for node in self.nodes}
        self.mine = [node for node in self.nodes if self.part_of(node) == part]
        self.outboxes: list[list[Post]] = [[] for _ in range(parts)]  # for other parts
        self._waiting: dict[int, tuple[Node, Swim, Callable[[Any], None]]] = {}  # exchanges, by number
        self._numbers = count()
        self._known: dict[Update, Update] = {}  # one of each that came from other parts
        self._messages = msgspec.msgpack.Decoder(Datagram)
        self.meter: Meter | None = None
        self.steady = set(range(size))  # neither restarted nor cut off on purpose
        self.changes: list[Change] = []
        self.arrivals: dict[tuple[int, int], array[float]] = {}  # at steady nodes, by stream and number
        self.ran_s = self.swim_s = self.replica_s = 0.0
        self.false_deaths = self.failed_pulls = self.turned_away = 0.0
        self.refused: dict[str, int] = {}
        self._encoder = msgspec.msgpack.Encoder()
        seal = MessageAuthenticator(b"a secret of sixteen", "reelusher", self.nodes[-1].place, LIFE_MS)
        seal._number = 1 << 20
        ping = Datagram(0, "x")  # type: ignore[arg-type]
        self._envelope = len(seal.seal(ping)) - len(self._encoder.encode(ping))
        everyone = MemberTable(Random(seed))
        for node in self.nodes:
            everyone.apply(self._own(node, LIFE_MS), 0.0)
        for node in self.mine:
            self._begin(node, LIFE_MS)
            node.swim.table.copy_from(everyone, node.place)
            node.swim.gossip.broadcasts.clear()
            node.sync_due_s = self.random.uniform(0.0, SYNC_INTERVAL_S[1])
            self._wake(node)
            self._wake_sync(node)
            self.line.call_later(self.random.uniform(0.0, EXPIRY_INTERVAL_S), self._drop, node)

    # The parts

    def part_of(self, node: Node) -> int:
        """Return which part holds a node."""
        return region_of(node.zone) % self.parts

    def _post(self, to: Node, delay_s: float, what: str, *args: Any) -> None:
        """Have the part that holds a node do something, no sooner than after the way between two regions."""
        part = self.part_of(to)
        if part == self.part:
            self.line.call_later(delay_s, getattr(self, what), *args)
        else:
            self.outboxes[part].append((self.line.now + delay_s, what, args))

    def take_in(self, posts: Iterable[Post]) -> None:
        """Take what other parts have posted."""
        for at_s, what, args in posts:
            self.line.call_later(at_s - self.line.now, getattr(self, what), *args)

    def collect(self) -> list[list[Post]]:
        """Return what is for other parts, and keep none of it."""
        posts, self.outboxes = self.outboxes, [[] for _ in range(self.parts)]
        return posts

    def _tell_up(self, node: Node) -> None:
        """Tell all other parts whether a node runs: they count false deaths, and who is live."""
        for outbox in self.outboxes:
            outbox.append((self.line.now + BETWEEN_S[0], "note_up", (node.index, node.up)))
        self.outboxes[self.part].clear()

    def note_up(self, index: int, up: bool) -> None:
        """Note whether a node of another part runs."""
        self.nodes[index].up = up

    # The nodes

    def _own(self, node: Node, life: int) -> Update:
        return Update(
            node.place,
            node.name,
            f"zone-{node.zone:02}",
            f"region-{region_of(node.zone)}",
            life,
            MemberState.ALIVE,
        )

    def _begin(self, node: Node, life: int) -> None:
        now, random = self.line.now, Random(self.random.random())
        node.swim = Swim(self._own(node, life), random, now)
        node.states = TokenBucket(STATE_REPLIES_PER_S, STATE_REPLY_BURST, now)
        node.due_s = node.pull_due_s = float("inf")
        node.syncing, node.asked = False, 0
        if self.replicate:
            node.replica = Replica(node.place, CONTROL, node.rows, random, str(node.zone), now)
            node.position = node.replica.announce()
            node.swim.gossip.vector = node.replica.announce
            node.swim.on_vector = lambda sender, vector, at: self._heard(node, sender, vector, at)

    def _heard(self, node: Node, sender: str, vector: list[int], now: float) -> None:
        if vector != node.position or node.replica.pulls.due_s != node.pull_due_s:
            began = perf_counter()
            node.replica.pulls.observe(sender, str(self.by_place[sender].zone), vector, now)
            took = perf_counter() - began
            self.replica_s += took
            self.swim_s -= took  # within which it is called
            self._wake_pull(node)

    def _drop(self, node: Node) -> None:
        if node.up:
            node.swim.table.drop_expired(self.line.now)
        self.line.call_later(EXPIRY_INTERVAL_S, self._drop, node)

    def _wake(self, node: Node) -> None:
        now = self.line.now
        at = max(now, node.swim.next_tick_s())
        if now < node.due_s <= at or not node.up:
            return  # an earlier look is set
        node.due_s = at
        self.line.call_later(at - now, self._tick, node, at, node.swim)

    def _tick(self, node: Node, at: float, swim: Swim) -> None:
        if node.due_s == at and node.up and swim is node.swim:
            node.due_s = float("inf")
            began = perf_counter()
            said = swim.tick(self.line.now)
            self.swim_s += perf_counter() - began
            self._carry_out(node, said)
            self._wake(node)

    def _carry_out(self, node: Node, said: StepResult) -> None:
        random = self.random
        for change in said.changes:
            if change.update.state is MemberState.DEAD:
                other = self.by_place[change.update.address]
                self.false_deaths += other.up and not self.cut(node.index, other.index)
        for place, message in said.datagrams:
            node.sent += 1
            data = self._encoder.encode(message)
            size = len(data) + self._envelope
            node.sent_bytes += size
            other = self.by_place[place]
            if other.up and random.random() >= self.loss and not self.cut(node.index, other.index):
                if self.part_of(other) == self.part:
                    self.line.call_later(self._way_s(node, other), self._take, other, message, size)
                else:
                    self._post(other, self._way_s(node, other), "take_bytes", other.index, data)
        if node.swim.sync_with and not node.syncing:
            found = node.swim.sync_with.pop()
            node.swim.sync_with.clear()
            node.syncing = True
            self._compare(node, self.by_place[found])

    def _way_s(self, one: Node, other: Node) -> float:
        return self.way[one.zone][other.zone] * (1 + JITTER * self.random.random())

    def take_bytes(self, index: int, data: bytes) -> None:
        """Take a datagram of another part."""
        message = self._messages.decode(data)
        message.updates[:] = self._shared(message.updates)
        self._take(self.nodes[index], message, len(data) + self._envelope)

    def _shared(self, updates: Iterable[Update]) -> list[Update]:
        """Return the same, of each update one for all nodes of this part."""
        if len(self._known) > MOST_KNOWN:
            self._known.clear()
        return [self._known.setdefault(said, said) for said in updates]

    def _take(self, node: Node, message: Datagram, size: int) -> None:
        if not node.up:
            return
        node.got_bytes += size
        began = perf_counter()
        said = node.swim.receive(message, self.line.now)
        self.swim_s += perf_counter() - began
        self._carry_out(node, said)
        self._wake(node)

    # Exchanges over TCP

    def _leg_s(self, one: Node, other: Node, size: int = 0) -> float:
        late = RESENT_S if self.random.random() < self.loss * (1 + size // SEGMENT / 10) else 0.0
        return self._way_s(one, other) + late

    def _size(self, body: Any) -> int:
        return len(self._encoder.encode(body)) + self._envelope + 4

    def _count_sent(self, node: Node, size: int) -> None:
        """Count a frame for the one that sends it, packets and its part of the handshake."""
        node.exchange_bytes += size + PACKET * (1 + size // SEGMENT) + PACKET * HANDSHAKE // 4

    def _count_got(self, node: Node, size: int) -> None:
        """Count what the other end sends for a frame."""
        node.exchange_bytes += PACKET * (1 + size // SEGMENT // 2) + PACKET * HANDSHAKE // 4

    def _ask(self, node: Node, other: Node, request: Any, then: Callable[[Any], None]) -> None:
        """Have a node ask another; `then` gets the reply, None where there is none."""
        node.exchanges += 1
        size, number = self._size(request), next(self._numbers)
        self._count_sent(node, size)
        self._waiting[number] = node, node.swim, then
        self._post(other, self._leg_s(node, other), "asked", node.index, other.index, number, request, size)

    def asked(self, asker: int, index: int, number: int, request: Any, size: int) -> None:
        """Have a node hear that another connects to it with a request."""
        node, other = self.nodes[asker], self.nodes[index]
        if not other.up or self.cut(asker, index):
            self._post(node, REQUEST_TIMEOUT_S, "answered", asker, number, None, 0)
            return
        if other.asked >= MAX_CONNECTIONS:
            self.turned_away += 1
            self._post(node, self._way_s(other, node), "answered", asker, number, None, 0)
            return
        other.asked += 1
        self.line.call_later(
            self._leg_s(node, other, size) + self._way_s(other, node),
            self._answer,
            node,
            other,
            number,
            request,
            size,
        )

    def _answer(self, node: Node, other: Node, number: int, request: Any, size: int) -> None:
        """Answer: the connection stands, and the request is read."""
        other.asked = max(0, other.asked - 1)
        self._count_got(other, size)
        if not other.up:
            self._post(node, self._way_s(other, node), "answered", node.index, number, None, 0)
            return
        reply = self._reply(other, request)
        back = self._size(reply)
        self._count_sent(other, back)
        self._post(node, self._leg_s(other, node, back), "answered", node.index, number, reply, back)

    def answered(self, index: int, number: int, reply: Any, size: int) -> None:
        """Have a node hear the answer to what it asked, or that there is none."""
        node, swim, then = self._waiting.pop(number)
        if reply is not None:
            self._count_got(node, size)
        if node.up and node.swim is swim:
            then(reply)

    def _reply(self, node: Node, request: Any) -> Any:
        now = self.line.now
        match request:
            case DigestRequest():
                return DigestReply(node.swim.compare_digest(request.digest))
            case BucketsRequest():
                self._merged(node, request.updates)
                return StateReply(
                    node.swim.in_buckets(request.buckets) if node.states.try_take(now) else [node.swim.own]
                )
            case StateRequest():
                self._merged(node, request.updates)
                gives = node.states.try_take(now)
                return StateReply(node.swim.full_state()) if gives else StateReply([], [node.place])
        began = perf_counter()
        reply = node.replica.answer(request, now)
        self.replica_s += perf_counter() - began
        return reply

    def _wake_sync(self, node: Node) -> None:
        self.line.call_later(node.sync_due_s - self.line.now, self._sync, node, node.swim)

    def _sync(self, node: Node, swim: Swim) -> None:
        if not node.up or node.swim is not swim:
            return
        node.sync_due_s = self.line.now + self.random.uniform(*SYNC_INTERVAL_S)
        self._wake_sync(node)
        live = swim.table.live_count()
        lost = [
            seed
            for seed in self.nodes[: len(CONTROL)]
            if seed is not node
            and not (seed.place in swim.table.members and swim.table.members[seed.place].is_live)
        ]
        if lost and self.random.random() < 3 / (1 + live):
            self._compare(node, self.random.choice(lost))
        elif live:
            self._compare(node, self.by_place[swim.table.sample(1)[0]])

    def _merged(self, node: Node, updates: Iterable[Update]) -> None:
        if self.parts > 1:
            updates = self._shared(updates)
        began = perf_counter()
        said = node.swim.merge(updates, self.line.now)
        self.swim_s += perf_counter() - began
        self._carry_out(node, said)
        self._wake(node)

    def _compare(self, node: Node, other: Node) -> None:
        """Compare states as `Membership` does."""
        request = DigestRequest(node.place, node.swim.digest())

        def free() -> None:
            node.syncing = False

        def digests(reply: DigestReply | None) -> None:
            self.line.call_later(self.random.uniform(*SYNC_PAUSE_S), free)
            if reply is None or not reply.digests:
                return
            buckets = node.swim.differing_buckets(reply.digests)
            if buckets:
                self._ask(
                    node, other, BucketsRequest(node.place, buckets, node.swim.in_buckets(buckets)), merged
                )

        def merged(reply: StateReply | None) -> None:
            if reply is not None:
                self._merged(node, reply.updates)

        self._ask(node, other, request, digests)

    # Replication

    def _wake_pull(self, node: Node) -> None:
        at = node.replica.pulls.next_due_s()
        if at != node.pull_due_s and node.up:
            node.pull_due_s = at
            if at < float("inf"):
                self.line.call_later(at - self.line.now, self._pull, node, at, node.replica)

    def _pull(self, node: Node, at: float, replica: Replica) -> None:
        if not node.up or node.replica is not replica or node.pull_due_s != at:
            return
        node.pull_due_s = float("inf")
        began = perf_counter()
        pull = replica.pulls.next_pull(self.line.now)
        self.replica_s += perf_counter() - began
        self._wake_pull(node)
        if pull is not None:
            self._ask(
                node, self.by_place[pull.address], pull.request, lambda reply: self._pulled(node, pull, reply)
            )

    def _pulled(self, node: Node, pull: Pull, reply: EntriesReply | None) -> None:
        began = perf_counter()
        if reply is None:
            self.failed_pulls += 1
            node.replica.pulls.failed(pull, self.line.now)
        else:
            taken = node.replica.apply_reply(pull, reply, self.line.now)
            for word in taken.faults:
                self.refused[word] = self.refused.get(word, 0) + 1
        self.replica_s += perf_counter() - began
        self._note(node)
        self._wake_pull(node)

    def _note(self, node: Node) -> None:
        """Note which changes a node has now."""
        before, node.position = node.position, node.replica.announce()
        if before is node.position or node.index not in self.steady:
            return
        for stream in range(len(CONTROL)):
            for number in range(before[2 + 2 * stream] + 1, node.position[2 + 2 * stream] + 1):
                self.arrivals.setdefault((stream, number), array("d")).append(self.line.now)

    def change(self, tenant: int) -> bool:
        """Have a tenant's holder make a change; False where it is away, or of another part."""
        name = f"tenant-{tenant}"
        holder = partition_of(name, CONTROL)
        node = self.nodes[CONTROL.index(holder)]
        if not node.up or self.part_of(node) != self.part:
            return False
        now = self.line.now
        body = TENANT.replace(b"%s", name.encode()) + str(len(self.changes)).encode()
        try:
            entry = node.replica.accept(
                holder, node.name, LogEntry(0, name, int(now * 1000), "ops", "active", body)
            )
        except NotLeaderError:
            return False
        stream = CONTROL.index(holder)
        self.changes.append(Change(now, stream, entry.index))
        self._note(node)
        return True

    # What happens to it

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.run_to(self.line.now + seconds)

    def run_to(self, until_s: float) -> None:
        """Let time pass until a time."""
        began = perf_counter()
        self.line.run(until_s)
        self.ran_s += perf_counter() - began

    def until(self, holds: Callable[[], bool], most_s: float, step_s: float = 0.1) -> float:
        """Let time pass until something holds; return the seconds, infinity past the most."""
        began = self.line.now
        while not holds():
            if self.line.now - began > most_s:
                return float("inf")
            self.run(step_s)
        return self.line.now - began

    def kill(self, node: Node) -> None:
        """End a node without a word."""
        node.up = False
        self._tell_up(node)

    def restart(self, node: Node) -> None:
        """Have a node leave, and come back with its rows and no members a little later."""
        if node.up:
            self._carry_out(node, node.swim.leave())
            node.up = False
            self._tell_up(node)
            self.line.call_later(self.random.uniform(*DOWN_S), self.start, node)

    def start(self, node: Node) -> None:
        """Have a node that was away join anew."""
        node.up = True
        self._tell_up(node)
        self._begin(node, LIFE_MS + int(self.line.now * 1000) + 1)
        self._join(node)

    def _join(self, node: Node) -> None:
        seed = self.random.choice([one for one in self.nodes[: len(CONTROL)] if one is not node])

        def joined(reply: StateReply | None) -> None:
            if reply is None or reply.alternatives:
                self.line.call_later(self.random.uniform(0.2, 0.6), self._join, node)
                return
            began = perf_counter()
            said = node.swim.join(reply.updates, self.line.now)
            self.swim_s += perf_counter() - began
            self._carry_out(node, said)
            node.sync_due_s = self.line.now + self.random.uniform(0.0, SYNC_INTERVAL_S[1])
            self._wake(node)
            self._wake_sync(node)

        self._ask(node, seed, StateRequest(node.place, [node.swim.own]), joined)

    def make_changes(self, until_s: float, rate: float, most: int) -> None:
        """Make changes at random times, so many a second, until a time; the same in all parts."""
        random, at_s = Random(f"{self.seed} changes"), self.line.now
        for _ in range(most):
            at_s += random.expovariate(rate)
            if at_s >= until_s:
                return
            self.line.call_later(at_s - self.line.now, self.change, random.randrange(TENANTS))

    def restarts(self, until_s: float, gap_s: float) -> None:
        """Restart nodes one by one until a time, but no control members; they are no longer steady.

        Of all parts each draws the same nodes and times, and restarts its own.
        """
        random = Random(f"{self.seed} restarts")
        count = int((until_s - self.line.now) / gap_s)
        others = range(len(CONTROL), len(self.nodes))
        pool = random.sample(others, min(count, len(others) // 4))
        self.steady -= set(pool)
        chosen = pool + random.choices(pool, k=count - len(pool)) if pool else []
        for number, index in enumerate(chosen):
            after_s = (number + random.random()) * gap_s
            if self.part_of(self.nodes[index]) == self.part:
                self.line.call_later(after_s, self.restart, self.nodes[index])

    def apart(self, group: set[int]) -> None:
        """Cut some nodes off from all others; none: end a cut."""
        self.cut = (
            (lambda one, other: (one in group) != (other in group)) if group else (lambda one, other: False)
        )

    # What came of it

    def agreed(self) -> bool:
        """Tell whether each live node counts just the live ones."""
        live = [node for node in self.nodes if node.up]
        mine = [node for node in self.mine if node.up]
        return all(1 + node.swim.table.live_count() == len(live) for node in mine) and all(
            other.swim.table.members[node.place].is_live
            for node in live[:3]
            for other in mine
            if other is not node
        )

    def level(self) -> bool:
        """Tell whether all live nodes are at one position in every stream."""
        return len(self.positions()) == 1

    def positions(self) -> set[tuple[int, ...]]:
        """Return where the live nodes of this part are in the streams."""
        return {tuple(node.position) for node in self.mine if node.up}

    def holding_dead(self, node: Node) -> int:
        """Count the live nodes that don't count one as live."""
        return sum(
            one.up
            and one is not node
            and not (node.place in one.swim.table.members and one.swim.table.members[node.place].is_live)
            for one in self.mine
        )


@dataclass(slots=True, frozen=True)
class Reading:
    """What the nodes of a part have sent and what they cost within a time."""

    seconds: float
    rows: list[list[int]]  # of each node: datagrams and their bytes, bytes got, exchanges and their bytes
    control: int  # how many of the first of these are control members
    processor_s: float
    wall_s: float
    swim_s: float  # by the wall
    replica_s: float
    peak_kb: int
    counts: dict[str, float]


class Meter:
    """What nodes send and what the play costs, from its making on."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self._began_s = fleet, fleet.line.now
        self._counts = [self._count(node) for node in fleet.mine]
        self._cpu, self._wall = process_time(), fleet.ran_s
        self._parts = fleet.swim_s, fleet.replica_s
        gc.collect()
        gc.disable()

    @staticmethod
    def _count(node: Node) -> tuple[int, int, int, int, int]:
        return node.sent, node.sent_bytes, node.got_bytes, node.exchanges, node.exchange_bytes

    def read(self) -> Reading:
        """Return what was sent and spent since this was made."""
        gc.enable()
        fleet = self.fleet
        rows = [
            [after - before for after, before in zip(self._count(node), counts, strict=True)]
            for node, counts in zip(fleet.mine, self._counts, strict=True)
        ]
        swim_s, replica_s = fleet.swim_s - self._parts[0], fleet.replica_s - self._parts[1]
        return Reading(
            fleet.line.now - self._began_s,
            rows,
            sum(node.index < len(CONTROL) for node in fleet.mine),
            process_time() - self._cpu,
            fleet.ran_s - self._wall,
            swim_s,
            replica_s,
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            {
                "false_deaths": fleet.false_deaths,
                "failed_pulls": fleet.failed_pulls,
                "turned_away": fleet.turned_away,
            },
        )

    def figures(self) -> dict[str, float]:
        """Return the figures of a fleet of one part."""
        return figures_of([self.read()])


def figures_of(readings: Sequence[Reading]) -> dict[str, float]:
    """Return what a node sends and takes in a second, and the most of any one; from all parts of a fleet."""
    rows = [row for one in readings for row in one.rows]
    seconds, size = readings[0].seconds, len(rows)

    def whole(row: Sequence[int]) -> float:
        return (row[1] + row[4] + HEADERS * row[0]) / seconds

    sent = sorted(map(whole, rows))
    # decisions are timed by the wall, of which the processor was given a part
    membership, replica = (
        sum(
            spent / one.wall_s * one.processor_s
            for spent, one in zip(part, readings, strict=True)
            if one.wall_s
        )
        / size
        / seconds
        for part in ([one.swim_s for one in readings], [one.replica_s for one in readings])
    )
    cpu = sum(one.processor_s for one in readings)
    datagrams = mean(row[0] for row in rows) / seconds
    sealing = datagrams * 2 * seal_s()
    return {
        "virtual_seconds": round(seconds, 1),
        "datagrams_a_second": round(datagrams, 2),
        "datagram_bytes_a_second": round(mean(row[1] for row in rows) / seconds, 1),
        "header_bytes_a_second": round(HEADERS * datagrams, 1),
        "exchanges_a_second": round(mean(row[3] for row in rows) / seconds, 3),
        "exchange_bytes_a_second": round(mean(row[4] for row in rows) / seconds, 1),
        "sent_bytes_a_second_mean": round(mean(sent), 1),
        "sent_bytes_a_second_99_percent": round(sent[int(0.99 * (size - 1))], 1),
        "sent_bytes_a_second_most": round(sent[-1], 1),
        "sent_bytes_a_second_most_but_control": round(
            max(whole(row) for one in readings for row in one.rows[one.control :]), 1
        ),
        "membership_core_percent": round(100 * membership, 4),
        "replica_core_percent": round(100 * replica, 4),
        "sealing_core_percent": round(100 * sealing, 4),
        "core_percent": round(100 * (membership + replica + sealing), 4),
        "driver_core_percent": round(100 * (cpu / size / seconds - membership - replica), 4),
        "process_seconds": round(cpu, 1),
        "wall_seconds": round(max(one.wall_s for one in readings), 1),
        "peak_memory_mb": round(sum(one.peak_kb for one in readings) / 1024),
        **{name: sum(one.counts[name] for one in readings) for name in readings[0].counts},
    }


def seal_s(count: int = 2000) -> float:
    """Return the processor time of sealing a datagram and opening one, halved."""
    seal, other = (
        MessageAuthenticator(b"a secret of sixteen", "reelusher", "10.0.0.1:7946", life) for life in (1, 2)
    )
    said = [
        Update(f"10.0.0.{number}:7946", "node-1234", "zone-12", "region-3", LIFE_MS, MemberState.ALIVE)
        for number in range(3)
    ]
    message = Datagram(0, "10.0.0.1:7946", 1 << 20, "", said, [1 << 31, *[9, 1 << 12] * 6])  # type: ignore[arg-type]
    began = process_time()
    for _ in range(count):
        other.open(seal.seal(message), Datagram)
    return (process_time() - began) / count / 2


@dataclass(slots=True, frozen=True)
class Spread:
    """The changes that a part has made, and when its steady nodes had which."""

    changes: list[Change]
    arrivals: "dict[tuple[int, int], array[float]]"
    steady: int  # nodes of all parts


def spread_figures(spreads: Sequence[Spread]) -> dict[str, float]:
    """Return how long the changes took to be everywhere; what never was is told as infinite."""
    most: list[float] = []
    every: list[float] = []
    need = spreads[0].steady
    for change in [change for one in spreads for change in one.changes]:
        which = change.stream, change.number
        came = sorted(at_s for one in spreads for at_s in one.arrivals.get(which, ()))
        for wanted, took in ((ceil(ENOUGH * need), most), (need, every)):
            took.append(came[wanted - 1] - change.at_s if len(came) >= wanted else float("inf"))
    if not most:
        return {"changes": 0}
    most.sort()
    every.sort()

    def at(values: list[float], part: float) -> float:
        return round(values[min(len(values) - 1, int(part * len(values)))], 3)

    return {
        "changes": len(most),
        "steady_nodes": need,
        "to_999_permille_median_s": at(most, 0.5),
        "to_999_permille_p99_s": at(most, 0.99),
        "to_999_permille_most_s": at(most, 1.0),
        "to_all_median_s": at(every, 0.5),
        "to_all_p99_s": at(every, 0.99),
        "to_all_most_s": at(every, 1.0),
        "past_8_s_for_999_permille": len(most) - bisect_left(most, 8.0),
        "past_16_s_for_all": len(every) - bisect_left(every, 16.0),
    }


def held_by_control(fleet: Fleet) -> dict[str, Any]:
    """Return the rows that the control members of a part hold, by name."""
    return {
        name: kept
        for node in fleet.mine
        if node.index < len(CONTROL)
        for name, kept in node.rows.live_entries().items()
        if partition_of(name, CONTROL) == node.name
    }


def lost(fleet: Fleet, newest: dict[str, Any], changes: Sequence[Change]) -> dict[str, int]:
    """Return how many live nodes of a part lack a change, or have another row than the holder."""
    differ = sum(node.rows.live_entries() != newest for node in fleet.mine if node.up)
    numbers = [sum(change.stream == stream for change in changes) for stream in range(len(CONTROL))]
    undone = sum(node.position[2::2] != numbers for node in fleet.mine if node.up)
    return {"nodes_with_other_rows": differ, "nodes_not_at_the_last_change": undone}
