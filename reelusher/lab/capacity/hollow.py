"""Many members in one process and one thread: the real `Swim` and `Replica`, without what else a node has.

They join a fleet of real processes, so that those feel a table of so many members. All that goes to and comes
from real nodes is sealed and crosses sockets; between two hollow members it is handed over in memory, unless
`sealed` has their datagrams cross sockets too. Where one process does not keep up with all of them, several
hold a part each, and what goes from one part to another crosses sockets as well.

    python -m reelusher.lab.capacity.hollow --members 1000 --seconds 20

tells how far a process keeps up with so many by themselves.
"""

import argparse
import contextlib
import heapq
import json
import os
import selectors
import socket
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from msgspec.structs import replace

from reelusher.config.checked_table import Address, ConfigError, address_of
from reelusher.fleet.membership.authentication import MessageAuthenticator, RejectedMessageError
from reelusher.fleet.membership.member_table import MemberTable
from reelusher.fleet.membership.messages import (
    BUCKET_COUNT,
    MAX_DATAGRAM_BYTES,
    MAX_STATE_BYTES,
    BucketsRequest,
    Datagram,
    DigestReply,
    DigestRequest,
    MemberState,
    ObservationsReply,
    ObservationsRequest,
    StateReply,
    StateRequest,
    Update,
)
from reelusher.fleet.membership.swim import StepResult, Swim
from reelusher.fleet.replication.messages import EntriesReply, EntriesRequest, LogEntry
from reelusher.fleet.replication.positions import partition_of
from reelusher.fleet.replication.pull_scheduler import Pull
from reelusher.fleet.replication.replica import Replica
from reelusher.fleet.replication.replica_store import MemoryReplicaStore
from reelusher.lab.fleet.rig import free_port

T = TypeVar("T")
EXCHANGE_S = 2.0
SYNC_S = 15.0, 30.0  # between exchanges of full states with a member by chance, as nodes do
WAY_S = 0.001  # from one hollow member to another
STEP_S = 0.02
LOOK_S = 0.05  # between looks whether a change is everywhere
READS = 4  # datagrams taken from one socket before the next
REQUESTS = StateRequest | DigestRequest | BucketsRequest | ObservationsRequest | EntriesRequest
FIRST_NET = 100  # hollow members are at 127.100.0.1 and on


@dataclass(slots=True, eq=False)
class Exchange:
    """A question over TCP, of a hollow member to a real one, or the other way round."""

    sock: socket.socket
    until_s: float
    out: bytes = b""
    came: bytearray = field(default_factory=bytearray)
    take: Callable[[bytes], bytes] | None = None  # of the frame that came, what is sent back
    failed: Callable[[], None] = lambda: None


class Member:
    """One hollow member."""

    def __init__(self, own: Update, control: list[str], secret: bytes, fleet: str, random: Random) -> None:
        self.swim, self.rows, self.zone = Swim(own, random, 0.0), MemoryReplicaStore(), own.zone
        self.place = own.address
        self.replica = Replica(own.address, control, self.rows, random, own.zone)
        self.seal = MessageAuthenticator(secret, fleet, own.address, own.incarnation)
        self.swim.gossip.vector, self.swim.on_vector = self.replica.announce, self._heard
        self.sock: socket.socket | None = None
        self.due_s = 0.0  # for which it is in the heap
        self.sync_s = random.uniform(0.0, SYNC_S[1])
        self.exchanging = False

    def _heard(self, sender: str, vector: list[int], now: float) -> None:
        self.replica.pulls.observe(sender, self.zone_of(sender), vector, now)

    def zone_of(self, place: str) -> str:
        """Return the zone of a member that it knows."""
        found = self.swim.table.members.get(place)
        return found.update.zone if found else ""

    def next_s(self) -> float:
        """Return when it has something to do."""
        return min(self.swim.next_tick_s(), self.replica.pulls.next_due_s(), self.sync_s)


def hosts_of(count: int) -> list[str]:
    """Return the addresses of so many."""
    return [f"127.{FIRST_NET}.{number // 250}.{number % 250 + 1}" for number in range(count)]


