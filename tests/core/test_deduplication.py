"""Deduplication of retries."""

from core_harness import OK, CoreHarness
from helpers import KEYED

from reelusher.core.messages import (
    Result,
    RunFinished,
    Verdict,
)


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
