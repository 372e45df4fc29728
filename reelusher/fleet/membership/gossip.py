"""Dissemination: selects the updates for each outgoing datagram, and composes datagrams. Free of I/O."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from math import log2

from reelusher.fleet.membership.member_table import MemberTable
from reelusher.fleet.membership.messages import (
    Datagram,
    DatagramKind,
    MemberState,
    Update,
    number_size,
    update_size,
)

GOSSIP_FANOUT = 4  # members that a gossip round is sent to
RETRANSMIT_MULTIPLIER = 2  # transmissions of an update per doubling of the fleet, added to the minimum
MIN_RETRANSMITS = 5
RETRANSMIT_REDUCTION_THRESHOLD = 256  # pending updates past which each is sent fewer times
MAX_UPDATES_PER_DATAGRAM = 16
MAX_PAYLOAD_BYTES = 870  # updates and vector together; the rest of a datagram takes at most 520
MAX_NOTICES_PER_ROUND = 8


@dataclass(slots=True)
class PendingBroadcast:
    """An update that is still being sent to members."""

    update: Update
    size: int  # upper bound of the encoded size, in bytes
    sent_count: int = 0


class BroadcastQueue:
    """The pending updates, at most one about each member, in the order of how often they were sent."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._pending: dict[str, PendingBroadcast] = {}
        self._by_sent_count: list[tuple[int, int, PendingBroadcast]] = []  # a heap; stale entries are skipped
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, address: str) -> bool:
        return address in self._pending

    def add(self, update: Update) -> None:
        """Add an update, in place of an earlier one about the same member."""
        broadcast = self._pending[update.address] = PendingBroadcast(update, update_size(update))
        if len(self._by_sent_count) > 2 * len(self._pending) + MAX_UPDATES_PER_DATAGRAM:
            self._by_sent_count = [entry for entry in self._by_sent_count if self._is_pending(entry[2])]
            heapify(self._by_sent_count)
        self._push(broadcast)

    def select(self, recipient: str, bytes_left: int) -> tuple[list[Update], int]:
        """Return the updates for one datagram and the bytes left, negative if a single update takes more.

        An accusation of the recipient comes first, so that it can refute it; then the least sent updates.
        """
        selected: list[Update] = []
        member = self._table.members.get(recipient)
        if member is not None and member.update.state is not MemberState.ALIVE:
            selected.append(member.update)
            bytes_left -= update_size(member.update)
        limit, unfinished = self._send_limit(), list[PendingBroadcast]()
        while len(selected) < MAX_UPDATES_PER_DATAGRAM and (broadcast := self._peek()) is not None:
            if selected and bytes_left < broadcast.size:
                break
            heappop(self._by_sent_count)
            update = broadcast.update
            if update.address != recipient or update.state is MemberState.ALIVE:
                selected.append(update)
                bytes_left -= broadcast.size
            broadcast.sent_count += 1
            if broadcast.sent_count >= limit:
                del self._pending[update.address]
            else:
                unfinished.append(broadcast)
        for broadcast in unfinished:
            self._push(broadcast)
        return selected, bytes_left

    def discard_accusations(self) -> None:
        """Remove suspicions and deaths."""
        for address, broadcast in list(self._pending.items()):
            if broadcast.update.state in (MemberState.SUSPECT, MemberState.DEAD):
                del self._pending[address]

    def discard_known(self, known: Mapping[str, Update]) -> None:
        """Remove updates that do not supersede those in `known`, which are by address."""
        for address, broadcast in list(self._pending.items()):
            other = known.get(address)
            if other is not None and not broadcast.update.supersedes(other):
                del self._pending[address]

    def clear(self) -> None:
        """Remove all updates."""
        self._pending.clear()
        self._by_sent_count.clear()

    def _send_limit(self) -> int:
        """Return how many times an update is sent.

        If many updates are pending, each is sent fewer times, so that none waits long for its first sending.
        """
        usual_limit = int(RETRANSMIT_MULTIPLIER * log2(self._table.fleet_size() + 1)) + MIN_RETRANSMITS
        return max(
            MIN_RETRANSMITS,
            usual_limit
            * RETRANSMIT_REDUCTION_THRESHOLD
            // max(RETRANSMIT_REDUCTION_THRESHOLD, len(self._pending)),
        )

    def _is_pending(self, broadcast: PendingBroadcast) -> bool:
        return self._pending.get(broadcast.update.address) is broadcast

    def _push(self, broadcast: PendingBroadcast) -> None:
        self._push_count += 1
        heappush(self._by_sent_count, (broadcast.sent_count, self._push_count, broadcast))

    def _peek(self) -> PendingBroadcast | None:
        while self._by_sent_count:
            broadcast = self._by_sent_count[0][2]
            if self._is_pending(broadcast):
                return broadcast
            heappop(self._by_sent_count)
        return None


class Gossip:
    """Composes the datagrams of one member; each carries pending updates and the node's vector."""

    def __init__(self, own_address: str, table: MemberTable, first_seq: int) -> None:
        self._own_address, self._table, self._seq = own_address, table, first_seq
        self.broadcasts = BroadcastQueue(table)
        self.notices: deque[Update] = deque()  # each is sent only to the member that it is about
        self.vector: Callable[[], list[int]] = list  # numbers of other modules; called for each datagram
        self._sized_vector: tuple[list[int], int] = [], 0  # the last vector and its size in bytes
        self._outgoing: list[tuple[str, Datagram]] = []

    def take_outgoing(self) -> list[tuple[str, Datagram]]:
        """Return the datagrams composed since the last call, with the addresses of their recipients."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def has_pending(self) -> bool:
        """Return whether a gossip round has anything to send."""
        return bool(self.broadcasts or self.notices)

    def send_round(self) -> None:
        """Send notices to the members that they are about, and pending updates to a few random members."""
        for _ in range(min(MAX_NOTICES_PER_ROUND, len(self.notices))):
            notice = self.notices.popleft()
            self.send_update(notice.address, notice)
        if self.broadcasts:
            for recipient in self._table.sample(GOSSIP_FANOUT):
                self.send(recipient, DatagramKind.GOSSIP)

    def ping(self, recipient: str) -> int:
        """Ping a member; return the sequence number that its ack will have."""
        self._seq += 1
        self.send(recipient, DatagramKind.PING, self._seq)
        return self._seq

    def send(self, recipient: str, kind: DatagramKind, seq: int = 0, target: str = "") -> None:
        """Compose a datagram with pending updates."""
        updates, bytes_left = self.broadcasts.select(recipient, MAX_PAYLOAD_BYTES - self._vector_size())
        self._emit(
            recipient, Datagram(kind, self._own_address, seq, target, updates, self._vector(bytes_left))
        )

    def send_update(self, recipient: str, update: Update) -> None:
        """Compose a datagram with one update only."""
        bytes_left = MAX_PAYLOAD_BYTES - self._vector_size() - update_size(update)
        vector = self._vector(bytes_left)
        self._emit(recipient, Datagram(DatagramKind.GOSSIP, self._own_address, 0, "", [update], vector))

    def _emit(self, recipient: str, datagram: Datagram) -> None:
        self._outgoing.append((recipient, datagram))

    def _vector(self, bytes_left: int) -> list[int]:
        """Return the last vector, or an empty one if an update with very long names leaves no room for it."""
        return self._sized_vector[0] if bytes_left >= 0 else []

    def _vector_size(self) -> int:
        vector = self.vector()
        if vector is not self._sized_vector[0]:  # `vector` returns the same list until a number changes
            self._sized_vector = vector, sum(map(number_size, vector))
        return self._sized_vector[1]
