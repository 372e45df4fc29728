"""Estimates of run times, and the decisions based on them."""

from helpers import ids, started_controller

from reelusher.policy.actions import (
    Reject,
    Run,
)
from reelusher.policy.events import (
    Outcome,
    Request,
    RunEnded,
)


def test_small_requests_do_not_distort_the_estimate_of_large_ones() -> None:
    """A wait of 100 ms in each run is 100 times the work of a small request, a quarter of a large one's."""
    controller = started_controller()
    for n, (work_us, duration_us) in enumerate([(1_000, 101_000), (400_000, 500_000)] * 200, 1):
        controller.handle(n, [Request(n, 0, expected_work_us=work_us)])
        controller.handle(n, [RunEnded(n, Outcome.OK, duration_us)])
    controller.handle(1_000, [Request(1_001, 0, expected_work_us=400_000, waited_us=1_100_000)])
    assert ids(controller.actions, Run) == [1_001]


def test_request_that_can_no_longer_meet_its_objective_is_rejected() -> None:
    controller = started_controller()
    controller.handle(0, [Request(1, 0)])
    controller.handle(1, [RunEnded(1, Outcome.OK, 900_000)])
    assert ids(controller.handle(2, [Request(2, 0, waited_us=1_500_000)]), Reject) == [2]
    assert ids(controller.handle(3, [Request(3, 0, waited_us=700_000)]), Run) == [3]
