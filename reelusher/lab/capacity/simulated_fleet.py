"""A fleet of simulated nodes on a virtual clock: the real `Swim` and `Replica`, without sockets.

The fleet spans 17 zones in 7 regions. Datagrams get lost, nodes restart, and tenants change.
"""

from array import array
from collections.abc import Callable, Iterable
from itertools import count
from random import Random
from time import perf_counter
from typing import TYPE_CHECKING, Any, NamedTuple

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
from reelusher.lab.capacity.simulated_network import (
    DELAY_JITTER,
    HANDSHAKE_PACKETS,
    LOSS,
    REGION_DELAY_RANGE_S,
    RETRANSMISSION_S,
    TCP_HEADER_BYTES,
    TCP_SEGMENT_BYTES,
    ZONES,
    one_way_delays,
    region_of,
)
from reelusher.lab.fleet.virtual import VirtualClock
from reelusher.pacing.token_bucket import TokenBucket

if TYPE_CHECKING:
    from reelusher.lab.capacity.fleet_figures import Meter

CONTROL = tuple(f"control-{number}" for number in range(1, 7))
FIRST_INCARNATION_MS = 1_764_650_000_000  # incarnations are start times in Unix milliseconds
# between two restarts anywhere in the fleet, rounded: 7,600 restarts and 280 failures a day make 7,880
RESTART_INTERVAL_S = 11.0
DOWN_RANGE_S = 2.0, 6.0  # shortest and longest time for which a restarted node is down
CHANGES_PER_S = 12_000 / 86_400  # 12,000 a day
TENANT_JSON = b'{"name":"%s","backend":"w-1","hosts":["%s.example"],"prefix":"/","class":"shop"}' + b" " * 220
TENANT_COUNT = 400  # tenants that changes are made to
MAX_SHARED_UPDATES = 200_000  # updates from other shards to keep, so that nodes share one object of each
CutPredicate = Callable[[int, int], bool]  # whether the nodes with these two indexes can't reach each other
# due time, name of a method of the receiving shard, its arguments
ShardCall = tuple[float, str, tuple[Any, ...]]


class Node:
    """One simulated node, and counts of what it sent and received."""

    __slots__ = (
        "address",
        "due_s",
        "exchange_bytes",
        "exchanges",
        "index",
        "name",
        "position",
        "pull_due_s",
        "received_bytes",
        "replica",
        "rows",
        "sent",
        "sent_bytes",
        "state_replies",
        "swim",
        "sync_due_s",
        "syncing",
        "unanswered_requests",
        "up",
        "zone",
    )

    def __init__(self, index: int, name: str) -> None:
        self.index, self.name, self.zone = index, name, index % ZONES
        self.address = f"10.{index // 250}.{index % 250 + 1}.9:7946"
        self.up = True
        self.rows = MemoryReplicaStore()
        self.swim: Swim
        self.replica: Replica
        self.due_s = self.pull_due_s = self.sync_due_s = float("inf")
        self.syncing = False
        self.unanswered_requests = 0  # requests that were received and not answered yet
        self.state_replies: TokenBucket
        self.sent = self.sent_bytes = self.received_bytes = self.exchanges = self.exchange_bytes = 0
        self.position: list[int] = []


class Change(NamedTuple):
    """One accepted change of a tenant: its time, its partition and its index in the partition's log."""

    at_s: float
    partition_index: int
    log_index: int


