"""Tracks which members have which changes, by the vectors that they announce. Only `wait` blocks.

Only control members track progress, since only they lead partitions. A member that has not announced the
newest change is pinged, so that it replies with its vector. Pings are paced; the rate is higher after a
report was read, and members are pinged at once while a caller waits for copies.
"""

import threading
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from reelusher.fleet.membership.messages import Update
from reelusher.fleet.replication.positions import Position
from reelusher.fleet.replication.replica import Replica
from reelusher.pacing.token_bucket import TokenBucket

MAX_MEMBERS = 4096
GRACE_S = 3.0  # time after a change in which nearly all members pull and announce it unasked
CHECK_INTERVAL_S = 1.0  # between calls of `tick` while some members may lack the newest change
PINGS_PER_S = 10.0
FAST_PINGS_PER_S = 100.0
FAST_PINGS_S = 20.0  # duration of the higher rate, after a report was read
PINGED_TTL_S = 60.0  # time after which a ping is forgotten
PINGS_PER_COPY = 3  # members pinged for each copy that a caller waits for
MAX_SLOWEST = 10  # members named in a report
MAX_TIMED_CHANGES = 64  # newest changes of a partition whose time is kept


@dataclass(slots=True)
class FullyReplicated:
    """The last change that all live members were known to have while it was the newest of its partition."""

    position: Position
    known_since_s: float
    took_s: float  # time since the change was made; 0.0 if that time is not known here


class Waiter(NamedTuple):
    """A caller that waits until other members have a change."""

    partition: str
    position: Position
    copies: int


