"""Tests of the fair queue, with a controller for several tenants on a simulated clock."""

import math

import pytest
from helpers import ids, select_actions, started_controller

from reelusher.policy.actions import Reject, Run
from reelusher.policy.events import Request
from reelusher.policy.settings import RequestClass
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.quota import Quota
from reelusher.tenancy.rate_limit import jain
from tenancy.simulated_node import SECOND_US, Demand, SharedNode


@pytest.mark.parametrize("flood", [60.0, 160.0])  # 150 % and 400 % of four slots with runs of 100 ms
@pytest.mark.parametrize("retries", [0.0, 0.9])
def test_tenant_within_its_quota_keeps_its_service_during_a_flood_of_another(
    flood: float, retries: float
) -> None:
    duration_us = 20 * SECOND_US
    alone = SharedNode({1: Quota()}, {1: Demand(8.0)}).run(duration_us)
    with_flood = SharedNode(
        {1: Quota(), 2: Quota()}, {1: Demand(8.0), 2: Demand(flood, retries=retries)}
    ).run(duration_us)
    assert with_flood.in_time_fraction(1) >= 0.95 * alone.in_time_fraction(1)
    assert with_flood.utilization() > 0.95
    without_quotas = SharedNode(None, {1: Demand(8.0), 2: Demand(flood, retries=retries)}).run(duration_us)
    assert without_quotas.in_time_fraction(1) < 0.8  # without quotas, the flood does harm tenant 1


def test_overloaded_tenants_share_in_proportion_to_their_weights() -> None:
    node = SharedNode({n: Quota() for n in range(10)}, {n: Demand(12.0) for n in range(10)}).run(
        60 * SECOND_US
    )
    assert jain([node.work_us[n] for n in range(10)]) > 0.98
    assert node.utilization() > 0.95
    node = SharedNode({n: Quota(weight=n) for n in (1, 2, 4)}, {n: Demand(60.0) for n in (1, 2, 4)}).run(
        60 * SECOND_US
    )
    total = sum(node.work_us.values())
    assert [node.work_us[n] / total for n in (1, 2, 4)] == pytest.approx([1 / 7, 2 / 7, 4 / 7], rel=0.05)


@pytest.mark.parametrize("hint", [True, False])
def test_tenants_get_equal_work_though_costs_differ_twenty_times(hint: bool) -> None:
    demands = {
        1: Demand(200.0, 20_000, class_index=2, hint=hint),
        2: Demand(30.0, 400_000, class_index=2, hint=hint),
    }
    node = SharedNode({1: Quota(), 2: Quota()}, demands).run(30 * SECOND_US)
    assert node.work_us[1] / node.work_us[2] == pytest.approx(1, rel=0.06)
    assert node.utilization() > 0.95


def test_unused_share_goes_to_others_and_earns_no_credit() -> None:
    demands = {1: Demand(60.0, starts_us=20 * SECOND_US), 2: Demand(60.0)}
    node = SharedNode({1: Quota(), 2: Quota()}, demands).run(20 * SECOND_US)
    assert node.utilization() > 0.95
    assert node.work_us[1] == 0
    before = node.work_us[2]
    node.run(22 * SECOND_US)  # 20 s without requests must not give it more than half of the next 2 s
    assert node.work_us[1] / (node.work_us[1] + node.work_us[2] - before) == pytest.approx(0.5, abs=0.12)


def test_guarantee_holds_for_any_weights_and_the_rest_is_shared_by_weight() -> None:
    quotas = {1: Quota(guarantee=0.6), 2: Quota(weight=4), 3: Quota(weight=8)}
    node = SharedNode(quotas, {n: Demand(60.0) for n in quotas}).run(30 * SECOND_US)
    total = sum(node.work_us.values())
    assert [node.work_us[n] / total for n in quotas] == pytest.approx([0.6, 0.4 / 3, 0.8 / 3], abs=0.03)


def test_ceiling_holds_while_cores_are_free() -> None:
    node = SharedNode({1: Quota(ceiling=0.25), 2: Quota()}, {1: Demand(60.0), 2: Demand(4.0)}).run(
        20 * SECOND_US
    )
    assert node.work_us[1] / (4 * node.now_us) == pytest.approx(0.25, abs=0.02)
    assert node.in_time_fraction(2) > 0.98