class Hollow:
    """All hollow members of a process.

    Their clock goes on by `STEP_S` at most between two looks: where this process does not keep up, or is not
    let run, all of them are slow together, and none blames another. `lost_s` tells how much that was.
    """

    def __init__(
        self,
        count: int,
        control: list[str],
        secret: bytes,
        fleet: str = "reelusher",
        zones: tuple[str, ...] = ("a", "b", "c"),
        sealed: bool = False,
        seed: int = 1,
        part: int = 0,
        parts: int = 1,
        port: int = 0,
        life: int = 0,
    ) -> None:
        """Hold each `parts`-th of so many, from the part's on; all parts are given one port and one life."""
        self.random, self.sealed = Random(f"{seed} {part}"), sealed
        self.selector = selectors.DefaultSelector()
        self.members: dict[str, Member] = {}
        self.counts: Counter[str] = Counter()
        self.heap: list[tuple[float, int, Member]] = []
        self.ways: deque[tuple[float, str, Datagram]] = deque()  # on their way between two hollow members
        self.exchanges: set[Exchange] = set()
        self.cut: frozenset[str] = frozenset()  # zones on one side of a cut
        self.now = self.lost_s = 0.0
        self.looked_s = time.monotonic()
        self.stop = False
        self._order = 0
        hosts = hosts_of(count)
        port, life = port or free_port(hosts), life or int(time.time() * 1000)
        everyone = [
            Update(
                f"{host}:{port}", f"h{number + 1}", zones[number % len(zones)], "", life, MemberState.ALIVE
            )
            for number, host in enumerate(hosts)
        ]
        whole = MemberTable(Random(seed))
        for own in everyone:
            whole.apply(own, 0.0)
        for number, own in enumerate(everyone):
            if number % parts != part:
                continue
            member = Member(own, control, secret, fleet, Random(f"{seed} {number}"))
            member.swim.table.copy_from(whole, own.address)  # they know each other from the start
            member.swim.gossip.broadcasts.clear()
            self.members[own.address] = member
            self._listen(member, (hosts[number], port))
            self._wake(member)

    def _listen(self, member: Member, address: Address) -> None:
        member.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        member.sock.bind(address)
        member.sock.setblocking(False)
        listener = socket.create_server(address)
        listener.setblocking(False)
        self.selector.register(member.sock, selectors.EVENT_READ, ("datagrams", member))
        self.selector.register(listener, selectors.EVENT_READ, ("listener", member))

    # Joining

    def join(self, places: list[str]) -> None:
        """Exchange full states with each of these, by a member of its own, and tell all members of them."""
        asked = list(self.members.values())[: len(places)]
        everyone = [member.swim.own for member in self.members.values()]
        known: dict[str, Update] = {}
        for place, member in zip(places, asked, strict=False):
            data = member.seal.seal(StateRequest(member.place, everyone))
            source = member.place.split(":")[0], 0
            with socket.create_connection(address_of(place, "place"), 10.0, source) as sock:
                sock.sendall(len(data).to_bytes(4) + data)
                came = bytearray()
                while len(came) < 4 or len(came) < 4 + int.from_bytes(came[:4]):
                    data = sock.recv(1 << 16)
                    if not data:
                        raise OSError(f"{place} closed within an exchange")
                    came += data
            _, reply = member.seal.open(bytes(came[4:]), StateReply, MAX_STATE_BYTES)
            known |= {said.address: said for said in reply.updates}
        for member in self.members.values():
            for said in known.values():
                if said.address != member.place:
                    member.swim.table.apply(said, self.now)
        self.looked_s = time.monotonic()

    # The loop

    def run(self, until_s: float) -> None:
        """Carry out what is due and what comes, until a time."""
        self.looked_s = time.monotonic()
        while not self.stop and self.looked_s < until_s:
            self._due()
            wait_s = self.heap[0][0] - self.now
            if self.ways:
                wait_s = min(wait_s, self.ways[0][0] - self.now)
            for key, _ in self.selector.select(max(0.0, min(wait_s, STEP_S / 2))):
                what, about = key.data
                match what:
                    case "datagrams":
                        self._read(about)
                    case "listener":
                        self._accept(key.fileobj, about)
                    case "exchange":
                        self._go_on(about)
                    case _:
                        about()
            before_s, self.looked_s = self.looked_s, time.monotonic()
            step_s = min(self.looked_s - before_s, STEP_S)
            self.now += step_s
            self.lost_s += self.looked_s - before_s - step_s

    def _due(self) -> None:
        now = self.now
        while self.ways and self.ways[0][0] <= now:
            _, place, message = self.ways.popleft()
            member = self.members[place]
            self._carry_out(member, member.swim.receive(message, now))
            self._wake(member)
        while self.heap and self.heap[0][0] <= now:
            due_s, _, member = heapq.heappop(self.heap)
            if due_s != member.due_s:
                continue  # an earlier or later look was set since
            member.due_s = 0.0
            self._carry_out(member, member.swim.tick(now))
            if now >= member.sync_s:
                member.sync_s = now + self.random.uniform(*SYNC_S)
                for place in member.swim.table.sample(1):
                    self._compare(member, place)
            if (pull := member.replica.pulls.next_pull(now)) is not None:
                self._pull(member, pull)
            self._wake(member)
        for one in [one for one in self.exchanges if one.until_s < self.looked_s]:
            self._end(one)
            one.failed()

    def _wake(self, member: Member) -> None:
        due_s = member.next_s()
        if due_s != member.due_s:
            member.due_s = due_s
            self._order += 1
            heapq.heappush(self.heap, (due_s, self._order, member))

    def _apart(self, member: Member, place: str) -> bool:
        """Tell whether a cut stands between a member and a place."""
        return bool(self.cut) and (member.zone in self.cut) != (member.zone_of(place) in self.cut)

    # Datagrams

    def _carry_out(self, member: Member, said: StepResult) -> None:
        for place, message in said.datagrams:
            if self._apart(member, place):
                continue
            if place in self.members and not self.sealed:
                self.counts["handed_over"] += 1
                message = replace(message, updates=_copies(message.updates))
                self.ways.append((self.now + WAY_S, place, message))
                continue
            self.counts["sent"] += 1
            assert member.sock is not None
            with contextlib.suppress(OSError, ConfigError):
                member.sock.sendto(member.seal.seal(message), address_of(place, "place"))
        if member.swim.sync_with:
            found = member.swim.sync_with.pop()
            member.swim.sync_with.clear()
            self._compare(member, found)

    def _read(self, member: Member) -> None:
        assert member.sock is not None
        for _ in range(READS):
            try:
                data, _ = member.sock.recvfrom(1 << 16)
            except OSError:
                break
            self.counts["received"] += 1
            try:
                _, message = member.seal.open(data, Datagram, MAX_DATAGRAM_BYTES)
            except RejectedMessageError as error:
                self.counts[f"refused_{error}"] += 1
                continue
            if not self._apart(member, message.sender):
                self._carry_out(member, member.swim.receive(message, self.now))
        self._wake(member)

    # Full states and entries

    def _compare(self, member: Member, place: str) -> None:
        """Exchange with a member what the two know otherwise than each other, as nodes do."""
        if self._apart(member, place):
            return
        self.counts["compared"] += 1
        request, other = DigestRequest(member.place, member.swim.digest()), self.members.get(place)
        if other is not None:
            digests = other.swim.compare_digest(request.digest)
            if digests and (buckets := member.swim.differing_buckets(digests)):
                mine = BucketsRequest(member.place, buckets, _copies(member.swim.in_buckets(buckets)))
                self._merge(member, self._answer(other, mine))
                self._wake(other)
            return

        def compare(reply: DigestReply) -> None:
            buckets = (
                member.swim.differing_buckets(reply.digests) if len(reply.digests) == BUCKET_COUNT else []
            )
            if buckets:
                mine = BucketsRequest(member.place, buckets, member.swim.in_buckets(buckets))
                self._ask(member, place, mine, StateReply, partial(self._merge, member))

        self._ask(member, place, request, DigestReply, compare)

    def _merge(self, member: Member, reply: StateReply) -> None:
        self._carry_out(member, member.swim.merge(_copies(reply.updates), self.now))
        self._wake(member)

    def _pull(self, member: Member, pull: Pull) -> None:
        self.counts["pulls"] += 1
        other = self.members.get(pull.address)
        if self._apart(member, pull.address):
            member.replica.pulls.failed(pull, self.now)
        elif other is not None:
            member.replica.apply_reply(pull, other.replica.answer(pull.request, self.now), self.now)
        else:

            def take(reply: EntriesReply) -> None:
                member.replica.apply_reply(pull, reply, self.now)
                self._wake(member)

            def failed() -> None:
                member.replica.pulls.failed(pull, self.now)
                self._wake(member)

            self.counts["pulls_of_nodes"] += 1
            self._ask(member, pull.address, pull.request, EntriesReply, take, failed)

    def _answer(self, member: Member, asked: Any) -> Any:
        match asked:
            case StateRequest() | BucketsRequest():
                self._carry_out(member, member.swim.merge(asked.updates, self.now))
                return StateReply(
                    member.swim.full_state()
                    if isinstance(asked, StateRequest)
                    else member.swim.in_buckets(asked.buckets)
                )
            case DigestRequest():
                return DigestReply(member.swim.compare_digest(asked.digest))
            case EntriesRequest():
                return member.replica.answer(asked, self.now)
        return ObservationsReply(False, [])

    # Exchanges with real nodes

    def _ask(
        self,
        member: Member,
        place: str,
        request: Any,
        kind: type[T],
        take: Callable[[T], None],
        failed: Callable[[], None] = lambda: None,
    ) -> None:
        def open_frame(frame: bytes) -> bytes:
            take(member.seal.open(frame, kind, MAX_STATE_BYTES)[1])
            return b""

        data = member.seal.seal(request)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.bind((member.place.split(":")[0], 0))
        sock.connect_ex(address_of(place, "place"))
        one = Exchange(
            sock, time.monotonic() + EXCHANGE_S, len(data).to_bytes(4) + data, take=open_frame, failed=failed
        )
        self.exchanges.add(one)
        self.selector.register(sock, selectors.EVENT_WRITE, ("exchange", one))

    def _accept(self, listener: Any, member: Member) -> None:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setblocking(False)

        def take(frame: bytes) -> bytes:
            asked = member.seal.open(frame, REQUESTS, MAX_STATE_BYTES)[1]
            self.counts[f"asked_{type(asked).__name__}"] += 1
            if self._apart(member, asked.sender):
                return b""
            data = member.seal.seal(self._answer(member, asked))
            self._wake(member)
            return len(data).to_bytes(4) + data

        one = Exchange(sock, time.monotonic() + EXCHANGE_S, take=take)
        self.exchanges.add(one)
        self.selector.register(sock, selectors.EVENT_READ, ("exchange", one))

    def _go_on(self, one: Exchange) -> None:
        """Send and read what can be of an exchange."""
        try:
            if one.out:
                one.out = one.out[one.sock.send(one.out) :]
                if one.out:
                    return
                if one.take is None:
                    self._end(one)
                else:
                    self.selector.modify(one.sock, selectors.EVENT_READ, ("exchange", one))
                return
            data = one.sock.recv(1 << 18)
            one.came += data
            if len(one.came) >= 4 and len(one.came) >= 4 + int.from_bytes(one.came[:4]):
                assert one.take is not None
                take, one.take = one.take, None
                one.out = take(bytes(one.came[4:]))
                if one.out:
                    self.selector.modify(one.sock, selectors.EVENT_WRITE, ("exchange", one))
                else:
                    self._end(one)
            elif not data:
                self._end(one)
                one.failed()
        except BlockingIOError:
            return
        except (OSError, RejectedMessageError) as error:
            self.counts["exchanges_failed"] += 1
            self.counts[f"exchange_{type(error).__name__}"] += 1
            self._end(one)
            one.failed()

    def _end(self, one: Exchange) -> None:
        if one in self.exchanges:
            self.exchanges.discard(one)
            self.selector.unregister(one.sock)
            one.sock.close()

    # Changes of its own

    def change(self, name: str) -> tuple[str, int]:
        """Have the member that writes a name change it; return the stream and the change's number."""
        first = next(iter(self.members.values()))
        stream = partition_of(name, first.replica.control)
        writer = next(member for member in self.members.values() if member.swim.own.name == stream)
        made = writer.replica.accept(stream, stream, LogEntry(0, name, 0, "rig", "active", b"{}"))
        return stream, made.index

    def lacking(self, stream: str, number: int) -> int:
        """Return how many members do not have a change."""
        return sum(member.replica.states[stream].index < number for member in self.members.values())

    # What the rig wants to know

    def status(self, wanted: dict[str, Any] | None = None) -> dict[str, Any]:
        """Return counts, the time that was lost, and how many have just the rows that are wanted."""
        told = {
            "members": len(self.members),
            "processor_s": round(time.process_time(), 2),
            "clock_s": round(self.now, 3),
            "lost_s": round(self.lost_s, 3),
            "stalls": sum(member.swim.stalls for member in self.members.values()),
            "live_least": min(member.swim.table.fleet_size() for member in self.members.values()),
            "live_most": max(member.swim.table.fleet_size() for member in self.members.values()),
            **self.counts,
        }
        if wanted is not None:
            told["right"] = sum(self._shows(member, wanted) for member in self.members.values())
        return told

    @staticmethod
    def _shows(member: Member, wanted: dict[str, Any]) -> bool:
        """Tell whether a member has these rows, `max_open` and state by name, and no others."""
        found = {
            name: [json.loads(entry.tenant)["max_open"], entry.state]
            for name, entry in member.rows.live_entries().items()
        }
        return found == wanted