class ReplicationProgress:
    """What a control member knows of the other members' positions in the partitions that it leads."""

    def __init__(self, replica: Replica, own_name: str) -> None:
        self._replica, self._own_name = replica, own_name
        # by partition: the offset of its position in a packed vector
        self._offsets = {name: 1 + 2 * ordinal for ordinal, name in enumerate(replica.control)}
        self._changed = threading.Condition()  # notified of vectors while a caller waits
        self._vectors: dict[str, list[int]] = {}  # by address; equal vectors share one list
        self._announced_s: dict[str, float] = {}  # time of the last announcement, by address
        self._made_s: dict[str, deque[tuple[Position, float]]] = {
            partition: deque(maxlen=MAX_TIMED_CHANGES) for partition in replica.control
        }
        self._fully_replicated: dict[str, FullyReplicated] = {}
        self._waiters: list[Waiter] = []
        self._pings = TokenBucket(PINGS_PER_S, PINGS_PER_S)
        self._fast_pings = TokenBucket(FAST_PINGS_PER_S, FAST_PINGS_PER_S)
        self._fast_until_s = self._checked_s = 0.0
        self._pinged_s: dict[str, float] = {}  # time of the last ping, by address

    # Called from any thread

    def observe(self, address: str, vector: list[int], now: float) -> None:
        """Record the vector of a member."""
        own = self._replica.announce()
        if len(vector) != len(own) or vector[0] != own[0] or address == self._replica.own_address:
            return
        with self._changed:
            known = self._vectors.pop(address, None)
            self._vectors[address] = own if vector == own else known if vector == known and known else vector
            self._announced_s[address] = now
            if len(self._vectors) > MAX_MEMBERS:
                oldest = next(iter(self._vectors))
                del self._vectors[oldest], self._announced_s[oldest]
            if self._waiters:
                self._changed.notify_all()

    def record_change(self, partition: str, position: Position, now: float) -> None:
        """Record when a change was made here."""
        with self._changed:
            self._made_s[partition].append((position, now))

    def wait(self, partition: str, position: Position, copies: int, timeout_s: float) -> int:
        """Wait until `copies` other members have a change, or for `timeout_s`; return how many have it."""
        waiter = Waiter(partition, position, copies)
        state = self._replica.states[partition]
        if (state.term, state.index) < position:
            return 0  # it was set aside since it was made
        generation = state.generation

        def count() -> int:
            """Return how many have it; none while it is withheld, or once it was set aside in a refill."""
            state = self._replica.states[partition]
            is_announced = state.withheld_from < 0 and state.generation == generation
            return self._count(partition, position) if is_announced else 0

        with self._changed:
            self._waiters.append(waiter)
            try:
                self._changed.wait_for(lambda: count() >= copies, timeout_s)
                return count()
            finally:
                self._waiters.remove(waiter)

    def ping_faster(self, now: float) -> None:
        """Ping members at the higher rate for `FAST_PINGS_S`."""
        self._fast_until_s = now + FAST_PINGS_S

    def _has(self, address: str, partition: str, position: Position) -> bool:
        vector, offset = self._vectors.get(address), self._offsets[partition]
        return vector is not None and (vector[offset], vector[offset + 1]) >= position

    def _count(self, partition: str, position: Position) -> int:
        return sum(self._has(address, partition, position) for address in self._vectors)

    def _led_positions(self) -> list[tuple[str, Position]]:
        states = self._replica.states
        return [
            (partition, Position(states[partition].term, states[partition].index))
            for partition in self._replica.control
            if self._replica.leads(partition, self._own_name)
        ]

    # Called by the service's maintenance thread

    def is_due(self, now: float) -> bool:
        """Return whether `tick` is to be called now; it needs the list of live members, which is costly."""
        if self._waiters:
            return True
        return now - self._checked_s >= CHECK_INTERVAL_S and any(
            position.log_index and not self._is_fully_replicated(partition, position)
            for partition, position in self._led_positions()
        )

    def _is_fully_replicated(self, partition: str, position: Position) -> bool:
        known = self._fully_replicated.get(partition)
        return known is not None and known.position == position

    def tick(self, live: Sequence[Update], now: float) -> list[str]:
        """Return the addresses of members to ping now; `live` has all live members."""
        self._checked_s = now
        addresses = [member.address for member in live if member.address != self._replica.own_address]
        with self._changed:
            self._forget_all_but(addresses)
            behind = self._find_behind(addresses, now)
            pinged = self._find_for_waiters(addresses)
            self._pinged_s = {
                address: at_s for address, at_s in self._pinged_s.items() if now - at_s < PINGED_TTL_S
            }
            behind.sort(key=self._last_contact_s)
        limit = self._fast_pings if now < self._fast_until_s else self._pings
        pinged += behind[: max(0, int(limit.available(now)))]
        pinged = list(dict.fromkeys(pinged))
        limit.take(len(pinged))
        self._pinged_s |= dict.fromkeys(pinged, now)
        return pinged

    def _forget_all_but(self, addresses: Iterable[str]) -> None:
        for address in self._vectors.keys() - set(addresses):
            del self._vectors[address], self._announced_s[address]

    def _find_behind(self, addresses: Sequence[str], now: float) -> list[str]:
        """Return members that lack a partition's newest change; record the newest changes that all have.

        For `GRACE_S` after a change was made, members that lack it are left out.
        """
        behind: dict[str, None] = {}
        for partition, position in self._led_positions():
            lacking = [address for address in addresses if not self._has(address, partition, position)]
            made_s = dict(self._made_s[partition]).get(position)
            if not lacking and position.log_index:
                self._record_fully_replicated(partition, position, now, made_s)
            elif now - (made_s or 0.0) >= GRACE_S:
                behind |= dict.fromkeys(lacking)
        return list(behind)

    def _find_for_waiters(self, addresses: Sequence[str]) -> list[str]:
        """Return members that lack a change for which a caller waits, least recently pinged first."""
        pinged: list[str] = []
        for partition, position, copies in self._waiters:
            lacking = [address for address in addresses if not self._has(address, partition, position)]
            lacking.sort(key=lambda address: self._pinged_s.get(address, 0.0))
            pinged += lacking[: PINGS_PER_COPY * copies]
        return pinged

    def _last_contact_s(self, address: str) -> float:
        return max(self._announced_s.get(address, 0.0), self._pinged_s.get(address, 0.0))

    def _record_fully_replicated(
        self, partition: str, position: Position, now: float, made_s: float | None
    ) -> None:
        if not self._is_fully_replicated(partition, position):
            took_s = now - made_s if made_s is not None else 0.0
            self._fully_replicated[partition] = FullyReplicated(position, now, took_s)

    # Reports, for the administration API

    def report(self, live: Iterable[Update], now: float) -> list[dict[str, object]]:
        """Return, for each partition that this member leads, how many members have its newest change."""
        self.ping_faster(now)
        others = [member for member in live if member.address != self._replica.own_address]
        with self._changed:
            return [
                self._partition_report(partition, position, others, now)
                for partition, position in self._led_positions()
            ]

    def _partition_report(
        self, partition: str, position: Position, others: Sequence[Update], now: float
    ) -> dict[str, object]:
        lacking = [member for member in others if not self._has(member.address, partition, position)]
        lacking.sort(key=lambda member: self._announced_s.get(member.address, 0.0))
        made_s = dict(self._made_s[partition]).get(position)
        return {
            "stream": partition,
            "position": f"{position.term}.{position.log_index}",
            "members": len(others),
            "have": len(others) - len(lacking),
            "made_s": None if made_s is None else round(now - made_s, 1),
            "slowest": [self._member_report(member, partition, now) for member in lacking[:MAX_SLOWEST]],
            "everywhere": self._fully_replicated_report(partition, now),
        }

    def _fully_replicated_report(self, partition: str, now: float) -> dict[str, object] | None:
        known = self._fully_replicated.get(partition)
        if known is None:
            return None
        return {
            "position": f"{known.position.term}.{known.position.log_index}",
            "since_s": round(now - known.known_since_s, 1),
            "took_s": round(known.took_s, 1),
        }

    def _member_report(self, member: Update, partition: str, now: float) -> dict[str, object]:
        vector, offset = self._vectors.get(member.address), self._offsets[partition]
        announced_s = self._announced_s.get(member.address)
        return {
            "name": member.name,
            "address": member.address,
            "position": None if vector is None else f"{vector[offset]}.{vector[offset + 1]}",
            "heard_s": None if announced_s is None else round(now - announced_s, 1),
        }
