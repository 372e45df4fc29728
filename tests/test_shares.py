"""Shares of tenants: the arithmetic, and what the module makes of it on a clock of its own."""

import math

import pytest
from helpers import ids, of, started_controller
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st
from shared_node import SEC, Demand, SharedNode

from reelusher.policy.actions import Reject, Run
from reelusher.policy.events import Request
from reelusher.policy.settings import RequestClass
from reelusher.tenancy.fair_queue import FairQueue, Quota
from reelusher.tenancy.rate_limit import Claim, Gcra, allocate, jain

CLAIMS = st.builds(Claim, st.floats(0, 100), st.floats(0.01, 100), st.floats(0, 5), st.floats(0.1, 50))


@effort(max_examples=300, derandomize=True, database=None)
@given(st.lists(CLAIMS, min_size=1, max_size=12), st.floats(0.1, 100))
def test_an_allocation_is_full_and_none_could_have_more_by_its_weight(
    claims: list[Claim], capacity: float
) -> None:
    given_to = allocate(claims, capacity)
    wanted = sum(claim.most for claim in claims)
    assert sum(given_to) == pytest.approx(min(wanted, capacity), rel=1e-6)
    least = sum(claim.least for claim in claims)
    for claim, has in zip(claims, given_to, strict=True):
        assert -1e-9 <= has <= claim.most + 1e-9
        assert has >= claim.least * min(1, capacity / least if least else 1) - 1e-6
    if least < capacity < wanted:  # whoever is cut has no lower level than any above its least
        short = [
            has / claim.weight for claim, has in zip(claims, given_to, strict=True) if has < claim.most - 1e-6
        ]
        above = [
            has / claim.weight
            for claim, has in zip(claims, given_to, strict=True)
            if has > claim.least + 1e-6
        ]
        assert not short or not above or min(short) >= max(above) - 1e-6 * (1 + max(above))


@pytest.mark.parametrize(
    ("claims", "capacity", "wanted"),
    [
        ([Claim(0.8, 1), Claim(6, 1)], 4, [0.8, 3.2]),
        ([Claim(6, 1), Claim(6, 2), Claim(6, 4)], 3.5, [0.5, 1, 2]),
        ([Claim(9, 1, guarantee=2.4), Claim(9, 4), Claim(9, 8)], 4, [2.4, 1.6 / 3, 3.2 / 3]),
        ([Claim(9, 1, ceiling=1), Claim(9, 1)], 4, [1, 3]),
        ([Claim(9, 1, guarantee=3), Claim(9, 1, guarantee=3)], 4, [2, 2]),
        ([Claim(0, 1), Claim(1, 1)], 4, [0, 1]),
        ([], 4, []),
    ],
)
def test_allocations_computed_by_hand(claims: list[Claim], capacity: float, wanted: list[float]) -> None:
    assert allocate(claims, capacity) == pytest.approx(wanted)


def test_jains_index() -> None:
    assert jain([3, 3, 3]) == pytest.approx(1)
    assert jain([1, 0, 0, 0]) == pytest.approx(0.25)
    assert jain([0]) == 1


def test_a_rate_limit_gives_no_credit_for_idle_time_and_takes_corrections() -> None:
    limit = Gcra(rate=0.5, burst_us=100)
    taken = 0
    while limit.conforms(10_000) and taken < 1000:
        limit.charge(10, 10_000)
        taken += 10
    assert taken == 60  # the burst, and the one that passes it, however long it was idle before
    limit.charge(-30, 10_000)
    assert limit.conforms(10_000)
    assert limit.tat_us == 10_060
    credit = Gcra(rate=0.5, burst_us=0, credit_us=200)
    credit.charge(50, 10_000)
    assert credit.tat_us == 9_900
    assert credit.conforms(10_000)


@pytest.mark.parametrize("flood", [60.0, 160.0])  # 150 % and 400 % of four places of 100 ms
@pytest.mark.parametrize("retries", [0.0, 0.9])
def test_a_quiet_tenant_keeps_its_service_while_another_floods(flood: float, retries: float) -> None:
    span = 20 * SEC
    alone = SharedNode({1: Quota()}, {1: Demand(8.0)}).run(span)
    both = SharedNode({1: Quota(), 2: Quota()}, {1: Demand(8.0), 2: Demand(flood, retries=retries)}).run(span)
    assert both.in_time(1) >= 0.95 * alone.in_time(1)
    assert both.done() > 0.95
    unshared = SharedNode(None, {1: Demand(8.0), 2: Demand(flood, retries=retries)}).run(span)
    assert unshared.in_time(1) < 0.8  # the test can fail


def test_with_all_over_their_share_each_gets_what_its_weight_says() -> None:
    node = SharedNode({n: Quota() for n in range(10)}, {n: Demand(12.0) for n in range(10)}).run(60 * SEC)
    assert jain([node.work_us[n] for n in range(10)]) > 0.98
    assert node.done() > 0.95
    node = SharedNode({n: Quota(weight=n) for n in (1, 2, 4)}, {n: Demand(60.0) for n in (1, 2, 4)}).run(
        60 * SEC
    )
    total = sum(node.work_us.values())
    assert [node.work_us[n] / total for n in (1, 2, 4)] == pytest.approx([1 / 7, 2 / 7, 4 / 7], rel=0.05)


@pytest.mark.parametrize("hint", [True, False])
def test_costs_that_differ_twenty_times_are_charged_as_they_were(hint: bool) -> None:
    demands = {1: Demand(200.0, 20_000, kind=2, hint=hint), 2: Demand(30.0, 400_000, kind=2, hint=hint)}
    node = SharedNode({1: Quota(), 2: Quota()}, demands).run(30 * SEC)
    assert node.work_us[1] / node.work_us[2] == pytest.approx(1, rel=0.06)
    assert node.done() > 0.95


