"""Arithmetic of fair shares, free of state and I/O: rate limits and max-min allocation."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class Gcra:
    """Generic cell rate algorithm, the virtual scheduling form (ITU-T I.371, annex A).

    It allows `rate` units for each microsecond, and `burst_us` worth of that rate at once. Credit for time
    that was not used ends with `credit_us`, so nobody hoards. What is charged may be corrected later: the
    theoretical arrival time is moved by the difference.
    """

    rate: float  # units for each microsecond, above 0
    burst_us: float
    credit_us: float = 0.0
    tat_us: float = 0.0  # theoretical arrival time: when all that was charged has been earned

    def conforms(self, now_us: float) -> bool:
        """Tell whether more may be taken now."""
        return self.tat_us - now_us <= self.burst_us

    def charge(self, units: float, now_us: float) -> None:
        """Book units that are taken now; negative ones give back what was booked too much."""
        if units >= 0:
            self.tat_us = max(self.tat_us, now_us - self.credit_us)
        self.tat_us += units / self.rate


@dataclass(slots=True, frozen=True)
class Claim:
    """What one flow wants and is entitled to, all in the unit of the capacity."""

    demand: float
    weight: float
    guarantee: float = 0.0
    ceiling: float = float("inf")

    @property
    def most(self) -> float:
        """What it can take at most."""
        return min(self.demand, self.ceiling)

    @property
    def least(self) -> float:
        """What it gets before others get more than that by their weight."""
        return min(self.most, self.guarantee)


def allocate(claims: Sequence[Claim], capacity: float) -> list[float]:
    """Share a capacity out: weighted max-min fairness with guarantees and ceilings, in O(n log n).

    Each claim gets min(most, max(least, level * weight)) for the one level at which that adds up to the
    capacity, or all that it wants where there is enough (water filling: Bertsekas and Gallager, Data
    Networks, 6.5.2). Guarantees that add up to more than the capacity are cut in proportion.
    """
    if sum(claim.most for claim in claims) <= capacity:
        return [claim.most for claim in claims]
    least = sum(claim.least for claim in claims)
    if least >= capacity:
        return [claim.least * capacity / least for claim in claims]
    # as the level rises a claim begins to grow at `least / weight` and stops at `most / weight`
    turns = sorted(
        [(claim.least / claim.weight, claim.weight) for claim in claims]
        + [(claim.most / claim.weight, -claim.weight) for claim in claims]
    )
    level, slope, given = 0.0, 0.0, least
    for at, change in turns:
        if slope > 0 and given + slope * (at - level) >= capacity:
            break
        given += slope * (at - level)
        level, slope = at, slope + change
    if slope > 0:
        level += (capacity - given) / slope
    return [min(claim.most, max(claim.least, level * claim.weight)) for claim in claims]


def jain(values: Sequence[float]) -> float:
    """Jain's fairness index: 1 where all are equal, 1/n where one has everything; 1 for nothing at all.

    Source: Jain, Chiu and Hawe, DEC-TR-301, 1984.
    """
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares > 0 else 1.0
