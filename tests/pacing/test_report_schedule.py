"""The schedule of reports, simulated for many nodes."""

import math
from collections.abc import Callable
from random import Random

import pytest
from helpers import max_count

from reelusher.lab.fleet.virtual import VirtualClock
from reelusher.pacing.report_schedule import REGISTRATION_TTL_S, ReportFailure, ReportSchedule

ANSWER_S = 0.002


class Reporter:
    """A node that reports on a virtual clock; `outcome` returns that of each attempt, by its time."""

    def __init__(self, line: VirtualClock, seed: int, outcome: Callable[[float], str]) -> None:
        self.line, self.outcome, self.schedule = line, outcome, ReportSchedule(Random(seed))
        self.attempts: list[float] = []
        self.succeeded: list[float] = []
        line.call_later(self.schedule.first_delay_s(), self.report)

    def report(self) -> None:
        sent_s = self.line.now
        self.attempts.append(sent_s)
        outcome = self.outcome(sent_s)
        answer_s = ANSWER_S if outcome in ("counts", "lost", "away") else float(outcome)
        timeout_s = self.schedule.timeout_s()
        if outcome == "away":
            self.line.call_later(ANSWER_S, self.on_outcome, ReportFailure.UNAVAILABLE, sent_s)
        elif outcome == "lost" or answer_s > timeout_s:
            self.line.call_later(timeout_s, self.on_outcome, ReportFailure.NO_REPLY, sent_s)
        else:
            self.succeeded.append(sent_s + answer_s / 2)
            self.line.call_later(answer_s, self.on_outcome, None, sent_s)

    def on_outcome(self, failure: ReportFailure | None, sent_s: float) -> None:
        now = self.line.now
        wait_s = self.schedule.on_failure(failure, now) if failure else self.schedule.on_success(sent_s, now)
        self.line.call_later(wait_s, self.report)

    def gaps(self) -> list[float]:
        return [after - before for before, after in zip(self.succeeded, self.succeeded[1:], strict=False)]


def simulate(nodes: int, seconds: float, outcome: Callable[[int], Callable[[float], str]]) -> list[Reporter]:
    line = VirtualClock()
    made = [Reporter(line, seed, outcome(seed)) for seed in range(nodes)]
    line.run(seconds)
    return made


def lossy(loss_rate: float, answer: str = "counts") -> Callable[[int], Callable[[float], str]]:
    def for_node(seed: int) -> Callable[[float], str]:
        random = Random(f"net {seed}")
        return lambda now: "lost" if random.random() < loss_rate else answer

    return for_node


def rate(made: list[Reporter], since: float, until: float) -> float:
    return sum(since <= at < until for one in made for at in one.attempts) / len(made) / (until - since)


@pytest.mark.parametrize(("loss_rate", "max_rate"), [(0.0, 0.6), (0.01, 0.6), (0.1, 0.8), (0.25, 1.5)])
def test_no_registration_expires_at_any_loss_rate_and_the_report_rate_is_bounded(
    loss_rate: float, max_rate: float
) -> None:
    made = simulate(100, 600, lossy(loss_rate))
    assert max(gap for one in made for gap in one.gaps()) < REGISTRATION_TTL_S
    assert rate(made, 60, 600) < max_rate


def test_reports_of_nodes_that_start_together_are_spread_from_the_first_second() -> None:
    times = [at for one in simulate(200, 120, lossy(0.0)) for at in one.attempts]
    mean = sum(at >= 10 for at in times) / 110 / 10
    assert max_count([at for at in times if at >= 1]) < 2 * mean + 3 + 3 * math.sqrt(mean)
    assert max_count(times) < 200 * 0.1 / 0.25 * 1.5  # at the start: no faster than the first phase allows


@pytest.mark.parametrize("fault", ["away", "lost"])
def test_reports_back_off_during_an_outage_and_its_end_brings_no_burst(fault: str) -> None:
    made = simulate(200, 60, lambda seed: lambda now: fault if 20 <= now < 26 else "counts")
    times = [at for one in made for at in one.attempts]
    mean = 200 * rate(made, 10, 20) / 10
    assert rate(made, 23, 26) < 1.5  # attempts of each node a second during the outage
    assert max_count([at for at in times if at >= 26]) < 2 * mean + 3 + math.sqrt(mean)
    back = [min(at for at in one.succeeded if at >= 26) - 26 for one in made]
    assert max(back) < 2.0  # before a registration kept over the outage would expire


def test_slow_registry_is_waited_for_and_receives_no_more_reports() -> None:
    made = simulate(50, 300, lambda seed: lambda now: "0.5")
    assert rate(made, 60, 300) < 0.6
    assert max(gap for one in made for gap in one.gaps()) < REGISTRATION_TTL_S


def test_retry_after_is_followed_with_jitter() -> None:
    waits = [
        ReportSchedule(Random(seed)).on_failure(ReportFailure.UNAVAILABLE, 0.0, 8.0) for seed in range(200)
    ]
    assert min(waits) >= 8.0
    assert max(waits) <= 10.0
    assert max_count(waits) < 30
    assert ReportSchedule(Random(1)).on_failure(ReportFailure.UNAVAILABLE, 0.0, 1e9) < 80


def test_change_is_reported_soon_but_flapping_causes_no_flood() -> None:
    schedule = ReportSchedule(Random(1))
    assert schedule.on_success(10.0, 10.002) > 0.3
    assert 0.15 < schedule.change_delay_s(10.01) < 0.3
    assert schedule.change_delay_s(11.0) <= 0.1
