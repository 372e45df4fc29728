"""Tasks and faults in the event loop."""

import pytest
from core_harness import CoreHarness

from reelusher.core.messages import (
    EventLoopTask,
)
from reelusher.policy.actions import Action
from reelusher.policy.events import Event


def test_failing_task_raises_in_its_caller_and_not_in_the_event_loop() -> None:
    harness = CoreHarness()
    task = EventLoopTask(lambda: 1 // 0)
    harness.process(task, harness.request("a"))
    with pytest.raises(ZeroDivisionError):
        task.future.result(0)
    assert harness.backend.commands[-1] == ("start", "a")


def test_fault_in_a_step_is_raised_in_debug_builds_and_ticks_continue() -> None:
    harness = CoreHarness()
    harness.core._controller.handle = failing_handler  # type: ignore[method-assign]
    with pytest.raises(ZeroDivisionError):
        harness.process(later_us=200_000)
    assert harness.count("owner.failed") == 1
    harness.core._ticks.pending = 0
    harness.core._controller.handle = lambda now_us, events: []  # type: ignore[method-assign]
    harness.process()
    assert harness.core._ticks.pending == 1


def failing_handler(now_us: int, events: list[Event]) -> list[Action]:
    raise ZeroDivisionError
