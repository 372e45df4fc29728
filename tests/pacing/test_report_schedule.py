"""Schedule of reports to the service registry, simulated for many nodes."""

import math
from collections.abc import Callable
from random import Random

import pytest
from helpers import max_count

from reelusher.lab.fleet.virtual import VirtualClock
from reelusher.pacing.report_schedule import REGISTRATION_TTL_S, ReportFailure, ReportSchedule

REPLY_S = 0.002


class Reporter:
    """A node that reports to the registry on a virtual clock.

    `outcome` returns the outcome of an attempt at a given time: "counts" (success), "lost" (no reply), "away"
    (the registry is unavailable), or, as a decimal number, the seconds until a successful reply. A reply that
    takes longer than the time-out of the schedule counts as lost.
    """

    def __init__(self, clock: VirtualClock, seed: int, outcome: Callable[[float], str]) -> None:
        self.clock, self.outcome, self.schedule = clock, outcome, ReportSchedule(Random(seed))
        self.attempts: list[float] = []
        self.succeeded: list[float] = []
        clock.call_later(self.schedule.first_delay_s(), self.report)

    def report(self) -> None:
        sent_s = self.clock.now
        self.attempts.append(sent_s)
        outcome = self.outcome(sent_s)
        reply_s = REPLY_S if outcome in ("counts", "lost", "away") else float(outcome)
        timeout_s = self.schedule.timeout_s()
        if outcome == "away":
            self.clock.call_later(REPLY_S, self.on_outcome, ReportFailure.UNAVAILABLE, sent_s)
        elif outcome == "lost" or reply_s > timeout_s:
            self.clock.call_later(timeout_s, self.on_outcome, ReportFailure.NO_REPLY, sent_s)
        else:
            self.succeeded.append(sent_s + reply_s / 2)
            self.clock.call_later(reply_s, self.on_outcome, None, sent_s)

    def on_outcome(self, failure: ReportFailure | None, sent_s: float) -> None:
        now = self.clock.now
        delay_s = self.schedule.on_failure(failure, now) if failure else self.schedule.on_success(sent_s, now)
        self.clock.call_later(delay_s, self.report)

    def gaps(self) -> list[float]:
        """Return the seconds between successive successful reports."""
        return [after - before for before, after in zip(self.succeeded, self.succeeded[1:], strict=False)]


def simulate(nodes: int, seconds: float, outcome: Callable[[int], Callable[[float], str]]) -> list[Reporter]:
    """Run nodes for `seconds` of the virtual clock; `outcome` returns the `Reporter.outcome` of a node."""
    clock = VirtualClock()
    reporters = [Reporter(clock, seed, outcome(seed)) for seed in range(nodes)]
    clock.run(seconds)
    return reporters


def lossy(loss_rate: float, success: str = "counts") -> Callable[[int], Callable[[float], str]]:
    """Return outcomes of a network that loses this fraction of the attempts."""

    def for_node(seed: int) -> Callable[[float], str]:
        random = Random(f"net {seed}")
        return lambda now: "lost" if random.random() < loss_rate else success

    return for_node


def attempt_rate(reporters: list[Reporter], begin_s: float, end_s: float) -> float:
    """Return the mean number of attempts of each node per second between two times."""
    return (
        sum(begin_s <= time_s < end_s for reporter in reporters for time_s in reporter.attempts)
        / len(reporters)
        / (end_s - begin_s)
    )


@pytest.mark.parametrize(("loss_rate", "max_rate"), [(0.0, 0.6), (0.01, 0.6), (0.1, 0.8), (0.25, 1.5)])
def test_no_registration_expires_at_any_loss_rate_and_the_report_rate_is_bounded(
    loss_rate: float, max_rate: float
) -> None:
    reporters = simulate(100, 600, lossy(loss_rate))
    assert max(gap for reporter in reporters for gap in reporter.gaps()) < REGISTRATION_TTL_S
    assert attempt_rate(reporters, 60, 600) < max_rate


def test_reports_of_nodes_that_start_together_are_spread_from_the_first_second() -> None:
    times_s = [time_s for reporter in simulate(200, 120, lossy(0.0)) for time_s in reporter.attempts]
    mean = sum(time_s >= 10 for time_s in times_s) / 110 / 10  # attempts in 100 ms
    assert max_count([time_s for time_s in times_s if time_s >= 1]) < 2 * mean + 3 + 3 * math.sqrt(mean)
    assert max_count(times_s) < 200 * 0.1 / 0.25 * 1.5  # the first reports are spread over 0.25 s


@pytest.mark.parametrize("fault", ["away", "lost"])
def test_reports_back_off_during_an_outage_and_its_end_brings_no_burst(fault: str) -> None:
    reporters = simulate(200, 60, lambda seed: lambda now: fault if 20 <= now < 26 else "counts")
    times_s = [time_s for reporter in reporters for time_s in reporter.attempts]
    mean = 200 * attempt_rate(reporters, 10, 20) / 10  # attempts in 100 ms
    assert attempt_rate(reporters, 23, 26) < 1.5  # attempts of each node per second during the outage
    assert max_count([time_s for time_s in times_s if time_s >= 26]) < 2 * mean + 3 + math.sqrt(mean)
    recovery_times_s = [
        min(time_s for time_s in reporter.succeeded if time_s >= 26) - 26 for reporter in reporters
    ]
    # below `REGISTRATION_TTL_S`, after which a registration that was kept during the outage would expire
    assert max(recovery_times_s) < 2.0


def test_slow_registry_is_waited_for_and_receives_no_additional_reports() -> None:
    reporters = simulate(50, 300, lambda seed: lambda now: "0.5")
    assert attempt_rate(reporters, 60, 300) < 0.6
    assert max(gap for reporter in reporters for gap in reporter.gaps()) < REGISTRATION_TTL_S


def test_retry_after_is_followed_with_jitter() -> None:
    delays_s = [
        ReportSchedule(Random(seed)).on_failure(ReportFailure.UNAVAILABLE, 0.0, 8.0) for seed in range(200)
    ]
    assert min(delays_s) >= 8.0
    assert max(delays_s) <= 10.0
    assert max_count(delays_s) < 30
    assert ReportSchedule(Random(1)).on_failure(ReportFailure.UNAVAILABLE, 0.0, 1e9) < 80


def test_change_is_reported_soon_but_flapping_causes_no_flood() -> None:
    schedule = ReportSchedule(Random(1))
    assert schedule.on_success(10.0, 10.002) > 0.3
    assert 0.15 < schedule.change_delay_s(10.01) < 0.3
    assert schedule.change_delay_s(11.0) <= 0.1
