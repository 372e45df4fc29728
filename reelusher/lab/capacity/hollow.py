"""Many simulated members in one process and one thread: the real `Swim` and `Replica`, and no more of a node.

They join a fleet of real processes, which then have to handle a member table of that size. Messages to and
from real nodes are sealed and cross sockets. Messages between two simulated members are passed in memory,
unless `sealed` is set: then their datagrams cross sockets too. If one process can't keep up with all members,
several processes hold a shard of them each, and messages between two shards cross sockets as well.

    python -m reelusher.lab.capacity.hollow --members 1000 --seconds 20

runs the members alone and prints how far a process keeps up with them.
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
EXCHANGE_TIMEOUT_S = 2.0
SYNC_INTERVAL_S = 15.0, 30.0  # between state syncs with a random member, as in a node
MEMORY_DELAY_S = 0.001  # delay of a datagram that is passed in memory
MAX_CLOCK_STEP_S = 0.02  # by which the members' clock advances at most in a pass of the loop
CHECK_INTERVAL_S = 0.05  # between checks whether a change has reached all members
MAX_READS_PER_TURN = 4  # datagrams read from one socket before the next socket gets its turn
MEMBER_REQUESTS = StateRequest | DigestRequest | BucketsRequest | ObservationsRequest | EntriesRequest
SECOND_OCTET = 100  # second octet of the addresses: the first is 127.100.0.1


@dataclass(slots=True, eq=False)
class Exchange:
    """A request and its reply over TCP, between a simulated member and one outside this process."""

    sock: socket.socket
    deadline_s: float
    unsent: bytes = b""
    received: bytearray = field(default_factory=bytearray)
    on_frame: Callable[[bytes], bytes] | None = None  # gets the received frame, returns the frame to send
    on_failure: Callable[[], None] = lambda: None


class SimulatedMember:
    """One simulated member."""

    def __init__(self, own: Update, control: list[str], secret: bytes, fleet: str, random: Random) -> None:
        self.swim, self.rows, self.zone = Swim(own, random, 0.0), MemoryReplicaStore(), own.zone
        self.address = own.address
        self.replica = Replica(own.address, control, self.rows, random, own.zone)
        self.authenticator = MessageAuthenticator(secret, fleet, own.address, own.incarnation)
        self.swim.gossip.vector, self.swim.on_vector = self.replica.announce, self._on_vector
        self.sock: socket.socket | None = None
        self.due_s = 0.0  # time of its valid entry in the heap
        self.sync_due_s = random.uniform(0.0, SYNC_INTERVAL_S[1])
        self.exchanging = False

    def _on_vector(self, sender: str, vector: list[int], now: float) -> None:
        self.replica.pulls.observe(sender, self.zone_of(sender), vector, now)

    def zone_of(self, address: str) -> str:
        """Return the zone of another member, or "" for an unknown one."""
        member = self.swim.table.members.get(address)
        return member.update.zone if member else ""

    def next_due_s(self) -> float:
        """Return the time of its next tick, pull or state sync."""
        return min(self.swim.next_tick_s(), self.replica.pulls.next_due_s(), self.sync_due_s)


def loopback_hosts(count: int) -> list[str]:
    """Return the loopback hosts of `count` simulated members."""
    return [f"127.{SECOND_OCTET}.{number // 250}.{number % 250 + 1}" for number in range(count)]


class SimulatedMembers:
    """All simulated members of a process.

    Their clock advances by at most `MAX_CLOCK_STEP_S` in a pass of the loop. If this process does not keep up
    or does not get a processor, all of its members slow down together, and none suspects another.
    `held_back_s` is the time by which their clock has fallen behind.
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
        shard: int = 0,
        shard_count: int = 1,
        port: int = 0,
        incarnation: int = 0,
    ) -> None:
        """Create the members of a shard: each `shard_count`-th of `count`, beginning with number `shard`.

        All shards of a fleet need the same `port` and `incarnation`.
        """
        self.random, self.sealed = Random(f"{seed} {shard}"), sealed
        self.selector = selectors.DefaultSelector()
        self.members: dict[str, SimulatedMember] = {}
        self.counts: Counter[str] = Counter()
        self.heap: list[tuple[float, int, SimulatedMember]] = []
        # datagrams between two simulated members: due time, target's address and message
        self.in_transit: deque[tuple[float, str, Datagram]] = deque()
        self.exchanges: set[Exchange] = set()
        self.cut_zones: frozenset[str] = frozenset()  # zones that are cut off from the others
        self.now = self.held_back_s = 0.0
        self.last_pass_s = time.monotonic()
        self.stop = False
        self._order = 0
        hosts = loopback_hosts(count)
        port, incarnation = port or free_port(hosts), incarnation or int(time.time() * 1000)
        own_updates = [
            Update(
                f"{host}:{port}",
                f"h{number + 1}",
                zones[number % len(zones)],
                "",
                incarnation,
                MemberState.ALIVE,
            )
            for number, host in enumerate(hosts)
        ]
        all_members = MemberTable(Random(seed))
        for own in own_updates:
            all_members.apply(own, 0.0)
        for number, own in enumerate(own_updates):
            if number % shard_count != shard:
                continue
            member = SimulatedMember(own, control, secret, fleet, Random(f"{seed} {number}"))
            # all members know each other from the start
            member.swim.table.copy_from(all_members, own.address)
            member.swim.gossip.broadcasts.clear()
            self.members[own.address] = member
            self._listen(member, (hosts[number], port))
            self._schedule(member)

    def _listen(self, member: SimulatedMember, address: Address) -> None:
        member.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        member.sock.bind(address)
        member.sock.setblocking(False)
        listener = socket.create_server(address)
        listener.setblocking(False)
        self.selector.register(member.sock, selectors.EVENT_READ, ("datagrams", member))
        self.selector.register(listener, selectors.EVENT_READ, ("listener", member))

    # Joining

    def join(self, addresses: list[str]) -> None:
        """Exchange full states with each of these real nodes, and give the result to all members.

        A different member contacts each node; nodes beyond the number of members are left out. Raises OSError
        if a node can't be reached or closes the connection, and `RejectedMessageError` for an invalid reply.
        """
        joiners = list(self.members.values())[: len(addresses)]
        own_updates = [member.swim.own for member in self.members.values()]
        updates_by_address: dict[str, Update] = {}
        for address, member in zip(addresses, joiners, strict=False):
            data = member.authenticator.seal(StateRequest(member.address, own_updates))
            source = member.address.split(":")[0], 0
            with socket.create_connection(address_of(address, "place"), 10.0, source) as sock:
                sock.sendall(len(data).to_bytes(4) + data)
                received = bytearray()
                while len(received) < 4 or len(received) < 4 + int.from_bytes(received[:4]):
                    data = sock.recv(1 << 16)
                    if not data:
                        raise OSError(f"{address} closed within an exchange")
                    received += data
            _, reply = member.authenticator.open(bytes(received[4:]), StateReply, MAX_STATE_BYTES)
            updates_by_address |= {update.address: update for update in reply.updates}
        for member in self.members.values():
            for update in updates_by_address.values():
                if update.address != member.address:
                    member.swim.table.apply(update, self.now)
        self.last_pass_s = time.monotonic()

    # The loop

    def run(self, until_s: float) -> None:
        """Run the loop until a time of the monotonic clock, or until `stop` is set."""
        self.last_pass_s = time.monotonic()
        while not self.stop and self.last_pass_s < until_s:
            self._run_due()
            wait_s = self.heap[0][0] - self.now
            if self.in_transit:
                wait_s = min(wait_s, self.in_transit[0][0] - self.now)
            for key, _ in self.selector.select(max(0.0, min(wait_s, MAX_CLOCK_STEP_S / 2))):
                kind, target = key.data
                match kind:
                    case "datagrams":
                        self._read_datagrams(target)
                    case "listener":
                        self._accept(key.fileobj, target)
                    case "exchange":
                        self._advance_exchange(target)
                    case _:
                        target()
            previous_s, self.last_pass_s = self.last_pass_s, time.monotonic()
            step_s = min(self.last_pass_s - previous_s, MAX_CLOCK_STEP_S)
            self.now += step_s
            self.held_back_s += self.last_pass_s - previous_s - step_s

    def _run_due(self) -> None:
        now = self.now
        while self.in_transit and self.in_transit[0][0] <= now:
            _, address, message = self.in_transit.popleft()
            member = self.members[address]
            self._apply_result(member, member.swim.receive(message, now))
            self._schedule(member)
        while self.heap and self.heap[0][0] <= now:
            due_s, _, member = heapq.heappop(self.heap)
            if due_s != member.due_s:
                continue  # the member has been rescheduled since
            member.due_s = 0.0
            self._apply_result(member, member.swim.tick(now))
            if now >= member.sync_due_s:
                member.sync_due_s = now + self.random.uniform(*SYNC_INTERVAL_S)
                for address in member.swim.table.sample(1):
                    self._compare_states(member, address)
            if (pull := member.replica.pulls.next_pull(now)) is not None:
                self._pull(member, pull)
            self._schedule(member)
        for exchange in [exchange for exchange in self.exchanges if exchange.deadline_s < self.last_pass_s]:
            self._close_exchange(exchange)
            exchange.on_failure()

    def _schedule(self, member: SimulatedMember) -> None:
        due_s = member.next_due_s()
        if due_s != member.due_s:
            member.due_s = due_s
            self._order += 1
            heapq.heappush(self.heap, (due_s, self._order, member))

    def _is_cut(self, member: SimulatedMember, address: str) -> bool:
        """Return whether a cut separates a member from the member at an address."""
        return bool(self.cut_zones) and (member.zone in self.cut_zones) != (
            member.zone_of(address) in self.cut_zones
        )

    # Datagrams

    def _apply_result(self, member: SimulatedMember, result: StepResult) -> None:
        for address, message in result.datagrams:
            if self._is_cut(member, address):
                continue
            if address in self.members and not self.sealed:
                self.counts["handed_over"] += 1
                message = replace(message, updates=_copied(message.updates))
                self.in_transit.append((self.now + MEMORY_DELAY_S, address, message))
                continue
            self.counts["sent"] += 1
            assert member.sock is not None
            with contextlib.suppress(OSError, ConfigError):
                member.sock.sendto(member.authenticator.seal(message), address_of(address, "place"))
        if member.swim.sync_with:
            partner = member.swim.sync_with.pop()
            member.swim.sync_with.clear()
            self._compare_states(member, partner)

    def _read_datagrams(self, member: SimulatedMember) -> None:
        assert member.sock is not None
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, _ = member.sock.recvfrom(1 << 16)
            except OSError:
                break
            self.counts["received"] += 1
            try:
                _, message = member.authenticator.open(data, Datagram, MAX_DATAGRAM_BYTES)
            except RejectedMessageError as error:
                self.counts[f"refused_{error}"] += 1
                continue
            if not self._is_cut(member, message.sender):
                self._apply_result(member, member.swim.receive(message, self.now))
        self._schedule(member)

    # Full states and entries

    def _compare_states(self, member: SimulatedMember, address: str) -> None:
        """Synchronise states with a member, as a node does: digests first, then the differing buckets."""
        if self._is_cut(member, address):
            return
        self.counts["compared"] += 1
        request, other = DigestRequest(member.address, member.swim.digest()), self.members.get(address)
        if other is not None:
            digests = other.swim.compare_digest(request.digest)
            if digests and (buckets := member.swim.differing_buckets(digests)):
                buckets_request = BucketsRequest(
                    member.address, buckets, _copied(member.swim.in_buckets(buckets))
                )
                self._merge(member, self._reply_to(other, buckets_request))
                self._schedule(other)
            return

        def on_digests(reply: DigestReply) -> None:
            buckets = (
                member.swim.differing_buckets(reply.digests) if len(reply.digests) == BUCKET_COUNT else []
            )
            if buckets:
                buckets_request = BucketsRequest(member.address, buckets, member.swim.in_buckets(buckets))
                self._send_request(member, address, buckets_request, StateReply, partial(self._merge, member))

        self._send_request(member, address, request, DigestReply, on_digests)

    def _merge(self, member: SimulatedMember, reply: StateReply) -> None:
        self._apply_result(member, member.swim.merge(_copied(reply.updates), self.now))
        self._schedule(member)

    def _pull(self, member: SimulatedMember, pull: Pull) -> None:
        self.counts["pulls"] += 1
        other = self.members.get(pull.address)
        if self._is_cut(member, pull.address):
            member.replica.pulls.failed(pull, self.now)
        elif other is not None:
            member.replica.apply_reply(pull, other.replica.answer(pull.request, self.now), self.now)
        else:

            def on_reply(reply: EntriesReply) -> None:
                member.replica.apply_reply(pull, reply, self.now)
                self._schedule(member)

            def on_failure() -> None:
                member.replica.pulls.failed(pull, self.now)
                self._schedule(member)

            self.counts["pulls_of_nodes"] += 1
            self._send_request(member, pull.address, pull.request, EntriesReply, on_reply, on_failure)

    def _reply_to(self, member: SimulatedMember, request: Any) -> Any:
        match request:
            case StateRequest() | BucketsRequest():
                self._apply_result(member, member.swim.merge(request.updates, self.now))
                return StateReply(
                    member.swim.full_state()
                    if isinstance(request, StateRequest)
                    else member.swim.in_buckets(request.buckets)
                )
            case DigestRequest():
                return DigestReply(member.swim.compare_digest(request.digest))
            case EntriesRequest():
                return member.replica.answer(request, self.now)
        return ObservationsReply(False, [])

    # Exchanges with real nodes

    def _send_request(
        self,
        member: SimulatedMember,
        address: str,
        request: Any,
        reply_type: type[T],
        on_reply: Callable[[T], None],
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        def open_frame(frame: bytes) -> bytes:
            on_reply(member.authenticator.open(frame, reply_type, MAX_STATE_BYTES)[1])
            return b""

        data = member.authenticator.seal(request)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.bind((member.address.split(":")[0], 0))
        sock.connect_ex(address_of(address, "place"))
        exchange = Exchange(
            sock,
            time.monotonic() + EXCHANGE_TIMEOUT_S,
            len(data).to_bytes(4) + data,
            on_frame=open_frame,
            on_failure=on_failure,
        )
        self.exchanges.add(exchange)
        self.selector.register(sock, selectors.EVENT_WRITE, ("exchange", exchange))

    def _accept(self, listener: Any, member: SimulatedMember) -> None:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setblocking(False)

        def on_frame(frame: bytes) -> bytes:
            request = member.authenticator.open(frame, MEMBER_REQUESTS, MAX_STATE_BYTES)[1]
            self.counts[f"asked_{type(request).__name__}"] += 1
            if self._is_cut(member, request.sender):
                return b""
            data = member.authenticator.seal(self._reply_to(member, request))
            self._schedule(member)
            return len(data).to_bytes(4) + data

        exchange = Exchange(sock, time.monotonic() + EXCHANGE_TIMEOUT_S, on_frame=on_frame)
        self.exchanges.add(exchange)
        self.selector.register(sock, selectors.EVENT_READ, ("exchange", exchange))

    def _advance_exchange(self, exchange: Exchange) -> None:
        """Send or receive once on the socket of an exchange, which is ready for it.

        A complete frame is passed to `on_frame`. The exchange is closed after its last frame or a failure.
        """
        try:
            if exchange.unsent:
                exchange.unsent = exchange.unsent[exchange.sock.send(exchange.unsent) :]
                if exchange.unsent:
                    return
                if exchange.on_frame is None:
                    self._close_exchange(exchange)
                else:
                    self.selector.modify(exchange.sock, selectors.EVENT_READ, ("exchange", exchange))
                return
            data = exchange.sock.recv(1 << 18)
            exchange.received += data
            if len(exchange.received) >= 4 and len(exchange.received) >= 4 + int.from_bytes(
                exchange.received[:4]
            ):
                assert exchange.on_frame is not None
                on_frame, exchange.on_frame = exchange.on_frame, None
                exchange.unsent = on_frame(bytes(exchange.received[4:]))
                if exchange.unsent:
                    self.selector.modify(exchange.sock, selectors.EVENT_WRITE, ("exchange", exchange))
                else:
                    self._close_exchange(exchange)
            elif not data:
                self._close_exchange(exchange)
                exchange.on_failure()
        except BlockingIOError:
            return
        except (OSError, RejectedMessageError) as error:
            self.counts["exchanges_failed"] += 1
            self.counts[f"exchange_{type(error).__name__}"] += 1
            self._close_exchange(exchange)
            exchange.on_failure()

    def _close_exchange(self, exchange: Exchange) -> None:
        if exchange in self.exchanges:
            self.exchanges.discard(exchange)
            self.selector.unregister(exchange.sock)
            exchange.sock.close()

    # Changes

    def change(self, name: str) -> tuple[str, int]:
        """Change a name at the leader of its partition; return the partition and the change's log index."""
        first = next(iter(self.members.values()))
        partition = partition_of(name, first.replica.control)
        leader = next(member for member in self.members.values() if member.swim.own.name == partition)
        entry = leader.replica.accept(partition, partition, LogEntry(0, name, 0, "rig", "active", b"{}"))
        return partition, entry.index

    def count_lacking(self, partition: str, log_index: int) -> int:
        """Return how many members lack a change."""
        return sum(member.replica.states[partition].index < log_index for member in self.members.values())

    # Status

    def status(self, wanted: dict[str, Any] | None = None) -> dict[str, Any]:
        """Return counters, clocks, and how many members have exactly the `wanted` rows."""
        status = {
            "members": len(self.members),
            "processor_s": round(time.process_time(), 2),
            "clock_s": round(self.now, 3),
            "lost_s": round(self.held_back_s, 3),
            "stalls": sum(member.swim.stalls for member in self.members.values()),
            "live_least": min(member.swim.table.fleet_size() for member in self.members.values()),
            "live_most": max(member.swim.table.fleet_size() for member in self.members.values()),
            **self.counts,
        }
        if wanted is not None:
            status["right"] = sum(self._has_rows(member, wanted) for member in self.members.values())
        return status

    @staticmethod
    def _has_rows(member: SimulatedMember, wanted: dict[str, Any]) -> bool:
        """Return whether a member has exactly these rows, given as `max_open` and state by name."""
        held_rows = {
            name: [json.loads(entry.tenant)["max_open"], entry.state]
            for name, entry in member.rows.live_entries().items()
        }
        return held_rows == wanted


def _copied(updates: list[Update]) -> list[Update]:
    """Return copies of updates, so that two members share none, as if the updates had crossed a network."""
    return list(map(copy, updates))


def serve(members: SimulatedMembers) -> None:
    """Execute commands from standard input, one JSON object a line, until it ends.

    Prints a JSON object with the number of members at first, and a status after each command.
    """
    received = bytearray()

    def read() -> None:
        data = os.read(0, 1 << 16)
        if not data:
            members.stop = True
        received.extend(data)
        while b"\n" in received:
            line, _, rest = bytes(received).partition(b"\n")
            received[:] = rest
            command = json.loads(line)
            if "join" in command:
                members.join(command["join"])
            members.cut_zones = frozenset(command.get("cut", members.cut_zones))
            print(json.dumps(members.status(command.get("rows"))), flush=True)

    members.selector.register(0, selectors.EVENT_READ, ("commands", read))
    print(json.dumps({"members": len(members.members)}), flush=True)
    members.run(float("inf"))


def main(argv: list[str] | None = None) -> int:
    """Run simulated members, alone for a time or by commands on standard input."""
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.hollow", description="On loopback only.")
    parser.add_argument("--members", type=int, default=1000)
    parser.add_argument("--seconds", type=float, help="run alone for this long; else commands are read")
    parser.add_argument("--sealed", action="store_true", help="seal datagrams between two of them too")
    parser.add_argument("--control", nargs="+", default=["n1", "n2", "n3"])
    parser.add_argument("--secret", type=Path, help="file with the secret of the fleet")
    parser.add_argument(
        "--changes", type=float, default=0.0, help="changes a second, made by simulated members"
    )
    parser.add_argument("--part", type=int, default=0, help="number of the part that this process holds")
    parser.add_argument("--parts", type=int, default=1, help="number of processes that share the members")
    parser.add_argument(
        "--port", type=int, default=0, help="port of all members; 0: a free one, for one part"
    )
    parser.add_argument(
        "--life", type=int, default=0, help="incarnation of all members; 0: now, for one part"
    )
    args = parser.parse_args(argv)
    secret = args.secret.read_bytes().strip() if args.secret else b"a secret of hollow members"
    members = SimulatedMembers(
        args.members,
        args.control,
        secret,
        sealed=args.sealed,
        shard=args.part,
        shard_count=args.parts,
        port=args.port,
        incarnation=args.life,
    )
    if args.seconds is None:
        serve(members)
        return 0
    members.run(time.monotonic() + 2.0)
    began_s, processor_before_s, clock_before_s, held_back_before_s = (
        time.monotonic(),
        time.process_time(),
        members.now,
        members.held_back_s,
    )
    delays_s = _make_changes(members, args.changes, began_s + args.seconds) if args.changes else []
    members.run(began_s + args.seconds)
    elapsed_s = time.monotonic() - began_s
    figures = members.status() | {
        "of_a_core": round((time.process_time() - processor_before_s) / elapsed_s, 3),
        "of_real_time": round(
            (members.now - clock_before_s)
            / (members.now - clock_before_s + members.held_back_s - held_back_before_s),
            3,
        ),
    }
    if delays_s:
        figures["in_force"] = {
            "count": len(delays_s),
            "median_s": round(delays_s[len(delays_s) // 2], 3),
            "p99_s": round(delays_s[int(len(delays_s) * 0.99)], 3),
            "most_s": round(delays_s[-1], 3),
        }
    print(json.dumps(figures, indent=1))
    return 0


def _make_changes(members: SimulatedMembers, rate: float, until_s: float) -> list[float]:
    """Make `rate` changes a second until a time; return the sorted delays until each had reached all members.

    Delays are in seconds of the members' clock. A change that has not reached all members one maximum sync
    interval after `until_s` counts as infinity.
    """
    random, due_s, count = Random(2), members.now, 0
    pending: list[tuple[str, int, float]] = []
    delays_s: list[float] = []
    while time.monotonic() < until_s or (pending and time.monotonic() < until_s + SYNC_INTERVAL_S[1]):
        if members.now >= due_s and time.monotonic() < until_s:
            pending.append((*members.change(f"t{count}"), members.now))
            due_s, count = due_s + random.expovariate(rate), count + 1
        members.run(time.monotonic() + CHECK_INTERVAL_S)
        complete = [change for change in pending if not members.count_lacking(*change[:2])]
        delays_s += [members.now - began_s for _, _, began_s in complete]
        pending = [change for change in pending if change not in complete]
    delays_s += [float("inf") for _ in pending]
    return sorted(delays_s)


if __name__ == "__main__":
    sys.exit(main())
