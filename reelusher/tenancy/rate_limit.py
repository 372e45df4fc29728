"""Arithmetic of fair sharing, free of I/O: rate limits, max-min allocation and a fairness index."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class Gcra:
    """Generic cell rate algorithm, the virtual scheduling form (ITU-T I.371, annex A).

    It allows `rate` units per microsecond, and a burst of the units of `burst_us` microseconds. Credit for
    unused time is limited to `credit_us`. A charge may be corrected later: the theoretical arrival time moves
    by the difference.
    """

    rate: float  # units per microsecond, above 0
    burst_us: float
    credit_us: float = 0.0
    tat_us: float = 0.0  # theoretical arrival time: the time at which all charged units have been earned

    def conforms(self, now_us: float) -> bool:
        """Return whether more units may be taken now."""
        return self.tat_us - now_us <= self.burst_us

    def charge(self, units: float, now_us: float) -> None:
        """Charge units that are taken now; a negative amount corrects an earlier charge that was too high."""
        if units >= 0:
            self.tat_us = max(self.tat_us, now_us - self.credit_us)
        self.tat_us += units / self.rate


@dataclass(slots=True, frozen=True)
class FlowDemand:
    """The demand, weight and limits of one flow; all but the weight are in the unit of the capacity."""

    demand: float
    weight: float
    guarantee: float = 0.0
    ceiling: float = float("inf")

    @property
    def maximum(self) -> float:
        """Return the largest allocation that the flow can use."""
        return min(self.demand, self.ceiling)

    @property
    def minimum(self) -> float:
        """Return the allocation that the flow gets before capacity is shared by weight."""
        return min(self.maximum, self.guarantee)


def allocate(demands: Sequence[FlowDemand], capacity: float) -> list[float]:
    """Return the weighted max-min allocation of a capacity, with guarantees and ceilings, in O(n log n).

    Each flow gets min(maximum, max(minimum, level * weight)), at the level where these add up to the
    capacity, or its maximum where the capacity suffices for all (water filling: Bertsekas and Gallager, Data
    Networks, 6.5.2). Guarantees that add up to more than the capacity are reduced in proportion.
    """
    if sum(demand.maximum for demand in demands) <= capacity:
        return [demand.maximum for demand in demands]
    minimum = sum(demand.minimum for demand in demands)
    if minimum >= capacity:
        return [demand.minimum * capacity / minimum for demand in demands]
    level = _water_level(demands, capacity, minimum)
    return [min(demand.maximum, max(demand.minimum, level * demand.weight)) for demand in demands]


def _water_level(demands: Sequence[FlowDemand], capacity: float, minimum: float) -> float:
    """Return the level at which the allocations add up to the capacity; at level 0 their sum is `minimum`."""
    # with a rising level, an allocation grows between the levels `minimum / weight` and `maximum / weight`
    breakpoints = sorted(
        [(demand.minimum / demand.weight, demand.weight) for demand in demands]
        + [(demand.maximum / demand.weight, -demand.weight) for demand in demands]
    )
    level, slope, allocated = 0.0, 0.0, minimum
    for next_level, slope_change in breakpoints:
        if slope > 0 and allocated + slope * (next_level - level) >= capacity:
            break
        allocated += slope * (next_level - level)
        level, slope = next_level, slope + slope_change
    if slope > 0:
        level += (capacity - allocated) / slope
    return level


def jain(values: Sequence[float]) -> float:
    """Return Jain's fairness index: 1 for equal values, 1/n where all but one are 0; 1 for no values.

    Source: Jain, Chiu and Hawe, DEC-TR-301, 1984.
    """
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares > 0 else 1.0
