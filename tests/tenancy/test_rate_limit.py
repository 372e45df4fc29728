"""Tests of the arithmetic of fair sharing: allocation, rate limit and fairness index."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from reelusher.tenancy.rate_limit import FlowDemand, Gcra, allocate, jain

FLOW_DEMANDS = st.builds(
    FlowDemand, st.floats(0, 100), st.floats(0.01, 100), st.floats(0, 5), st.floats(0.1, 50)
)


@hypothesis_settings(max_examples=300, derandomize=True, database=None)
@given(st.lists(FLOW_DEMANDS, min_size=1, max_size=12), st.floats(0.1, 100))
def test_allocation_is_max_min_fair_and_uses_all_capacity_that_is_demanded(
    demands: list[FlowDemand], capacity: float
) -> None:
    allocated = allocate(demands, capacity)
    total_demand = sum(demand.maximum for demand in demands)
    assert sum(allocated) == pytest.approx(min(total_demand, capacity), rel=1e-6)
    total_minimum = sum(demand.minimum for demand in demands)
    for demand, amount in zip(demands, allocated, strict=True):
        assert -1e-9 <= amount <= demand.maximum + 1e-9
        assert amount >= demand.minimum * min(1, capacity / total_minimum if total_minimum else 1) - 1e-6
    # a flow below its maximum gets at least as much per weight as any flow above its minimum
    if total_minimum < capacity < total_demand:
        below_maximum = [
            amount / demand.weight
            for demand, amount in zip(demands, allocated, strict=True)
            if amount < demand.maximum - 1e-6
        ]
        above_minimum = [
            amount / demand.weight
            for demand, amount in zip(demands, allocated, strict=True)
            if amount > demand.minimum + 1e-6
        ]
        assert (
            not below_maximum
            or not above_minimum
            or min(below_maximum) >= max(above_minimum) - 1e-6 * (1 + max(above_minimum))
        )


@pytest.mark.parametrize(
    ("demands", "capacity", "expected"),
    [
        ([FlowDemand(0.8, 1), FlowDemand(6, 1)], 4, [0.8, 3.2]),
        ([FlowDemand(6, 1), FlowDemand(6, 2), FlowDemand(6, 4)], 3.5, [0.5, 1, 2]),
        ([FlowDemand(9, 1, guarantee=2.4), FlowDemand(9, 4), FlowDemand(9, 8)], 4, [2.4, 1.6 / 3, 3.2 / 3]),
        ([FlowDemand(9, 1, ceiling=1), FlowDemand(9, 1)], 4, [1, 3]),
        ([FlowDemand(9, 1, guarantee=3), FlowDemand(9, 1, guarantee=3)], 4, [2, 2]),
        ([FlowDemand(0, 1), FlowDemand(1, 1)], 4, [0, 1]),
        ([], 4, []),
    ],
)
def test_allocation_equals_values_computed_by_hand(
    demands: list[FlowDemand], capacity: float, expected: list[float]
) -> None:
    assert allocate(demands, capacity) == pytest.approx(expected)


def test_jain_index() -> None:
    assert jain([3, 3, 3]) == pytest.approx(1)
    assert jain([1, 0, 0, 0]) == pytest.approx(0.25)
    assert jain([0]) == 1


def test_rate_limit_gives_no_credit_for_idle_time_and_accepts_corrections() -> None:
    limit = Gcra(rate=0.5, burst_us=100)
    taken = 0
    while limit.conforms(10_000) and taken < 1000:
        limit.charge(10, 10_000)
        taken += 10
    assert taken == 60  # the burst of 50 and the charge of 10 that exceeds it, after any idle time
    limit.charge(-30, 10_000)
    assert limit.conforms(10_000)
    assert limit.tat_us == 10_060
    credit = Gcra(rate=0.5, burst_us=0, credit_us=200)
    credit.charge(50, 10_000)
    assert credit.tat_us == 9_900
    assert credit.conforms(10_000)
