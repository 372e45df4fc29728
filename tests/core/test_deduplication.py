"""Deduplication of retries."""

from core_harness import OK, CoreHarness
from helpers import KEYED

from reelusher.core.attempts import AttemptState
from reelusher.core.messages import (
    CallersDisconnected,
    Result,
    RunFinished,
    Verdict,
)

HELD_AFTER = 16  # requests in progress beyond which a core of the harness holds others


def test_retry_received_within_the_window_is_attached_though_read_after_it() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a", 2, "k"))
    harness.process(RunFinished("a", OK, 1, Result(b"r")))
    harness.process(
        harness.request("b", 2, "k", age_us=1_000_000), later_us=KEYED.idempotency_window_us + 500_000
    )
    assert harness.verdicts("b") == [Verdict.SERVED]
    assert harness.answers["b"][0].result == Result(b"r")
    for _period in range(60):  # the late retry raised the rejection probability: let it decay
        harness.process(later_us=100_000)
    harness.process(harness.request("c", 2, "k"))
    assert [command[1] for command in harness.backend.commands if command[0] == "start"] == ["a", "c"]


def held_original_with_a_retry() -> CoreHarness:
    """Return a core that holds the keyed request `a`, to which the retry `b` is attached."""
    harness = CoreHarness()
    for number in range(HELD_AFTER):
        harness.process(harness.request(f"other-{number}"))
    harness.process(harness.request("a", 2, "k"))
    harness.process(harness.request("b", 2, "k"))
    original, retry = (harness.core.attempts.by_run_id(run_id) for run_id in "ab")
    assert original is not None
    assert retry is not None
    assert (original.state, retry.state) == (AttemptState.HELD, AttemptState.ATTACHED)
    return harness


def disconnect(harness: CoreHarness, run_id: str) -> None:
    """Let the caller of an open attempt disconnect."""
    attempt = harness.core.attempts.by_run_id(run_id)
    assert attempt is not None
    harness.process(CallersDisconnected((attempt.request,)))


def end_others(harness: CoreHarness) -> list[str]:
    """End the runs that are in progress, and return the run ids of the keyed ones that start then."""
    for number in range(HELD_AFTER):
        harness.process(RunFinished(f"other-{number}", OK, 1, Result(b"r")), later_us=10_000)
    return [
        command[1] for command in harness.backend.commands if command[0] == "start" and command[1] in "ab"
    ]


def test_held_original_whose_caller_has_left_still_runs_for_its_retry() -> None:
    """Guard against an error for a retry that never ran: it failed with the original that was dropped."""
    harness = held_original_with_a_retry()
    disconnect(harness, "a")
    assert end_others(harness) == ["a"]
    harness.process(RunFinished("a", OK, 1, Result(b"r")))
    assert harness.verdicts("b") == [Verdict.SERVED]


def test_held_original_is_not_run_once_the_callers_of_all_its_attempts_have_left() -> None:
    harness = held_original_with_a_retry()
    disconnect(harness, "a")
    disconnect(harness, "b")
    assert end_others(harness) == []
    harness.process(harness.request("b", 2, "k"))
    assert [command[1] for command in harness.backend.commands if command[0] == "start"][-1] == "b"
