"""Random rejection, and the retry hints that rejected callers get."""

from helpers import ids, select_actions, started_controller, tick

from reelusher.policy.actions import (
    Reject,
    Run,
)
from reelusher.policy.admission import MAX_REJECTION_PROBABILITY, MIN_RETRY_AFTER_US
from reelusher.policy.controller import Controller
from reelusher.policy.events import (
    Event,
    Outcome,
    Request,
    RunEnded,
)
from reelusher.policy.timing import PERIOD_US


def fill(controller: Controller, age_us: int) -> None:
    """Hold requests until the oldest of them has waited for `age_us`."""
    for n in range(1, 12):
        controller.handle(0, [Request(n, 0)])
    for step in range(1, age_us // PERIOD_US + 1):
        tick(controller, step * PERIOD_US, 1.0, 2)


def test_rejection_probability_grows_with_the_oldest_age_and_decays() -> None:
    controller = started_controller()
    assert controller.admission.rejection_probability == 0
    fill(controller, 600_000)
    early = controller.admission.rejection_probability
    fill(controller := started_controller(), 1_200_000)
    assert 0 < early < controller.admission.rejection_probability <= MAX_REJECTION_PROBABILITY
    for _step in range(1, 40):
        controller.handle(controller.now_us, [RunEnded(n, Outcome.OK, 1) for n in range(1, 12)])
        tick(controller, controller.now_us + PERIOD_US, 0.1, 0)
    assert controller.admission.rejection_probability < 0.001


def test_hung_worker_with_idle_cores_rejects_too() -> None:
    """The cores of a hung worker are idle, so G stays at 0 while more and more requests are held."""
    controller = started_controller()
    for n in range(1, 12):
        controller.handle(0, [Request(n, 0)])
    controller.concurrency.limit = 2.0
    for step in range(1, 9):
        tick(controller, step * PERIOD_US, 0.0, 2)
    assert controller.utilization.degraded_fraction == 0.0
    assert controller.admission.rejection_probability > 0
    answers = [
        select_actions(controller.handle(controller.now_us, [Request(n, 0)]), Reject) for n in range(100, 300)
    ]
    assert 0 < sum(map(len, answers)) < 200


def test_retry_after_is_bounded_by_what_callers_follow() -> None:
    controller = started_controller(max_retry_after_us=1_000_000)
    assert select_actions(controller.handle(0, [Request(1, 0, waited_us=8_000_000)]), Reject) == [
        Reject(1, MIN_RETRY_AFTER_US, False)
    ]
    fill(controller := started_controller(max_retry_after_us=1_000_000), 1_700_000)
    controller.admission.rejection_probability, controller.admission.recent_rate = 1.0, 1.0
    assert select_actions(controller.handle(controller.now_us, [Request(99, 0)]), Reject) == [
        Reject(99, 1_000_000, True)
    ]


def test_retries_elsewhere_are_discouraged_only_in_a_full_fleet() -> None:
    """Callers that retry rejected requests elsewhere raise the arrivals of every worker.

    If only one worker is slow, it gets no more arrivals than usual.
    """
    for arrivals_when_slow, expected in ((1, False), (3, True)):
        controller = started_controller()
        request_id = 0
        for step in range(1, 400):
            slow = step > 200
            events: list[Event] = []
            for _ in range(arrivals_when_slow if slow else 1):
                request_id += 1
                events.append(Request(request_id, 0, waited_us=1_000_000 if slow else 0))
            tick(controller, step * PERIOD_US, 0.5, 1)
            actions = controller.handle(controller.now_us, events)
            controller.handle(controller.now_us, [RunEnded(n, Outcome.OK, 100) for n in ids(actions, Run)])
        rejections = select_actions(
            [*actions, *controller.handle(controller.now_us, [Request(0, 0, waited_us=9_000_000)])], Reject
        )
        assert rejections[-1].no_retry is expected


def test_retries_are_rejected_while_waits_are_long() -> None:
    fill(controller := started_controller(), 600_000)
    controller.admission.rejection_probability = 0.0
    assert select_actions(controller.handle(controller.now_us, [Request(99, 0, is_retry=True)]), Reject)
    assert not select_actions(controller.handle(controller.now_us, [Request(98, 0)]), Reject)
    controller = started_controller()
    assert not select_actions(controller.handle(0, [Request(99, 0, is_retry=True)]), Reject)
