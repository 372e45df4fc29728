"""Which members have which changes, by the vectors they announce. Free of I/O but for the wait of a caller.

Only leaders keep one. A member that announced nothing since the last change is called, so that it answers
with its vector: paced, and more quickly while someone waits.
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
GRACE_S = 3.0  # after a change, in which nearly all members pull and announce it by themselves
CHECK_INTERVAL_S = 1.0  # while some members may lack the newest change
CALLS_PER_S = 10.0
QUICK_CALLS_PER_S = 100.0
QUICK_S = 20.0  # after a report was read
CALLED_TTL_S = 60.0
WAIT_CALLS = 3  # members called for each copy that is waited for
MAX_SLOWEST = 10  # members named in a report
MAX_TIMED_CHANGES = 64  # of a partition


@dataclass(slots=True)
class FullyReplicated:
    """The newest change of a partition that all live members announced."""

    position: Position
    at_s: float
    took_s: float  # since it was made, if that was here and not long ago


class Waiter(NamedTuple):
    """A caller that waits until other members have a change."""

    partition: str
    position: Position
    copies: int


class ReplicationProgress:
    """What one leader knows of the other members."""

    def __init__(self, replica: Replica, own_name: str) -> None:
        self._replica, self._own_name = replica, own_name
        self._offsets = {name: 1 + 2 * place for place, name in enumerate(replica.control)}  # in a vector
        self._changed = threading.Condition()
        self._vectors: dict[str, list[int]] = {}  # by address; equal ones are one list
        self._announced_s: dict[str, float] = {}  # by address
        self._made_s: dict[str, deque[tuple[Position, float]]] = {
            partition: deque(maxlen=MAX_TIMED_CHANGES) for partition in replica.control
        }
        self._fully_replicated: dict[str, FullyReplicated] = {}
        self._waiting: list[Waiter] = []
        self._calls = TokenBucket(CALLS_PER_S, CALLS_PER_S)
        self._quick_calls = TokenBucket(QUICK_CALLS_PER_S, QUICK_CALLS_PER_S)
        self._quick_until_s = self._checked_s = 0.0
        self._called_s: dict[str, float] = {}  # by address

    # From any thread

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
            if self._waiting:
                self._changed.notify_all()

    def record_change(self, partition: str, position: Position, now: float) -> None:
        """Record when a change was made here."""
        with self._changed:
            self._made_s[partition].append((position, now))

    def wait(self, partition: str, position: Position, copies: int, timeout_s: float) -> int:
        """Wait until so many other members have a change; return how many have it then."""
        waiter = Waiter(partition, position, copies)
        with self._changed:
            self._waiting.append(waiter)
            try:
                self._changed.wait_for(lambda: self._count(partition, position) >= copies, timeout_s)
                return self._count(partition, position)
            finally:
                self._waiting.remove(waiter)

    def poll_quickly(self, now: float) -> None:
        """Call members more quickly for a while."""
        self._quick_until_s = now + QUICK_S

    def _has(self, address: str, partition: str, position: Position) -> bool:
        vector, at = self._vectors.get(address), self._offsets[partition]
        return vector is not None and (vector[at], vector[at + 1]) >= position

    def _count(self, partition: str, position: Position) -> int:
        return sum(self._has(address, partition, position) for address in self._vectors)

    def _led_positions(self) -> list[tuple[str, Position]]:
        states = self._replica.states
        return [
            (partition, Position(states[partition].term, states[partition].index))
            for partition in self._replica.control
            if self._replica.leads(partition, self._own_name)
        ]

    # The service's thread

    def is_due(self, now: float) -> bool:
        """Return whether `tick` is wanted now; listing the live members for it is costly."""
        if self._waiting:
            return True
        return now - self._checked_s >= CHECK_INTERVAL_S and any(
            position.log_index and not self._is_fully_replicated(partition, position)
            for partition, position in self._led_positions()
        )

    def _is_fully_replicated(self, partition: str, position: Position) -> bool:
        known = self._fully_replicated.get(partition)
        return known is not None and known.position == position

    def tick(self, live: Sequence[Update], now: float) -> list[str]:
        """Return the addresses of members to call now; `live` are all live ones."""
        self._checked_s = now
        addresses = [member.address for member in live if member.address != self._replica.own_address]
        with self._changed:
            self._forget_all_but(addresses)
            behind = self._find_behind(addresses, now)
            called = self._called_for_waiters(addresses)
            self._called_s = {
                address: at for address, at in self._called_s.items() if now - at < CALLED_TTL_S
            }
            behind.sort(key=self._last_contact_s)
        limit = self._quick_calls if now < self._quick_until_s else self._calls
        called += behind[: max(0, int(limit.available(now)))]
        called = list(dict.fromkeys(called))
        limit.take(len(called))
        self._called_s |= dict.fromkeys(called, now)
        return called

    def _forget_all_but(self, addresses: Iterable[str]) -> None:
        for address in self._vectors.keys() - set(addresses):
            del self._vectors[address], self._announced_s[address]

    def _find_behind(self, addresses: Sequence[str], now: float) -> list[str]:
        """Return members that lack a change for longer than is usual; record what all have."""
        behind: dict[str, None] = {}
        for partition, position in self._led_positions():
            lacking = [address for address in addresses if not self._has(address, partition, position)]
            made_s = dict(self._made_s[partition]).get(position)
            if not lacking and position.log_index:
                self._record_fully_replicated(partition, position, now, made_s)
            elif now - (made_s or 0.0) >= GRACE_S:
                behind |= dict.fromkeys(lacking)
        return list(behind)

    def _called_for_waiters(self, addresses: Sequence[str]) -> list[str]:
        called: list[str] = []
        for partition, position, copies in self._waiting:
            lacking = [address for address in addresses if not self._has(address, partition, position)]
            lacking.sort(key=lambda address: self._called_s.get(address, 0.0))
            called += lacking[: WAIT_CALLS * copies]
        return called

    def _last_contact_s(self, address: str) -> float:
        return max(self._announced_s.get(address, 0.0), self._called_s.get(address, 0.0))

    def _record_fully_replicated(
        self, partition: str, position: Position, now: float, made_s: float | None
    ) -> None:
        if not self._is_fully_replicated(partition, position):
            took_s = now - made_s if made_s is not None else 0.0
            self._fully_replicated[partition] = FullyReplicated(position, now, took_s)

    # Reports, for the administration API

    def report(self, live: Iterable[Update], now: float) -> list[dict[str, object]]:
        """Return, for each partition that this member leads, who has its newest change."""
        self.poll_quickly(now)
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
            "since_s": round(now - known.at_s, 1),
            "took_s": round(known.took_s, 1),
        }

    def _member_report(self, member: Update, partition: str, now: float) -> dict[str, object]:
        vector, at = self._vectors.get(member.address), self._offsets[partition]
        announced_s = self._announced_s.get(member.address)
        return {
            "name": member.name,
            "address": member.address,
            "position": None if vector is None else f"{vector[at]}.{vector[at + 1]}",
            "heard_s": None if announced_s is None else round(now - announced_s, 1),
        }
