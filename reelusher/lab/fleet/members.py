"""Simulates many members with `Swim` on a virtual clock, over a network that loses and duplicates datagrams.

    python -m reelusher.lab.fleet.members 50 200 1000

prints for each size how long the detection of a death takes, what each member sends, and how long the two
halves of a fleet take to agree again after a network split.
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
from reelusher.lab.fleet.virtual import VirtualClock

LATENCY_S = 0.0005, 0.002  # minimum and maximum, from one member to another
NEVER = float("inf")


class SimulatedFleet:
    """Members of one fleet and the simulated network between them."""

    def __init__(self, count: int, seed: int = 1, joined: bool = True) -> None:
        self.clock, self.random = VirtualClock(), Random(seed)
        self.loss = self.duplication = 0.0  # fractions of the datagrams
        self.latency_s = LATENCY_S
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.swims: dict[str, Swim] = {}
        self.alive: set[str] = set()
        self.stalled: set[str] = set()
        self.sent = self.deaths = 0
        self.sent_bytes = 0
        self._due: dict[str, float] = {}
        self._authenticator = MessageAuthenticator(b"a secret of sixteen", "lab", "127.0.0.1:1", 1)
        for number in range(count):
            self.add(number)
        if joined:
            everyone = MemberTable(self.random)
            for swim in self.swims.values():
                everyone.apply(swim.own, 0.0)
            for address, swim in self.swims.items():
                swim.table.copy_from(everyone, address)
                swim.gossip.broadcasts.clear()

    def add(self, number: int, incarnation: int = 1) -> str:
        """Start a member that knows no others."""
        address = f"127.1.{number // 250}.{number % 250 + 1}:7000"
        own = Update(address, f"n{number}", f"z{number % 3}", "r", incarnation, MemberState.ALIVE)
        self.swims[address] = Swim(own, Random(f"{number} {self.random.random()}"), self.clock.now)
        self.alive.add(address)
        self._wake(address)
        return address

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.run(self.clock.now + seconds)

    def run_until(self, condition: Callable[[], bool], max_s: float) -> float:
        """Advance the clock until a condition holds; return the seconds taken, infinity beyond `max_s`."""
        started_s = self.clock.now
        while not condition():
            if self.clock.now - started_s > max_s:
                return NEVER
            self.run(0.05)
        return self.clock.now - started_s

    def kill(self, address: str) -> None:
        """End a member without notice to the others."""
        self.alive.discard(address)

    def set_stalled(self, address: str, stalled: bool) -> None:
        """Stall a member, as if its process were stopped, or let it continue."""
        (self.stalled.add if stalled else self.stalled.discard)(address)
        if not stalled:
            self._due.pop(address, None)
            self._wake(address)

    def count_seeing_dead(self, address: str) -> int:
        """Return how many live members consider a member dead."""
        return sum(
            address in swim.table.members and not swim.table.members[address].is_live
            for other, swim in self.swims.items()
            if other in self.alive and other != address
        )

    def agreed(self) -> bool:
        """Return whether each live member considers exactly the live members live."""
        live = [(address, self.swims[address].table) for address in self.alive]
        return all(1 + table.live_count() == len(live) for _, table in live) and all(
            {address, *table.live()} == self.alive for address, table in live
        )

    def _wake(self, address: str) -> None:
        if address not in self.alive or address in self.stalled:
            return
        tick_s = max(self.clock.now, self.swims[address].next_tick_s())
        if self.clock.now < self._due.get(address, NEVER) <= tick_s:
            return  # an earlier tick is scheduled
        self._due[address] = tick_s
        self.clock.call_later(tick_s - self.clock.now, self._tick, address, tick_s)

    def _tick(self, address: str, tick_s: float) -> None:
        if self._due.get(address) == tick_s and address in self.alive and address not in self.stalled:
            self._due.pop(address)
            self._deliver(address, self.swims[address].tick(self.clock.now))
            self._wake(address)

    def _deliver(self, address: str, result: StepResult) -> None:
        self.deaths += sum(change.update.state is MemberState.DEAD for change in result.changes)
        for target, message in result.datagrams:
            self.sent += 1
            self.sent_bytes += len(self._authenticator.seal(message))
            for _ in range(1 + (self.random.random() < self.duplication)):
                if not self.cut(address, target) and self.random.random() >= self.loss:
                    self.clock.call_later(
                        self.random.uniform(*self.latency_s), self._receive, target, message
                    )
        swim = self.swims[address]
        if swim.sync_with:
            other = swim.sync_with.pop()
            swim.sync_with.clear()
            if other in self.alive and other not in self.stalled and not self.cut(address, other):
                self.exchange(address, other)

    def exchange(self, requester_address: str, responder_address: str) -> None:
        """Let two members compare their states and exchange the differing parts, as over TCP."""
        requester, responder = self.swims[requester_address], self.swims[responder_address]
        digests = responder.compare_digest(requester.digest())
        buckets = requester.differing_buckets(digests) if digests else []
        states = requester.in_buckets(buckets), responder.in_buckets(buckets)
        self._deliver(requester_address, requester.merge(states[1], self.clock.now))
        self._deliver(responder_address, responder.merge(states[0], self.clock.now))
        self._wake(requester_address)
        self._wake(responder_address)

    def _receive(self, address: str, message: Datagram) -> None:
        if address in self.alive and address not in self.stalled:
            self._deliver(address, self.swims[address].receive(message, self.clock.now))
            self._wake(address)


def split_off(group: set[str]) -> Callable[[str, str], bool]:
    """Return a predicate that is true for messages between a group and all other members."""
    return lambda source, target: (source in group) != (target in group)


def time_to_detect_death(size: int, seed: int) -> float:
    """Return the seconds until 99 % of the members consider a dead member dead."""
    fleet = SimulatedFleet(size, seed)
    fleet.run(5)
    dead_address = list(fleet.swims)[seed % size]
    fleet.kill(dead_address)
    return fleet.run_until(lambda: fleet.count_seeing_dead(dead_address) >= 0.99 * (size - 1), 30)


def time_to_heal(size: int, seed: int, cut_s: float = 15.0) -> float:
    """Return the seconds until two halves agree on the live members after a network split of `cut_s`."""
    fleet = SimulatedFleet(size, seed)
    fleet.run(3)
    fleet.cut = split_off(set(list(fleet.swims)[: size // 2]))
    fleet.run(cut_s)
    fleet.cut = lambda source, target: False
    return fleet.run_until(fleet.agreed, 60)


def cost_at_rest(size: int, seconds: float = 10.0) -> tuple[float, float, float]:
    """Return the datagrams and bytes that each member sends per second at rest, and its share of a core."""
    fleet = SimulatedFleet(size, 9)
    fleet.run(5)
    sent, sent_bytes, started_s = fleet.sent, fleet.sent_bytes, process_time()
    fleet.run(seconds)
    member_seconds = seconds * size
    return (
        (fleet.sent - sent) / member_seconds,
        (fleet.sent_bytes - sent_bytes) / member_seconds,
        (process_time() - started_s) / member_seconds,
    )


def main(sizes: list[int]) -> None:
    """Measure fleets of these sizes and print the results."""
    for size in sizes:
        detection_s, (sent, sent_bytes, cpu) = (
            [time_to_detect_death(size, seed) for seed in range(5)],
            cost_at_rest(size),
        )
        heal_s = time_to_heal(size, 5)
        print(
            f"{size} members: a death known to 99 % after {median(detection_s):.2f} s "
            f"(most {max(detection_s):.2f}), "
            f"{sent:.1f} datagrams and {sent_bytes:.0f} bytes a second each, {cpu:.2%} of a core each, "
            f"two halves agree {heal_s:.1f} s after a cut, {heal_s / PROBE_PERIOD_S:.0f} rounds"
        )


if __name__ == "__main__":
    main([int(argument) for argument in sys.argv[1:]] or [50, 200])