class Fleet:
    """Simulated nodes that know each other from the start, and the network between them.

    An object holds all of them, or the nodes of one shard of a `parts.ShardedFleet`.
    """

    def __init__(
        self,
        size: int,
        seed: int = 1,
        loss: float = LOSS,
        replicate: bool = True,
        shard: int = 0,
        shard_count: int = 1,
    ) -> None:
        """Create the fleet, and run the nodes of a shard: region number modulo `shard_count` equals `shard`.

        `loss` is the fraction of datagrams lost; without `replicate` the nodes have no replicas.
        """
        self.clock, self.loss = VirtualClock(), loss
        self.random = Random(f"{seed} {shard}") if shard_count > 1 else Random(seed)
        self.seed, self.shard, self.shard_count = seed, shard, shard_count
        self.replicate = replicate
        self.one_way_s = one_way_delays()
        self.cut: CutPredicate = lambda one, other: False
        self.nodes = [
            Node(number, CONTROL[number] if number < len(CONTROL) else f"node-{number:04}")
            for number in range(size)
        ]
        self.nodes_by_address = {node.address: node for node in self.nodes}
        self.local_nodes = [node for node in self.nodes if self.shard_of(node) == shard]
        self.outboxes: list[list[ShardCall]] = [[] for _ in range(shard_count)]  # calls for the other shards
        # by request number: the requesting node, its `Swim` at that time and the callback for the reply
        self._pending_requests: dict[int, tuple[Node, Swim, Callable[[Any], None]]] = {}
        self._request_numbers = count()
        self._shared_updates: dict[Update, Update] = {}  # updates that came from other shards
        self._datagram_decoder = msgspec.msgpack.Decoder(Datagram)
        self.meter: Meter | None = None
        self.steady = set(range(size))  # indexes of nodes that are neither restarted nor cut off on purpose
        self.changes: list[Change] = []
        # times at which changes arrived at steady nodes, by partition and log index
        self.arrivals: dict[tuple[int, int], array[float]] = {}
        self.run_wall_s = self.swim_s = self.replica_s = 0.0
        self.false_deaths = self.failed_pulls = self.rejected_connections = 0.0
        self.reply_faults: dict[str, int] = {}
        self._encoder = msgspec.msgpack.Encoder()
        authenticator = MessageAuthenticator(
            b"a secret of sixteen", "reelusher", self.nodes[-1].address, FIRST_INCARNATION_MS
        )
        authenticator._number = 1 << 20
        ping = Datagram(0, "x")  # type: ignore[arg-type]
        # bytes that sealing adds to an encoded message
        self._envelope = len(authenticator.seal(ping)) - len(self._encoder.encode(ping))
        all_members = MemberTable(Random(seed))
        for node in self.nodes:
            all_members.apply(self._own_update(node, FIRST_INCARNATION_MS), 0.0)
        for node in self.local_nodes:
            self._reset_protocols(node, FIRST_INCARNATION_MS)
            node.swim.table.copy_from(all_members, node.address)
            node.swim.gossip.broadcasts.clear()
            node.sync_due_s = self.random.uniform(0.0, SYNC_INTERVAL_S[1])
            self._schedule_tick(node)
            self._schedule_sync(node)
            self.clock.call_later(self.random.uniform(0.0, EXPIRY_INTERVAL_S), self._drop_expired, node)

    # Shards

    def shard_of(self, node: Node) -> int:
        """Return the number of the shard that holds a node."""
        return region_of(node.zone) % self.shard_count

    def _call_shard_of(self, node: Node, delay_s: float, method_name: str, *args: Any) -> None:
        """Call a method, by its name, on the shard that holds a node, after a delay.

        For a node of another shard the delay is at least that between two regions.
        """
        shard = self.shard_of(node)
        if shard == self.shard:
            self.clock.call_later(delay_s, getattr(self, method_name), *args)
        else:
            self.outboxes[shard].append((self.clock.now + delay_s, method_name, args))

    def receive_calls(self, calls: Iterable[ShardCall]) -> None:
        """Schedule the calls that other shards have posted."""
        for at_s, method_name, args in calls:
            self.clock.call_later(at_s - self.clock.now, getattr(self, method_name), *args)

    def take_outboxes(self) -> list[list[ShardCall]]:
        """Return and clear the calls for the other shards, one list for each shard."""
        calls, self.outboxes = self.outboxes, [[] for _ in range(self.shard_count)]
        return calls

    def _announce_up(self, node: Node) -> None:
        """Announce to all other shards whether a node runs: they count false deaths and live nodes."""
        for outbox in self.outboxes:
            outbox.append((self.clock.now + REGION_DELAY_RANGE_S[0], "note_up", (node.index, node.up)))
        self.outboxes[self.shard].clear()

    def note_up(self, index: int, up: bool) -> None:
        """Record whether a node of another shard runs."""
        self.nodes[index].up = up

    # Nodes

    def _own_update(self, node: Node, incarnation: int) -> Update:
        return Update(
            node.address,
            node.name,
            f"zone-{node.zone:02}",
            f"region-{region_of(node.zone)}",
            incarnation,
            MemberState.ALIVE,
        )

    def _reset_protocols(self, node: Node, incarnation: int) -> None:
        now, random = self.clock.now, Random(self.random.random())
        node.swim = Swim(self._own_update(node, incarnation), random, now)
        node.state_replies = TokenBucket(STATE_REPLIES_PER_S, STATE_REPLY_BURST, now)
        node.due_s = node.pull_due_s = float("inf")
        node.syncing, node.unanswered_requests = False, 0
        if self.replicate:
            node.replica = Replica(node.address, CONTROL, node.rows, random, str(node.zone), now)
            node.position = node.replica.announce()
            node.swim.gossip.vector = node.replica.announce
            node.swim.on_vector = lambda sender, vector, at: self._on_vector(node, sender, vector, at)

    def _on_vector(self, node: Node, sender: str, vector: list[int], now: float) -> None:
        if vector != node.position or node.replica.pulls.due_s != node.pull_due_s:
            began_wall_s = perf_counter()
            node.replica.pulls.observe(sender, str(self.nodes_by_address[sender].zone), vector, now)
            took_s = perf_counter() - began_wall_s
            self.replica_s += took_s
            self.swim_s -= took_s  # `on_vector` is called within the calls that `swim_s` measures
            self._schedule_pull(node)

    def _drop_expired(self, node: Node) -> None:
        if node.up:
            node.swim.table.drop_expired(self.clock.now)
        self.clock.call_later(EXPIRY_INTERVAL_S, self._drop_expired, node)

    def _schedule_tick(self, node: Node) -> None:
        now = self.clock.now
        due_s = max(now, node.swim.next_tick_s())
        if now < node.due_s <= due_s or not node.up:
            return  # a tick at this time or earlier is scheduled already, or the node is down
        node.due_s = due_s
        self.clock.call_later(due_s - now, self._tick, node, due_s, node.swim)

    def _tick(self, node: Node, due_s: float, swim: Swim) -> None:
        if node.due_s == due_s and node.up and swim is node.swim:
            node.due_s = float("inf")
            began_wall_s = perf_counter()
            result = swim.tick(self.clock.now)
            self.swim_s += perf_counter() - began_wall_s
            self._apply_result(node, result)
            self._schedule_tick(node)

    def _apply_result(self, node: Node, result: StepResult) -> None:
        random = self.random
        for change in result.changes:
            if change.update.state is MemberState.DEAD:
                other = self.nodes_by_address[change.update.address]
                self.false_deaths += other.up and not self.cut(node.index, other.index)
        for address, message in result.datagrams:
            node.sent += 1
            data = self._encoder.encode(message)
            frame_bytes = len(data) + self._envelope
            node.sent_bytes += frame_bytes
            other = self.nodes_by_address[address]
            if other.up and random.random() >= self.loss and not self.cut(node.index, other.index):
                if self.shard_of(other) == self.shard:
                    self.clock.call_later(
                        self._delay_s(node, other), self._receive, other, message, frame_bytes
                    )
                else:
                    self._call_shard_of(other, self._delay_s(node, other), "receive_bytes", other.index, data)
        if node.swim.sync_with and not node.syncing:
            partner = node.swim.sync_with.pop()
            node.swim.sync_with.clear()
            node.syncing = True
            self._compare_states(node, self.nodes_by_address[partner])

    def _delay_s(self, source: Node, target: Node) -> float:
        return self.one_way_s[source.zone][target.zone] * (1 + DELAY_JITTER * self.random.random())

    def receive_bytes(self, index: int, data: bytes) -> None:
        """Receive an encoded datagram from another shard."""
        message = self._datagram_decoder.decode(data)
        message.updates[:] = self._deduplicated(message.updates)
        self._receive(self.nodes[index], message, len(data) + self._envelope)

    def _deduplicated(self, updates: Iterable[Update]) -> list[Update]:
        """Replace updates by equal ones received before, so that all nodes of this shard share one object."""
        if len(self._shared_updates) > MAX_SHARED_UPDATES:
            self._shared_updates.clear()
        return [self._shared_updates.setdefault(update, update) for update in updates]

    def _receive(self, node: Node, message: Datagram, frame_bytes: int) -> None:
        if not node.up:
            return
        node.received_bytes += frame_bytes
        began_wall_s = perf_counter()
        result = node.swim.receive(message, self.clock.now)
        self.swim_s += perf_counter() - began_wall_s
        self._apply_result(node, result)
        self._schedule_tick(node)

    # Exchanges over TCP

    def _transfer_s(self, source: Node, target: Node, frame_bytes: int = 0) -> float:
        resend_s = (
            RETRANSMISSION_S
            if self.random.random() < self.loss * (1 + frame_bytes // TCP_SEGMENT_BYTES / 10)
            else 0.0
        )
        return self._delay_s(source, target) + resend_s

    def _frame_bytes(self, body: Any) -> int:
        return len(self._encoder.encode(body)) + self._envelope + 4

    def _count_sent(self, node: Node, frame_bytes: int) -> None:
        """Count a frame at its sender: payload, packet headers and a quarter of the handshake."""
        node.exchange_bytes += (
            frame_bytes
            + TCP_HEADER_BYTES * (1 + frame_bytes // TCP_SEGMENT_BYTES)
            + TCP_HEADER_BYTES * HANDSHAKE_PACKETS // 4
        )

    def _count_received(self, node: Node, frame_bytes: int) -> None:
        """Count at a frame's receiver what it sends: acknowledgements and a quarter of the handshake."""
        node.exchange_bytes += (
            TCP_HEADER_BYTES * (1 + frame_bytes // TCP_SEGMENT_BYTES // 2)
            + TCP_HEADER_BYTES * HANDSHAKE_PACKETS // 4
        )

    def _send_request(self, node: Node, other: Node, request: Any, callback: Callable[[Any], None]) -> None:
        """Send a request from a node to another; `callback` gets the reply, or None without one."""
        node.exchanges += 1
        frame_bytes, number = self._frame_bytes(request), next(self._request_numbers)
        self._count_sent(node, frame_bytes)
        self._pending_requests[number] = node, node.swim, callback
        self._call_shard_of(
            other,
            self._transfer_s(node, other),
            "on_request",
            node.index,
            other.index,
            number,
            request,
            frame_bytes,
        )

    def on_request(self, requester: int, index: int, number: int, request: Any, frame_bytes: int) -> None:
        """Handle a connection that brings a request from the node `requester` to the node `index`."""
        node, other = self.nodes[requester], self.nodes[index]
        if not other.up or self.cut(requester, index):
            self._call_shard_of(node, REQUEST_TIMEOUT_S, "on_reply", requester, number, None, 0)
            return
        if other.unanswered_requests >= MAX_CONNECTIONS:
            self.rejected_connections += 1
            self._call_shard_of(node, self._delay_s(other, node), "on_reply", requester, number, None, 0)
            return
        other.unanswered_requests += 1
        self.clock.call_later(
            self._transfer_s(node, other, frame_bytes) + self._delay_s(other, node),
            self._send_reply,
            node,
            other,
            number,
            request,
            frame_bytes,
        )

    def _send_reply(self, node: Node, other: Node, number: int, request: Any, frame_bytes: int) -> None:
        """Reply to a request that was read from an established connection."""
        other.unanswered_requests = max(0, other.unanswered_requests - 1)
        self._count_received(other, frame_bytes)
        if not other.up:
            self._call_shard_of(node, self._delay_s(other, node), "on_reply", node.index, number, None, 0)
            return
        reply = self._reply_to(other, request)
        reply_bytes = self._frame_bytes(reply)
        self._count_sent(other, reply_bytes)
        self._call_shard_of(
            node,
            self._transfer_s(other, node, reply_bytes),
            "on_reply",
            node.index,
            number,
            reply,
            reply_bytes,
        )

    def on_reply(self, index: int, number: int, reply: Any, frame_bytes: int) -> None:
        """Hand the reply to a request, or None without one, to the node that sent the request."""
        node, swim, callback = self._pending_requests.pop(number)
        if reply is not None:
            self._count_received(node, frame_bytes)
        if node.up and node.swim is swim:
            callback(reply)

    def _reply_to(self, node: Node, request: Any) -> Any:
        now = self.clock.now
        match request:
            case DigestRequest():
                return DigestReply(node.swim.compare_digest(request.digest))
            case BucketsRequest():
                self._merge_updates(node, request.updates)
                return StateReply(
                    node.swim.in_buckets(request.buckets)
                    if node.state_replies.try_take(now)
                    else [node.swim.own]
                )
            case StateRequest():
                self._merge_updates(node, request.updates)
                allowed = node.state_replies.try_take(now)
                return StateReply(node.swim.full_state()) if allowed else StateReply([], [node.address])
        began_wall_s = perf_counter()
        reply = node.replica.answer(request, now)
        self.replica_s += perf_counter() - began_wall_s
        return reply

    def _schedule_sync(self, node: Node) -> None:
        self.clock.call_later(node.sync_due_s - self.clock.now, self._sync, node, node.swim)

    def _sync(self, node: Node, swim: Swim) -> None:
        if not node.up or node.swim is not swim:
            return
        node.sync_due_s = self.clock.now + self.random.uniform(*SYNC_INTERVAL_S)
        self._schedule_sync(node)
        live = swim.table.live_count()
        unreachable_seeds = [
            seed
            for seed in self.nodes[: len(CONTROL)]
            if seed is not node
            and not (seed.address in swim.table.members and swim.table.members[seed.address].is_live)
        ]
        if unreachable_seeds and self.random.random() < 3 / (1 + live):
            self._compare_states(node, self.random.choice(unreachable_seeds))
        elif live:
            self._compare_states(node, self.nodes_by_address[swim.table.sample(1)[0]])

    def _merge_updates(self, node: Node, updates: Iterable[Update]) -> None:
        if self.shard_count > 1:
            updates = self._deduplicated(updates)
        began_wall_s = perf_counter()
        result = node.swim.merge(updates, self.clock.now)
        self.swim_s += perf_counter() - began_wall_s
        self._apply_result(node, result)
        self._schedule_tick(node)

    def _compare_states(self, node: Node, other: Node) -> None:
        """Synchronise membership state with another node: digests first, then the differing buckets."""
        request = DigestRequest(node.address, node.swim.digest())

        def clear_syncing() -> None:
            node.syncing = False

        def on_digests(reply: DigestReply | None) -> None:
            self.clock.call_later(self.random.uniform(*SYNC_PAUSE_S), clear_syncing)
            if reply is None or not reply.digests:
                return
            buckets = node.swim.differing_buckets(reply.digests)
            if buckets:
                self._send_request(
                    node,
                    other,
                    BucketsRequest(node.address, buckets, node.swim.in_buckets(buckets)),
                    on_states,
                )

        def on_states(reply: StateReply | None) -> None:
            if reply is not None:
                self._merge_updates(node, reply.updates)

        self._send_request(node, other, request, on_digests)

    # Replication

    def _schedule_pull(self, node: Node) -> None:
        due_s = node.replica.pulls.next_due_s()
        if due_s != node.pull_due_s and node.up:
            node.pull_due_s = due_s
            if due_s < float("inf"):
                self.clock.call_later(due_s - self.clock.now, self._pull, node, due_s, node.replica)

    def _pull(self, node: Node, due_s: float, replica: Replica) -> None:
        if not node.up or node.replica is not replica or node.pull_due_s != due_s:
            return
        node.pull_due_s = float("inf")
        began_wall_s = perf_counter()
        pull = replica.pulls.next_pull(self.clock.now)
        self.replica_s += perf_counter() - began_wall_s
        self._schedule_pull(node)
        if pull is not None:
            self._send_request(
                node,
                self.nodes_by_address[pull.address],
                pull.request,
                lambda reply: self._on_pull_reply(node, pull, reply),
            )

    def _on_pull_reply(self, node: Node, pull: Pull, reply: EntriesReply | None) -> None:
        began_wall_s = perf_counter()
        if reply is None:
            self.failed_pulls += 1
            node.replica.pulls.failed(pull, self.clock.now)
        else:
            result = node.replica.apply_reply(pull, reply, self.clock.now)
            for fault in result.faults:
                self.reply_faults[fault] = self.reply_faults.get(fault, 0) + 1
        self.replica_s += perf_counter() - began_wall_s
        self._record_arrivals(node)
        self._schedule_pull(node)

    def _record_arrivals(self, node: Node) -> None:
        """Record the arrival times of the changes that a node has received."""
        before, node.position = node.position, node.replica.announce()
        if before is node.position or node.index not in self.steady:
            return
        for partition_index in range(len(CONTROL)):
            for log_index in range(
                before[2 + 2 * partition_index] + 1, node.position[2 + 2 * partition_index] + 1
            ):
                self.arrivals.setdefault((partition_index, log_index), array("d")).append(self.clock.now)

    def change(self, tenant: int) -> bool:
        """Make a change at the leader of a tenant's partition; return False if none was made.

        That is so if the leader is down, belongs to another shard or may not write.
        """
        name = f"tenant-{tenant}"
        leader = partition_of(name, CONTROL)
        node = self.nodes[CONTROL.index(leader)]
        if not node.up or self.shard_of(node) != self.shard:
            return False
        now = self.clock.now
        body = TENANT_JSON.replace(b"%s", name.encode()) + str(len(self.changes)).encode()
        try:
            entry = node.replica.accept(
                leader, node.name, LogEntry(0, name, int(now * 1000), "ops", "active", body)
            )
        except NotLeaderError:
            return False
        partition_index = CONTROL.index(leader)
        self.changes.append(Change(now, partition_index, entry.index))
        self._record_arrivals(node)
        return True

    # Time and events

    def run(self, seconds: float) -> None:
        """Advance the virtual clock by a number of seconds."""
        self.run_to(self.clock.now + seconds)

    def run_to(self, until_s: float) -> None:
        """Advance the virtual clock to a time."""
        began_wall_s = perf_counter()
        self.clock.run(until_s)
        self.run_wall_s += perf_counter() - began_wall_s

    def until(self, condition: Callable[[], bool], timeout_s: float, step_s: float = 0.1) -> float:
        """Advance the clock until a condition holds; return the seconds that took, infinity on a timeout."""
        began_s = self.clock.now
        while not condition():
            if self.clock.now - began_s > timeout_s:
                return float("inf")
            self.run(step_s)
        return self.clock.now - began_s

    def kill(self, node: Node) -> None:
        """Crash a node; it sends the other members no leave message."""
        node.up = False
        self._announce_up(node)

    def restart(self, node: Node) -> None:
        """Have a node leave, and start it again after a while, with its rows and an empty member table."""
        if node.up:
            self._apply_result(node, node.swim.leave())
            node.up = False
            self._announce_up(node)
            self.clock.call_later(self.random.uniform(*DOWN_RANGE_S), self.start, node)

    def start(self, node: Node) -> None:
        """Start a node that was down, with a new incarnation, and have it join."""
        node.up = True
        self._announce_up(node)
        self._reset_protocols(node, FIRST_INCARNATION_MS + int(self.clock.now * 1000) + 1)
        self._join(node)

    def _join(self, node: Node) -> None:
        seed = self.random.choice([member for member in self.nodes[: len(CONTROL)] if member is not node])

        def on_state_reply(reply: StateReply | None) -> None:
            if reply is None or reply.alternatives:
                self.clock.call_later(self.random.uniform(0.2, 0.6), self._join, node)
                return
            began_wall_s = perf_counter()
            result = node.swim.join(reply.updates, self.clock.now)
            self.swim_s += perf_counter() - began_wall_s
            self._apply_result(node, result)
            node.sync_due_s = self.clock.now + self.random.uniform(0.0, SYNC_INTERVAL_S[1])
            self._schedule_tick(node)
            self._schedule_sync(node)

        self._send_request(node, seed, StateRequest(node.address, [node.swim.own]), on_state_reply)

    def schedule_changes(self, until_s: float, rate: float, max_count: int) -> None:
        """Schedule changes at random times until a time: `rate` a second, at most `max_count`.

        All shards draw the same times and tenants; each makes the changes that its own nodes lead.
        """
        random, at_s = Random(f"{self.seed} changes"), self.clock.now
        for _ in range(max_count):
            at_s += random.expovariate(rate)
            if at_s >= until_s:
                return
            self.clock.call_later(at_s - self.clock.now, self.change, random.randrange(TENANT_COUNT))

    def schedule_restarts(self, until_s: float, gap_s: float) -> None:
        """Schedule restarts until a time, at a random moment of each period of `gap_s` seconds.

        The restarted nodes are a random sample of at most a quarter of the nodes that are not control
        members, and are no longer steady. All shards draw the same nodes and times; each restarts its own.
        """
        random = Random(f"{self.seed} restarts")
        count = int((until_s - self.clock.now) / gap_s)
        candidates = range(len(CONTROL), len(self.nodes))
        pool = random.sample(candidates, min(count, len(candidates) // 4))
        self.steady -= set(pool)
        chosen = pool + random.choices(pool, k=count - len(pool)) if pool else []
        for number, index in enumerate(chosen):
            after_s = (number + random.random()) * gap_s
            if self.shard_of(self.nodes[index]) == self.shard:
                self.clock.call_later(after_s, self.restart, self.nodes[index])

    def isolate(self, group: set[int]) -> None:
        """Partition some nodes from all others; an empty set ends the partition."""
        self.cut = (
            (lambda one, other: (one in group) != (other in group)) if group else (lambda one, other: False)
        )

    # Results

    def memberships_agree(self) -> bool:
        """Return whether each live node of this shard considers exactly the live nodes live.

        Only checks the number of members that each considers live, and that these include the first three
        live nodes.
        """
        live = [node for node in self.nodes if node.up]
        local_live = [node for node in self.local_nodes if node.up]
        return all(1 + node.swim.table.live_count() == len(live) for node in local_live) and all(
            other.swim.table.members[node.address].is_live
            for node in live[:3]
            for other in local_live
            if other is not node
        )

    def has_converged(self) -> bool:
        """Return whether all live nodes of this shard are at the same position in each partition."""
        return len(self.positions()) == 1

    def positions(self) -> set[tuple[int, ...]]:
        """Return the distinct version vectors of the live nodes of this shard."""
        return {tuple(node.position) for node in self.local_nodes if node.up}

    def count_considering_dead(self, node: Node) -> int:
        """Return how many live nodes of this shard don't consider a node live."""
        return sum(
            other.up
            and other is not node
            and not (
                node.address in other.swim.table.members and other.swim.table.members[node.address].is_live
            )
            for other in self.local_nodes
        )
