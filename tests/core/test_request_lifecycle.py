"""Races for the single answer to a request, its deadline, and the ends of its run."""

import gc
import weakref
from dataclasses import replace

import pytest
from core_harness import OK, CoreHarness
from helpers import SAFE

from reelusher.core.messages import (
    Answer,
    CallFinished,
    CallRequested,
    DrainRequested,
    GaugesReceived,
    RequestArrived,
    Result,
    RunFinished,
    RunsLost,
    Verdict,
)
from reelusher.policy.events import Outcome


@pytest.mark.parametrize("first", ["end", "due", "term"])
def test_run_end_deadline_and_drain_race_for_one_answer(first: str) -> None:
    harness = CoreHarness()
    harness.process(harness.request("a"))
    end, term = RunFinished("a", OK, 1, Result(b"r")), DrainRequested(harness.time + 3_000_000, harness.time)
    if first == "end":
        harness.process(end, term, later_us=7_900_000)
    elif first == "due":
        harness.process(later_us=8_100_000)
        harness.process(end, term)
    else:
        harness.process(term, end)
    harness.process(later_us=5_000_000)
    assert harness.verdicts("a") == [Verdict.FAILED if first == "due" else Verdict.SERVED]
    assert len(harness.core.attempts) == 0


def test_deadline_guard_answers_attempts_that_the_controller_has_not_answered() -> None:
    """Without ticks or decisions, as after a pause, the deadline alone must cause the answer."""
    harness = CoreHarness(answer_slack_us=80_000)
    harness.process(harness.request("a"))
    harness.core._controller.handle = lambda now_us, events: []  # type: ignore[method-assign]
    harness.process(later_us=SAFE.deadline_us + 41_000)
    assert harness.verdicts("a") == [Verdict.FAILED]
    assert harness.count("answers.by_guard") == 1


def test_finished_request_is_released_long_before_its_deadline() -> None:
    """Guards that held the attempt kept each body until its deadline: memory grew with the request rate."""
    harness, answers = CoreHarness(), []

    def reply(answer: Answer) -> None:  # only the request refers to it: it is freed with it
        answers.append(answer.verdict)

    watched = weakref.ref(reply)
    harness.process(RequestArrived(replace(harness.request("a").request, reply=reply)))
    harness.process(RunFinished("a", OK, result=Result(b"r")))
    del reply
    gc.collect()
    assert answers == [Verdict.SERVED]
    assert watched() is None


def test_drain_moves_the_deadline_guard_before_the_stop() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a"))
    harness.core._controller.handle = lambda now_us, events: []  # type: ignore[method-assign]
    harness.process(DrainRequested(harness.time + 3_000_000, harness.time))
    harness.process(later_us=2_851_000)
    assert harness.verdicts("a") == [Verdict.FAILED]


def test_grace_counts_from_the_signal_and_a_later_request_only_shortens_the_drain() -> None:
    harness = CoreHarness()
    started_us = harness.time
    # the signal is noticed half a second late; the grace period is 2 s
    harness.process(DrainRequested(started_us + 4_000_000, started_us - 500_000))
    harness.process(DrainRequested(started_us + 5_000_000, started_us - 500_000))
    assert harness.core.requests.stop_us == started_us + 4_000_000
    harness.time += 1_490_000
    harness.process(harness.request("in time"))
    harness.time += 20_000
    harness.process(harness.request("after"))
    assert ("start", "in time") in harness.backend.commands
    assert harness.verdicts("after") == [Verdict.REJECTED]
    harness.process(DrainRequested(started_us + 3_000_000, started_us - 500_000))
    assert harness.core.requests.stop_us == started_us + 3_000_000


def test_run_that_never_started_is_rejected_and_frees_its_key() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a", 2, "k"))
    harness.process(RunFinished("a", Outcome.NOT_STARTED))
    assert harness.verdicts("a") == [Verdict.REJECTED]
    harness.process(harness.request("b", 2, "k"))
    assert harness.backend.commands[-1] == ("start", "b")


def test_lost_runs_fail_and_are_not_retried() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a", 2, "k"))
    harness.process(harness.request("b", 2, "k"), RunsLost(harness.backend))
    harness.process(harness.request("c", 2, "k"))
    assert [harness.verdicts(run_id) for run_id in "abc"] == [[Verdict.FAILED]] * 3
    assert harness.count("runs.started") == 1


def test_ends_and_calls_of_unknown_runs_are_counted() -> None:
    harness = CoreHarness()
    harness.process(
        RunFinished("x", OK),
        CallRequested("x", 1, b""),
        CallFinished("x", 1, OK),
        GaugesReceived("x", (1.0,)),
    )
    assert harness.count("runs.unknown_end") == harness.count("runs.unknown_call") == 1