def test_long_runs_of_one_tenant_do_not_starve_others_of_slots() -> None:
    demands = {1: Demand(8.0, starts_us=2 * SECOND_US), 2: Demand(5.0, 20 * SECOND_US)}
    node = SharedNode({1: Quota(), 2: Quota()}, demands).run(30 * SECOND_US)
    assert node.in_time_fraction(1) > 0.95
    assert SharedNode(None, demands).run(30 * SECOND_US).in_time_fraction(1) < 0.2


def test_flood_of_idempotency_keys_leaves_memory_to_other_tenants() -> None:
    demands = {
        1: Demand(4.0, class_index=1, starts_us=10 * SECOND_US),
        2: Demand(1500.0, 1_000, class_index=1),
    }
    node = SharedNode({1: Quota(), 2: Quota()}, demands).run(16 * SECOND_US)
    assert node.in_time_fraction(1) == 1.0
    assert SharedNode(None, demands).run(16 * SECOND_US).in_time_fraction(1) < 0.5


def test_weight_change_under_load_takes_effect_at_once_and_preserves_balances() -> None:
    node = SharedNode({1: Quota(), 2: Quota()}, {1: Demand(60.0), 2: Demand(60.0)}).run(10 * SECOND_US)
    assert node.fair_queue is not None
    node.fair_queue.set_quota(2, Quota(weight=3))
    before = dict(node.work_us)
    node.run(25 * SECOND_US)
    gained = [node.work_us[n] - before[n] for n in (1, 2)]
    assert gained[1] / gained[0] == pytest.approx(3, rel=0.08)


def test_active_tenants_share_all_cores_among_hundreds_of_idle_ones() -> None:
    busy = (7, 200, 399)
    node = SharedNode({n: Quota() for n in range(400)}, {n: Demand(60.0) for n in busy}).run(15 * SECOND_US)
    assert node.utilization() > 0.95
    assert jain([node.work_us[n] for n in busy]) > 0.98


def test_classes_of_one_tenant_share_in_proportion_to_their_weights() -> None:
    fair_queue = FairQueue(2, 1000.0)
    fair_queue.set_quota(1, Quota(class_weights={0: 3.0, 1: 1.0}))
    held = [HeldItem(Request(n, n % 2, tenant=1)) for n in range(80)]
    taken = []
    for item in fair_queue.order(held, 0):
        fair_queue.run_started(item.request, 0)
        taken.append(item.request.class_index)
        if len(taken) == 40:
            break
    assert taken.count(0) == pytest.approx(30, abs=1)


@pytest.mark.parametrize("limits", [Quota(held=3), Quota(memory_kb=100), Quota(running=2)])
def test_limits_of_a_tenant_apply_to_it_alone(limits: Quota) -> None:
    fair_queue = FairQueue(2, 10_000.0)
    fair_queue.set_quota(1, limits)
    controller = started_controller(
        RequestClass(deadline_us=8_000_000),
        scheduler=fair_queue,
        memory_kb=10_000.0,
        running_memory_factor=4.0,
    )
    requests = [Request(n, 0, tenant=1, held_kb=20.0) for n in range(1, 31)]
    first = controller.handle(1, list(requests))
    rejected, started = ids(first, Reject), ids(first, Run)
    if limits.running:
        controller.concurrency.limit = 10.0
        assert len(started) == 2
        assert not rejected
        assert not ids(controller.handle(2, []), Run)  # slots are free, but the tenant has reached its limit
    else:
        assert len(rejected) >= 20
    other = controller.handle(3, [Request(100, 0, tenant=2, held_kb=20.0)])
    assert not select_actions(other, Reject)
    assert not limits.running or ids(other, Run) == [100]


@pytest.mark.parametrize(
    "fields",
    [{"weight": 0}, {"weight": math.inf}, {"guarantee": 1.1}, {"ceiling": 0}, {"class_weights": {0: 0.0}}],
)
def test_invalid_quotas_raise(fields: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="above 0"):
        Quota(**fields)  # type: ignore[arg-type]


class HeldItem:
    """A held request, as the controller passes it to the fair queue."""

    def __init__(self, request: Request) -> None:
        self.request = request