def _copies(updates: list[Update]) -> list[Update]:
    """Return others that say the same, as if they had crossed a wire."""
    return list(map(copy, updates))


def serve(hollow: Hollow) -> None:
    """Carry out commands that come as lines of JSON, one answer a line, until the input ends."""
    came = bytearray()

    def read() -> None:
        data = os.read(0, 1 << 16)
        if not data:
            hollow.stop = True
        came.extend(data)
        while b"\n" in came:
            line, _, rest = bytes(came).partition(b"\n")
            came[:] = rest
            told = json.loads(line)
            if "join" in told:
                hollow.join(told["join"])
            hollow.cut = frozenset(told.get("cut", hollow.cut))
            print(json.dumps(hollow.status(told.get("rows"))), flush=True)

    hollow.selector.register(0, selectors.EVENT_READ, ("commands", read))
    print(json.dumps({"members": len(hollow.members)}), flush=True)
    hollow.run(float("inf"))


def main(argv: list[str] | None = None) -> int:
    """Play hollow members, by themselves for a time or at a rig's command."""
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.hollow", description="On loopback only.")
    parser.add_argument("--members", type=int, default=1000)
    parser.add_argument("--seconds", type=float, help="by themselves; else commands are read")
    parser.add_argument("--sealed", action="store_true", help="seal what goes between two of them too")
    parser.add_argument("--control", nargs="+", default=["n1", "n2", "n3"])
    parser.add_argument("--secret", type=Path, help="file with the secret of the fleet")
    parser.add_argument("--changes", type=float, default=0.0, help="a second, by members of their own")
    parser.add_argument("--part", type=int, default=0, help="which of the parts this process holds")
    parser.add_argument("--parts", type=int, default=1, help="processes that share the members")
    parser.add_argument("--port", type=int, default=0, help="of all members; 0: a free one, for one part")
    parser.add_argument("--life", type=int, default=0, help="incarnation of all; 0: now, for one part")
    given = parser.parse_args(argv)
    secret = given.secret.read_bytes().strip() if given.secret else b"a secret of hollow members"
    hollow = Hollow(
        given.members,
        given.control,
        secret,
        sealed=given.sealed,
        part=given.part,
        parts=given.parts,
        port=given.port,
        life=given.life,
    )
    if given.seconds is None:
        serve(hollow)
        return 0
    hollow.run(time.monotonic() + 2.0)
    began_s, processor_s, now, lost_s = time.monotonic(), time.process_time(), hollow.now, hollow.lost_s
    took = _changed(hollow, given.changes, began_s + given.seconds) if given.changes else []
    hollow.run(began_s + given.seconds)
    took_s = time.monotonic() - began_s
    told = hollow.status() | {
        "of_a_core": round((time.process_time() - processor_s) / took_s, 3),
        "of_real_time": round((hollow.now - now) / (hollow.now - now + hollow.lost_s - lost_s), 3),
    }
    if took:
        told["in_force"] = {
            "count": len(took),
            "median_s": round(took[len(took) // 2], 3),
            "p99_s": round(took[int(len(took) * 0.99)], 3),
            "most_s": round(took[-1], 3),
        }
    print(json.dumps(told, indent=1))
    return 0


def _changed(hollow: Hollow, rate: float, until_s: float) -> list[float]:
    """Make so many changes a second until a time; return how long each took to be everywhere."""
    random, due_s, count = Random(2), hollow.now, 0
    waiting: list[tuple[str, int, float]] = []
    took: list[float] = []
    while time.monotonic() < until_s or (waiting and time.monotonic() < until_s + SYNC_S[1]):
        if hollow.now >= due_s and time.monotonic() < until_s:
            waiting.append((*hollow.change(f"t{count}"), hollow.now))
            due_s, count = due_s + random.expovariate(rate), count + 1
        hollow.run(time.monotonic() + LOOK_S)
        there = [one for one in waiting if not hollow.lacking(*one[:2])]
        took += [hollow.now - began_s for _, _, began_s in there]
        waiting = [one for one in waiting if one not in there]
    took += [float("inf") for _ in waiting]
    return sorted(took)


if __name__ == "__main__":
    sys.exit(main())
