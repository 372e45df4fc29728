"""Tests of the eviction of tenants from the fair queue, which must give them no advantage."""

from reelusher.policy.events import Request
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.flow_state import DEMAND_TIME_CONSTANT_US
from reelusher.tenancy.quota import Quota


def request(request_id: int, tenant: int) -> Request:
    return Request(request_id, 0, 0, 0, tenant, 20.0, 0, 0, 0, 0)


def test_tenant_ahead_of_virtual_time_or_of_its_clocks_is_not_evicted() -> None:
    fair_queue = FairQueue(1, 1000.0)
    fair_queue.set_quota(1, Quota(guarantee=0.5, ceiling=0.5))
    first_request = request(1, 1)
    fair_queue.request_arrived(first_request, 0)
    assert not fair_queue.evict(1, 0)  # it has demand
    fair_queue.run_started(first_request, 0)
    fair_queue.run_ended(first_request, 400_000, 400_000)
    later_us = 20 * DEMAND_TIME_CONSTANT_US
    assert not fair_queue.evict(1, later_us)  # its finish tag is ahead
    for number in range(3):
        fair_queue.run_started(request(10 + number, 2), later_us)
        fair_queue.run_ended(request(10 + number, 2), 400_000, later_us)
    assert fair_queue.virtual_time >= 400_000
    flow = fair_queue.flows[1]
    assert flow.ceiling_clock
    assert flow.guarantee_clock
    flow.ceiling_clock.tat_us = later_us + 1.0
    assert not fair_queue.evict(1, later_us)  # it is over its ceiling
    flow.ceiling_clock.tat_us = 0.0
    flow.guarantee_clock.tat_us = later_us - 1.0
    assert not fair_queue.evict(1, later_us)  # its guarantee has less credit than that of a new tenant
    flow.guarantee_clock.tat_us = 0.0
    assert fair_queue.evict(1, later_us)
    assert 1 not in fair_queue.flows
    assert fair_queue.evict(1, later_us)


def test_virtual_time_advances_while_nothing_is_held() -> None:
    fair_queue = FairQueue(1, 1000.0)
    fair_queue.advances_while_idle = True
    first_request = request(1, 1)
    fair_queue.run_started(first_request, 0)
    fair_queue.run_ended(first_request, 400_000, 400_000)
    fair_queue.period_elapsed(500_000)
    assert not fair_queue.evict(1, 500_000)
    fair_queue.period_elapsed(850_000)
    assert not fair_queue.evict(1, 850_000)
    # while a request is held, only the start of runs advances virtual time
    fair_queue.holding_changed(request(2, 2), 1, 20.0)
    for now_us in range(900_000, 9_000_000, 100_000):
        fair_queue.period_elapsed(now_us)
    assert not fair_queue.evict(1, 9_000_000)
    fair_queue.holding_changed(request(2, 2), -1, -20.0)
    fair_queue.period_elapsed(9_100_000)
    fair_queue.period_elapsed(9_200_000)
    assert fair_queue.evict(1, 9_200_000)


def test_usage_of_an_unknown_tenant_does_not_add_it() -> None:
    fair_queue = FairQueue(1, 1000.0)
    assert fair_queue.usage(7, 0).held == 0
    assert not fair_queue.flows
