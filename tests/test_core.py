"""The core under a controlled clock: keys by arrival time, races for an answer, the deadline guard."""

import gc
import weakref
from dataclasses import replace
from typing import Any

import pytest
from helpers import KEYED, MUST_CALL, SAFE, settings

from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.event_loop import Core
from reelusher.core.idempotency_table import IdempotencyTable
from reelusher.core.messages import (
    Answer,
    CallersDisconnected,
    CallFinished,
    CallRequested,
    DrainRequested,
    EventLoopTask,
    GaugesReceived,
    IncomingRequest,
    RequestArrived,
    Result,
    RunFinished,
    RunsLost,
    Verdict,
)
from reelusher.core.timers import Timers
from reelusher.policy.actions import Action
from reelusher.policy.events import Event, Outcome

OK, ERROR = Outcome.OK, Outcome.ERROR
CLASSES = (SAFE, MUST_CALL, KEYED)


class Backend:
    """Runner and dependency that record their commands."""

    def __init__(self) -> None:
        self.said: list[tuple[Any, ...]] = []

    def start(self, request: IncomingRequest, class_name: str) -> None:
        self.said.append(("start", request.run_id))

    def request_gauges(self, cookie: str) -> bool:
        return False

    def __getattr__(self, command: str) -> Any:
        return lambda *arguments: self.said.append((command, *arguments))


class CoreHarness:
    """A core, its backend, and the answers it gave."""

    def __init__(self, **changes: Any) -> None:
        self.time = 1_000_000_000_000
        self.backend = Backend()
        self.answers: dict[str, list[Answer]] = {}
        self.core = Core(
            settings(*CLASSES, **changes),
            [],
            1,
            self.backend,
            self.backend,
            clock=Clock(*[lambda: self.time * 1000] * 2),
        )
        self.core.process_batch([])

    def request(
        self, run_id: str, class_index: int = 0, key: str = "", age_us: int = 0, tenant: str = "t"
    ) -> RequestArrived:
        answers = self.answers.setdefault(run_id, [])
        return RequestArrived(
            IncomingRequest(
                run_id, class_index, b"", self.time - age_us, answers.append, tenant, idempotency_key=key
            )
        )

    def process(self, *messages: Any, later_us: int = 0) -> None:
        self.time += later_us
        self.core.process_batch(list(messages))

    def verdicts(self, run_id: str) -> list[Verdict]:
        return [answer.verdict for answer in self.answers[run_id]]

    def count(self, name: str) -> int:
        return self.core.counters.snapshot().get(name, 0)


def test_clock_ignores_steps_of_the_system_clock_and_reports_its_offset() -> None:
    unix, monotonic = 5_000_000, 1_000
    clock = Clock(lambda: unix, lambda: monotonic)
    assert (clock.now(), clock.unix_ahead_us()) == (5_000, 0)
    unix, monotonic = 2_000_000, 9_000  # a step back, and 8 us go by
    assert (clock.now(), clock.unix_ahead_us()) == (5_008, -3_008)
    unix = 9_000_000
    assert (clock.now(), clock.unix_ahead_us()) == (5_008, 3_992)


def test_clock_offset_is_kept_when_the_clocks_were_not_read_together() -> None:
    """A thread that was held up between them would take its own delay for a step, and move a window by it."""
    times = iter([0, 0, 5_000_000])
    clock = Clock(lambda: 0, lambda: next(times))
    assert clock.unix_ahead_us() == 0


def test_timers_run_in_order_and_those_set_meanwhile_wait_for_the_next_batch() -> None:
    timers, ran = Timers(), list[int]()
    for when in (3, 1, 2, 9):
        timers.at(when, lambda when=when: ran.append(when))  # type: ignore[misc]
    timers.at(2, lambda: timers.at(0, lambda: ran.append(0)))
    timers.run_due(3, lambda action: action())
    assert ran == [1, 2, 3]
    assert timers.next_us() == 0


def test_entry_names_the_original_by_arrival_time_however_late_a_retry_is_read() -> None:
    table = IdempotencyTable(retention_us=100)
    key = ("t", 0, "k")
    table.put(key, 7, expires_us=50)
    assert table.original(key, 50) == 7
    assert table.original(key, 51) == 0
    table.remove_expired(140, lambda original_id: False)
    assert table.original(key, 40) == 7  # read long after the entry expired, but received before
    table.remove_expired(151, lambda original_id: True)
    assert len(table) == 1  # its original is still open
    table.remove_expired(151, lambda original_id: False)
    assert len(table) == 0
    assert table.original(key, 40) == 0