def test_what_one_leaves_others_have_and_it_comes_back_without_hoarded_credit() -> None:
    demands = {1: Demand(60.0, begins_us=20 * SEC), 2: Demand(60.0)}
    node = SharedNode({1: Quota(), 2: Quota()}, demands).run(20 * SEC)
    assert node.done() > 0.95
    assert node.work_us[1] == 0
    before = node.work_us[2]
    node.run(22 * SEC)  # 20 s of idling must not buy the first seconds
    assert node.work_us[1] / (node.work_us[1] + node.work_us[2] - before) == pytest.approx(0.5, abs=0.12)


def test_a_guarantee_is_kept_whatever_the_weights_and_what_is_left_goes_by_weight() -> None:
    shares = {1: Quota(guarantee=0.6), 2: Quota(weight=4), 3: Quota(weight=8)}
    node = SharedNode(shares, {n: Demand(60.0) for n in shares}).run(30 * SEC)
    total = sum(node.work_us.values())
    assert [node.work_us[n] / total for n in shares] == pytest.approx([0.6, 0.4 / 3, 0.8 / 3], abs=0.03)


def test_a_ceiling_holds_though_cores_are_free() -> None:
    node = SharedNode({1: Quota(ceiling=0.25), 2: Quota()}, {1: Demand(60.0), 2: Demand(4.0)}).run(20 * SEC)
    assert node.work_us[1] / (4 * node.now) == pytest.approx(0.25, abs=0.02)
    assert node.in_time(2) > 0.98


def test_a_slow_worker_of_one_tenant_holds_no_places_that_others_need() -> None:
    demands = {1: Demand(8.0, begins_us=2 * SEC), 2: Demand(5.0, 20 * SEC)}
    node = SharedNode({1: Quota(), 2: Quota()}, demands).run(30 * SEC)
    assert node.in_time(1) > 0.95
    assert SharedNode(None, demands).run(30 * SEC).in_time(1) < 0.2


def test_a_flood_of_keys_leaves_room_for_those_of_others() -> None:
    demands = {1: Demand(4.0, kind=1, begins_us=10 * SEC), 2: Demand(1500.0, 1_000, kind=1)}
    node = SharedNode({1: Quota(), 2: Quota()}, demands).run(16 * SEC)
    assert node.in_time(1) == 1.0
    assert SharedNode(None, demands).run(16 * SEC).in_time(1) < 0.5


def test_weights_changed_under_load_count_at_once_and_keep_what_is_owed() -> None:
    node = SharedNode({1: Quota(), 2: Quota()}, {1: Demand(60.0), 2: Demand(60.0)}).run(10 * SEC)
    assert node.shares is not None
    node.shares.entitle(2, Quota(weight=3))
    before = dict(node.work_us)
    node.run(25 * SEC)
    gained = [node.work_us[n] - before[n] for n in (1, 2)]
    assert gained[1] / gained[0] == pytest.approx(3, rel=0.08)


def test_of_hundreds_of_tenants_the_active_ones_share_all() -> None:
    busy = (7, 200, 399)
    node = SharedNode({n: Quota() for n in range(400)}, {n: Demand(60.0) for n in busy}).run(15 * SEC)
    assert node.done() > 0.95
    assert jain([node.work_us[n] for n in busy]) > 0.98


def test_classes_of_one_tenant_share_by_their_weights() -> None:
    shares = FairQueue(2, 1000.0)
    shares.entitle(1, Quota(class_weights={0: 3.0, 1: 1.0}))
    held = [Item(Request(n, n % 2, tenant=1)) for n in range(80)]
    taken = []
    for item in shares.order(held, 0):
        shares.run_started(item.request, 0)
        taken.append(item.request.class_index)
        if len(taken) == 40:
            break
    assert taken.count(0) == pytest.approx(30, abs=1)


@pytest.mark.parametrize("bound", [Quota(held=3), Quota(memory_kb=100), Quota(running=2)])
def test_bounds_of_a_tenant_hold_for_it_alone(bound: Quota) -> None:
    shares = FairQueue(2, 10_000.0)
    shares.entitle(1, bound)
    made = started_controller(
        RequestClass(deadline_us=8_000_000), scheduler=shares, memory_kb=10_000.0, running_memory_factor=4.0
    )
    asked = [Request(n, 0, tenant=1, held_kb=20.0) for n in range(1, 31)]
    first = made.handle(1, list(asked))
    refused, ran = ids(first, Reject), ids(first, Run)
    if bound.running:
        made.concurrency.limit = 10.0
        assert len(ran) == 2
        assert not refused
        assert not ids(made.handle(2, []), Run)  # places are free, its bound is reached
    else:
        assert len(refused) >= 20
    other = made.handle(3, [Request(100, 0, tenant=2, held_kb=20.0)])
    assert not of(other, Reject)
    assert not bound.running or ids(other, Run) == [100]


@pytest.mark.parametrize(
    "given_",
    [{"weight": 0}, {"weight": math.inf}, {"guarantee": 1.1}, {"ceiling": 0}, {"class_weights": {0: 0.0}}],
)
def test_shares_that_no_order_can_be_made_of_are_refused(given_: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="above 0"):
        Quota(**given_)  # type: ignore[arg-type]


class Item:
    """Something held."""

    def __init__(self, request: Request) -> None:
        self.request = request
