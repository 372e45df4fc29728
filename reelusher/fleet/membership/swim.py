"""The protocol of a member: SWIM (Das, Gupta, Motivala 2002), Lifeguard (Dadgar, Phillips, Currey 2018).

Free of I/O. All times are seconds of a monotonic clock. Methods return the datagrams to send; none blocks.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import reduce
from math import inf
from operator import xor
from random import Random

from msgspec.structs import replace

from reelusher.fleet.membership.failure_detector import PROBE_PERIOD_S, FailureDetector
from reelusher.fleet.membership.gossip import GOSSIP_FANOUT, Gossip
from reelusher.fleet.membership.member_table import MemberChange, MemberTable, bucket_of, digest_of
from reelusher.fleet.membership.messages import Datagram, DatagramKind, MemberState, Update
from reelusher.fleet.membership.suspicion import (
    FINAL_PING_TIMEOUT_S,
    MAX_CONFIRMATIONS,
    SuspicionTimers,
)

GOSSIP_PERIOD_S = 0.1  # between gossip rounds, while there is something to send
STALL_S = 2 * PROBE_PERIOD_S  # time without a tick after which this process must have been stopped
REJOIN_DISTRUST_S = 10.0  # in which accusations by a member that was considered dead are ignored
LEAVE_FANOUT = 3 * GOSSIP_FANOUT  # members to which this one announces at once that it leaves
BUCKET_DIGEST_MASK = (1 << 32) - 1


@dataclass(slots=True)
class StepResult:
    """The result of a step of the protocol."""

    datagrams: list[tuple[str, Datagram]]  # datagrams to send, each with the address that it goes to
    changes: list[MemberChange]


class Swim:
    """The state machine of one member. Not thread-safe."""

    def __init__(self, own: Update, random: Random, now: float) -> None:
        self.own = own
        self.table = MemberTable(random)
        self.refutations = 0  # false claims about this member that it has refuted
        self.stalls = 0  # long pauses in which this process did not run
        self.on_vector: Callable[[str, list[int], float], None] = lambda sender, vector, now: None
        # Members that were considered dead and sent a datagram. States are exchanged with them, since they
        # know much that is new to this member.
        self.sync_with: set[str] = set()
        self.gossip = Gossip(own.address, self.table, first_seq=random.getrandbits(32))
        self.detector = FailureDetector(own, self.table, self.gossip, random, now, self._apply_update)
        self._suspicions = SuspicionTimers(own.address, self.table)
        # members that were considered dead, and when they became live again; the latest comes last
        self._rejoined: OrderedDict[str, float] = OrderedDict()
        self._random = random
        self._next_gossip_s = now + random.uniform(0.0, GOSSIP_PERIOD_S)
        self._last_tick_s = now
        self._changes: list[MemberChange] = []
        self.gossip.broadcasts.add(own)

    def _take_result(self) -> StepResult:
        changes, self._changes = self._changes, []
        return StepResult(self.gossip.take_outgoing(), changes)

    # Digests: members with equal digests know the same live members, at the same incarnations

    def digests(self) -> list[int]:
        """Return a 32-bit digest of the live members in each bucket, this member included."""
        digests = [digest & BUCKET_DIGEST_MASK for digest in self.table.digests]
        if self.own.state < MemberState.DEAD:
            digests[bucket_of(self.own.address)] ^= digest_of(self.own) & BUCKET_DIGEST_MASK
        return digests

    def digest(self) -> int:
        """Return a 63-bit digest of all live members, this member included."""
        own_digest = digest_of(self.own) if self.own.state < MemberState.DEAD else 0
        return reduce(xor, self.table.digests, own_digest)

    def compare_digest(self, digest: int) -> list[int]:
        """Return the digests of all buckets, or an empty list if `digest` equals this member's own."""
        return [] if digest == self.digest() else self.digests()

    def differing_buckets(self, digests: list[int]) -> list[int]:
        """Return the buckets in which another member's digests differ."""
        pairs = zip(self.digests(), digests, strict=True)
        return [bucket for bucket, (own, other) in enumerate(pairs) if own != other]

    def in_buckets(self, buckets: Iterable[int]) -> list[Update]:
        """Return the updates of all members in some buckets, dead and left ones included."""
        wanted = set(buckets)
        own = [self.own] if bucket_of(self.own.address) in wanted else []
        return own + self.table.in_buckets(wanted)

    def full_state(self) -> list[Update]:
        """Return the updates of all members, this member first."""
        return [self.own, *(member.update for member in self.table.members.values())]

    # Time

    def next_tick_s(self) -> float:
        """Return the time by which `tick` must be called."""
        gossip_s = self._next_gossip_s if self.gossip.has_pending() else inf
        if self.own.state is MemberState.LEFT:  # no probe or suspicion is advanced any more
            return min(gossip_s, self._last_tick_s + PROBE_PERIOD_S)
        return min(self.detector.next_due_s(), gossip_s, self._suspicions.next_due_s())

    def tick(self, now: float) -> StepResult:
        """Advance the probes, suspicions and gossip rounds that are due."""
        elapsed_s = now - self._last_tick_s
        self._last_tick_s = now
        if elapsed_s > STALL_S + self.detector.local_health.score * PROBE_PERIOD_S:
            self._on_stall(elapsed_s)
        if self.own.state is not MemberState.LEFT:  # else it only sends pending updates
            self.detector.advance(now)
            self._expire_suspicions(now)
            self.detector.start_probe_if_due(now)
        if now >= self._next_gossip_s:
            self._next_gossip_s = now + GOSSIP_PERIOD_S * self._random.uniform(0.9, 1.1)
            self.gossip.send_round()
        return self._take_result()

    def _on_stall(self, elapsed_s: float) -> None:
        """Abandon probes and extend suspicions after a time in which this process did not run."""
        self.stalls += 1
        self.detector.local_health.degrade()
        self.detector.reset()
        self._suspicions.postpone(elapsed_s)

    def _expire_suspicions(self, now: float) -> None:
        while (address := self._suspicions.pop_expired(now)) is not None:
            if self._suspicions.needs_final_ping(address):
                timeout_s = max(FINAL_PING_TIMEOUT_S, self.detector.round_trip_times.ack_timeout_s(address))
                self._suspicions.await_final_ping(address, now + timeout_s)
                self.gossip.ping(address)
            else:
                suspect = self.table.members[address].update
                self._apply_update(replace(suspect, state=MemberState.DEAD, accuser=self.own.address), now)

    # Updates

    def _apply_update(self, update: Update, now: float) -> None:
        """Apply an update, and broadcast it if it is new."""
        if update.address == self.own.address:
            self._apply_update_about_self(update, now)
            return
        member = self.table.members.get(update.address)
        if member is not None and update.state is MemberState.SUSPECT is member.update.state:
            same_incarnation = update.incarnation == member.update.incarnation
            new_accuser = update.accuser not in member.accusers
            if same_incarnation and new_accuser and len(member.accusers) <= MAX_CONFIRMATIONS:
                self._add_accuser(update)
                return
        change = self.table.apply(update, now)
        if change is not None:
            self._on_change(change, now)
        elif member is not None and update.supersedes(member.update):  # a new incarnation of a live member
            self.gossip.broadcasts.add(update)

    def _add_accuser(self, suspicion: Update) -> None:
        self.table.add_accuser(suspicion.address, suspicion.accuser)
        self._suspicions.reschedule(suspicion.address)
        self.gossip.broadcasts.add(suspicion)

    def _on_change(self, change: MemberChange, now: float) -> None:
        update, address = change.update, change.update.address
        self._changes.append(change)
        self.gossip.broadcasts.add(update)
        if change.previous is MemberState.DEAD and update.state < MemberState.DEAD:
            self._rejoined[address] = now
            self._rejoined.move_to_end(address)
        if update.state is MemberState.SUSPECT:
            self._suspicions.start(address, now)
            self.detector.confirm_suspicion(address, now)
        else:
            self._suspicions.drop(address)
            self.detector.forget_failed_indirect_probe(address)

    def _apply_update_about_self(self, update: Update, now: float) -> None:
        """Refute a false claim about this member, and take it as a sign that this node may be unhealthy."""
        claims_alive = update.state is MemberState.ALIVE
        if self.own.state is MemberState.LEFT or (claims_alive and not update.supersedes(self.own)):
            return
        if update.incarnation < self.own.incarnation:  # refuted before, but the sender does not know it
            if self.own.address not in self.gossip.broadcasts:
                self.gossip.broadcasts.add(self.own)
            return
        self.refutations += 1
        self.detector.local_health.degrade()
        if update.state is MemberState.DEAD:
            self._withdraw_accusations(now)
        self.own = replace(self.own, incarnation=update.incarnation + 1)
        self.gossip.broadcasts.add(self.own)

    def _withdraw_accusations(self, now: float) -> None:
        """End suspicions and stop broadcasting deaths: this member was partitioned and accused the others."""
        self.gossip.broadcasts.discard_accusations()
        for address in self._suspicions.clear():
            self.table.clear_suspicion(address, now)

    def _has_rejoined_recently(self, address: str, now: float) -> bool:
        """Return whether this node considered a member dead until at most `REJOIN_DISTRUST_S` ago.

        Accusations by such a member are ignored: its process may have been started during a partition. It
        then never learns that it was considered dead, and still broadcasts the deaths of all members on the
        other side, which it has learned from the members on its own side.
        """
        while self._rejoined and now - next(iter(self._rejoined.values())) > REJOIN_DISTRUST_S:
            self._rejoined.popitem(last=False)
        return address in self._rejoined

    # Received messages

    def receive(self, datagram: Datagram, now: float) -> StepResult:
        """Handle a datagram."""
        sender = self.table.members.get(datagram.sender)
        was_partitioned = self._has_rejoined_recently(datagram.sender, now)
        if sender is not None and sender.update.state is MemberState.DEAD:
            was_partitioned = True
            # the sender is alive, so others on its side of a partition may be alive too
            self.sync_with.add(datagram.sender)
            self.gossip.broadcasts.discard_accusations()
        if datagram.vector:
            self.on_vector(datagram.sender, datagram.vector, now)
        for update in datagram.updates:
            # a member that was partitioned considered all others dead, and still broadcasts their deaths
            is_accusation = update.state is not MemberState.ALIVE and update.address != self.own.address
            if not (was_partitioned and is_accusation):
                self._apply_update(update, now)
        self._handle_kind(datagram, now)
        return self._take_result()

    def _handle_kind(self, datagram: Datagram, now: float) -> None:
        match datagram.kind:
            case DatagramKind.PING if self.own.state is not MemberState.LEFT:
                self.gossip.send(datagram.sender, DatagramKind.ACK, datagram.seq)
            case DatagramKind.PING_REQUEST if self.own.state is not MemberState.LEFT:
                self.detector.on_ping_request(datagram, now)
            case DatagramKind.ACK:
                self.detector.on_ack(datagram, now)
            case DatagramKind.NACK:
                self.detector.on_nack(datagram)
            case _:
                pass

    def merge(self, updates: Iterable[Update], now: float) -> StepResult:
        """Merge a full state, or that of some buckets.

        A new accusation of a live member is not applied, but sent to that member, which refutes it if it can.
        """
        for update in updates:
            notice = self._notice_for(update)
            if notice is not None:
                self.gossip.notices.append(notice)
            else:
                self._apply_update(update, now)
        return self._take_result()

    def _notice_for(self, update: Update) -> Update | None:
        """Return the update to send to its subject instead of applying the given one; None to apply that."""
        member = self.table.members.get(update.address)
        if member is None:
            return None
        is_accusation = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if is_accusation and member.is_live and update.supersedes(member.update):
            return update
        is_considered_dead = member.update.state is MemberState.DEAD
        is_not_newer = update.incarnation <= member.update.incarnation
        if is_considered_dead and update.state is MemberState.ALIVE and is_not_newer:
            return member.update  # another node considers it alive: if it is, it refutes its death
        return None

    def join(self, updates: Iterable[Update], now: float, has_joiners: bool = False) -> StepResult:
        """Merge the full state of the member through which this one joins.

        The fleet knows that state already, so only what it lacks is broadcast. If others have joined through
        this member before, `has_joiners`, they don't know it, and it is broadcast too.
        """
        received = {update.address: update for update in updates}
        result = self.merge(received.values(), now)
        if not has_joiners:
            self.gossip.broadcasts.discard_known(received)
        self.gossip.broadcasts.add(self.own)
        return result

    # Operations for the node and its operators

    def ping(self, address: str) -> StepResult:
        """Ping a member outside the probes, to receive its vector; a missing answer has no consequence."""
        self.gossip.ping(address)
        return self._take_result()

    def leave(self) -> StepResult:
        """Announce that this member leaves, to so many members that gossip brings it to all others."""
        self.own = replace(self.own, state=MemberState.LEFT)
        self.gossip.broadcasts.add(self.own)
        for recipient in self.table.sample(LEAVE_FANOUT):
            self.gossip.send_update(recipient, self.own)
        return self._take_result()

    def forget(self, address: str, now: float) -> StepResult | None:
        """Have the fleet treat a dead member as left; return None if it is live or unknown."""
        member = self.table.members.get(address)
        if member is None or member.is_live:
            return None
        self._apply_update(replace(member.update, state=MemberState.LEFT, accuser=""), now)
        return self._take_result()
