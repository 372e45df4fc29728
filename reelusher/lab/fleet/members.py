"""Many members on a virtual clock and a network that loses, cuts and doubles: the real `Swim`, no sockets.

    python -m reelusher.lab.fleet.members 50 200 1000

tells for each size how long a death takes to be known, what each member sends, and how long two halves that
were cut apart take to know each other again.
"""

import sys
from collections.abc import Callable
from random import Random
from statistics import median
from time import process_time

from reelusher.fleet.membership.authentication import MessageAuthenticator
from reelusher.fleet.membership.failure_detector import PROBE_PERIOD_S
from reelusher.fleet.membership.member_table import MemberTable
from reelusher.fleet.membership.messages import Datagram, MemberState, Update
from reelusher.fleet.membership.swim import StepResult, Swim
from reelusher.lab.fleet.virtual import VirtualLine

WAY_S = 0.0005, 0.002  # from one member to another
NEVER = float("inf")


class Members:
    """A fleet that has joined, and what stands between its members."""

    def __init__(self, count: int, seed: int = 1, joined: bool = True) -> None:
        self.line, self.random = VirtualLine(), Random(seed)
        self.loss = self.twice = 0.0  # parts of the datagrams
        self.way_s = WAY_S
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.swims: dict[str, Swim] = {}
        self.alive: set[str] = set()
        self.still: set[str] = set()
        self.sent = self.deaths = 0
        self.sent_bytes = 0
        self._due: dict[str, float] = {}
        self._seal = MessageAuthenticator(b"a secret of sixteen", "lab", "127.0.0.1:1", 1)
        for number in range(count):
            self.add(number)
        if joined:
            everyone = MemberTable(self.random)
            for swim in self.swims.values():
                everyone.apply(swim.own, 0.0)
            for place, swim in self.swims.items():
                swim.table.copy_from(everyone, place)
                swim.gossip.broadcasts.clear()

    def add(self, number: int, life: int = 1) -> str:
        """Start a member, which knows nobody."""
        place = f"127.1.{number // 250}.{number % 250 + 1}:7000"
        own = Update(place, f"n{number}", f"z{number % 3}", "r", life, MemberState.ALIVE)
        self.swims[place] = Swim(own, Random(f"{number} {self.random.random()}"), self.line.now)
        self.alive.add(place)
        self._wake(place)
        return place

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.line.run(self.line.now + seconds)

    def until(self, holds: Callable[[], bool], most_s: float) -> float:
        """Let time pass until something holds; return how long that took, infinity past the most."""
        began = self.line.now
        while not holds():
            if self.line.now - began > most_s:
                return NEVER
            self.run(0.05)
        return self.line.now - began

    def kill(self, place: str) -> None:
        """End a member without a word."""
        self.alive.discard(place)

    def stand_still(self, place: str, still: bool) -> None:
        """Have a member stand still, or go on."""
        (self.still.add if still else self.still.discard)(place)
        if not still:
            self._due.pop(place, None)
            self._wake(place)

    def holding_dead(self, place: str) -> int:
        """Count the live members that don't count one as live."""
        return sum(
            place in swim.table.members and not swim.table.members[place].is_live
            for other, swim in self.swims.items()
            if other in self.alive and other != place
        )

    def agreed(self) -> bool:
        """Tell whether each live member counts just the live ones."""
        live = [(place, self.swims[place].table) for place in self.alive]
        return all(1 + table.live_count() == len(live) for _, table in live) and all(
            {place, *table.live()} == self.alive for place, table in live
        )

    def _wake(self, place: str) -> None:
        if place not in self.alive or place in self.still:
            return
        at = max(self.line.now, self.swims[place].next_tick_s())
        if self.line.now < self._due.get(place, NEVER) <= at:
            return  # an earlier look is set
        self._due[place] = at
        self.line.call_later(at - self.line.now, self._tick, place, at)

    def _tick(self, place: str, at: float) -> None:
        if self._due.get(place) == at and place in self.alive and place not in self.still:
            self._due.pop(place)
            self._carry_out(place, self.swims[place].tick(self.line.now))
            self._wake(place)

    def _carry_out(self, place: str, said: StepResult) -> None:
        self.deaths += sum(change.update.state is MemberState.DEAD for change in said.changes)
        for target, message in said.datagrams:
            self.sent += 1
            self.sent_bytes += len(self._seal.seal(message))
            for _ in range(1 + (self.random.random() < self.twice)):
                if not self.cut(place, target) and self.random.random() >= self.loss:
                    self.line.call_later(self.random.uniform(*self.way_s), self._take, target, message)
        swim = self.swims[place]
        if swim.sync_with:
            other = swim.sync_with.pop()
            swim.sync_with.clear()
            if other in self.alive and other not in self.still and not self.cut(place, other):
                self.exchange(place, other)

    def exchange(self, one: str, other: str) -> None:
        """Have two members compare their states and exchange where they differ, as over TCP."""
        asker, asked = self.swims[one], self.swims[other]
        digests = asked.compare_digest(asker.digest())
        buckets = asker.differing_buckets(digests) if digests else []
        states = asker.in_buckets(buckets), asked.in_buckets(buckets)
        self._carry_out(one, asker.merge(states[1], self.line.now))
        self._carry_out(other, asked.merge(states[0], self.line.now))
        self._wake(one)
        self._wake(other)

    def _take(self, place: str, message: Datagram) -> None:
        if place in self.alive and place not in self.still:
            self._carry_out(place, self.swims[place].receive(message, self.line.now))
            self._wake(place)


def apart(half: set[str]) -> Callable[[str, str], bool]:
    """Return a cut between these and all others."""
    return lambda source, target: (source in half) != (target in half)


def time_to_know(size: int, seed: int) -> float:
    """Return the seconds until 99 % know of a death."""
    fleet = Members(size, seed)
    fleet.run(5)
    victim = list(fleet.swims)[seed % size]
    fleet.kill(victim)
    return fleet.until(lambda: fleet.holding_dead(victim) >= 0.99 * (size - 1), 30)


def time_to_heal(size: int, seed: int, cut_s: float = 15.0) -> float:
    """Return the seconds until two halves that were cut apart agree on who lives."""
    fleet = Members(size, seed)
    fleet.run(3)
    fleet.cut = apart(set(list(fleet.swims)[: size // 2]))
    fleet.run(cut_s)
    fleet.cut = lambda source, target: False
    return fleet.until(fleet.agreed, 60)


def cost(size: int, seconds: float = 10.0) -> tuple[float, float, float]:
    """Return the datagrams and bytes that each sends in a second at rest, and the part of a core it takes."""
    fleet = Members(size, 9)
    fleet.run(5)
    sent, sent_bytes, began = fleet.sent, fleet.sent_bytes, process_time()
    fleet.run(seconds)
    each = seconds * size
    return (
        (fleet.sent - sent) / each,
        (fleet.sent_bytes - sent_bytes) / each,
        (process_time() - began) / each,
    )


def main(sizes: list[int]) -> None:
    """Measure fleets of these sizes."""
    for size in sizes:
        known, (sent, sent_bytes, cpu) = [time_to_know(size, seed) for seed in range(5)], cost(size)
        healed = time_to_heal(size, 5)
        print(
            f"{size} members: a death known to 99 % after {median(known):.2f} s (most {max(known):.2f}), "
            f"{sent:.1f} datagrams and {sent_bytes:.0f} bytes a second each, {cpu:.2%} of a core each, "
            f"two halves agree {healed:.1f} s after a cut, {healed / PROBE_PERIOD_S:.0f} rounds"
        )


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or [50, 200])