def test_newer_original_takes_a_key_over_and_keeps_it_when_the_older_is_removed() -> None:
    table = IdempotencyTable(retention_us=0)
    key = ("t", 0, "k")
    table.put(key, 1, 10)
    table.put(key, 2, 90)
    table.remove(1)
    assert table.original(key, 50) == 2


def test_stored_results_stay_within_their_memory_and_the_oldest_are_dropped_first() -> None:
    table = IdempotencyTable(retention_us=0, max_result_bytes=25)
    for original_id in (1, 2, 3):
        table.put(("t", 0, str(original_id)), original_id, 99)
    dropped = [table.store_result(entry, Result(b"x" * 10)) for entry in list(table)]
    assert dropped == [0, 0, 1]
    assert [entry.result is None for entry in table] == [True, False, False]
    assert all(entry.finished for entry in table)


def test_retry_received_within_the_window_is_attached_though_read_after_it() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a", 2, "k"))
    harness.process(RunFinished("a", OK, 1, Result(b"r")))
    harness.process(
        harness.request("b", 2, "k", age_us=1_000_000), later_us=KEYED.idempotency_window_us + 500_000
    )
    assert harness.verdicts("b") == [Verdict.SERVED]
    assert harness.answers["b"][0].result == Result(b"r")
    for _period in range(60):  # the late try has harness the module wary of arrivals for a while
        harness.process(later_us=100_000)
    harness.process(harness.request("c", 2, "k"))
    assert [said[1] for said in harness.backend.said if said[0] == "start"] == ["a", "c"]


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


def test_deadline_guard_answers_what_the_controller_has_not() -> None:
    """No tick comes for a while, as after a pause: the deadline alone must bring the answer."""
    harness = CoreHarness(answer_slack_us=80_000)
    harness.process(harness.request("a"))
    harness.core._controller.handle = lambda now_us, events: []  # type: ignore[method-assign]
    harness.process(later_us=SAFE.deadline_us + 41_000)
    assert harness.verdicts("a") == [Verdict.FAILED]
    assert harness.count("answers.by_guard") == 1


def test_finished_request_is_released_long_before_its_deadline() -> None:
    """Guards that held the attempt kept every body for its whole deadline: memory grew with the rate."""
    harness, answers = CoreHarness(), []

    def reply(answer: Answer) -> None:  # stands for the request: whoever holds one holds the other
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


def test_call_without_a_reported_end_is_cancelled() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a", 1))
    harness.process(CallRequested("a", 5, b"q"))
    command, run_id, ticket, until_us, body = harness.backend.said[-1]
    assert (command, run_id, body) == ("call", "a", b"q")
    harness.process(later_us=until_us - harness.time + 61_000)
    assert ("cancel", "a", ticket) in harness.backend.said
    harness.process(CallFinished("a", ticket, OK, b"late"))
    assert harness.count("calls.late_reply") == 1
    assert not any(said[0] == "deliver_reply" for said in harness.backend.said)


def test_answered_attempt_cancels_its_call() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a", 1))
    harness.process(CallRequested("a", 5, b"q"))
    harness.process(CallersDisconnected(("a",)))
    assert harness.backend.said[-1][0] == "cancel"
    assert harness.verdicts("a") == []


def test_run_that_never_started_is_rejected_and_frees_its_key() -> None:
    harness = CoreHarness()
    harness.process(harness.request("a", 2, "k"))
    harness.process(RunFinished("a", Outcome.NOT_STARTED))
    assert harness.verdicts("a") == [Verdict.REJECTED]
    harness.process(harness.request("b", 2, "k"))
    assert harness.backend.said[-1] == ("start", "b")


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


def test_failing_task_raises_in_its_caller_and_not_in_the_event_loop() -> None:
    harness = CoreHarness()
    task = EventLoopTask(lambda: 1 // 0)
    harness.process(task, harness.request("a"))
    with pytest.raises(ZeroDivisionError):
        task.future.result(0)
    assert harness.backend.said[-1] == ("start", "a")


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


def test_invariants_are_asserted_in_debug_builds() -> None:
    counters = Counters()
    assert counters.must(True, "fine")
    with pytest.raises(AssertionError, match="one answer a request"):
        counters.must(False, "one answer a request")
