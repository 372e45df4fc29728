"""Calls of runs to the dependency."""

from core_harness import OK, CoreHarness

from reelusher.core.messages import (
    CallersDisconnected,
    CallFinished,
    CallRequested,
)


def test_call_without_a_reported_end_is_cancelled() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a", 1))
    harness.process(CallRequested("a", 5, b"q"))
    command, run_id, ticket, until_us, body = harness.backend.commands[-1]
    assert (command, run_id, body) == ("call", "a", b"q")
    harness.process(later_us=until_us - harness.time + 61_000)
    assert ("cancel", "a", ticket) in harness.backend.commands
    harness.process(CallFinished("a", ticket, OK, b"late"))
    assert harness.count("calls.late_reply") == 1
    assert not any(command[0] == "deliver_reply" for command in harness.backend.commands)


def test_answered_attempt_cancels_its_call() -> None:
    harness = CoreHarness()
    arrival = harness.request("a", 1)
    harness.process(arrival)
    harness.process(CallRequested("a", 5, b"q"))
    harness.process(CallersDisconnected((arrival.request,)))
    assert harness.backend.commands[-1][0] == "cancel"
    assert harness.verdicts("a") == []
