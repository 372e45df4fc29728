"""The core under a clock of the test's own: keys by arrival, races for an answer, guards."""

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
KINDS = (SAFE, MUST_CALL, KEYED)


class Backend:
    """Notes what the core asks of runner and dependency."""

    def __init__(self) -> None:
        self.said: list[tuple[Any, ...]] = []

    def start(self, request: IncomingRequest, class_name: str) -> None:
        self.said.append(("start", request.run_id))

    def request_gauges(self, cookie: str) -> bool:
        return False

    def __getattr__(self, word: str) -> Any:
        return lambda *words: self.said.append((word, *words))


class World:
    """A core, its backends, and the answers it gave."""

    def __init__(self, **changes: Any) -> None:
        self.time = 1_000_000_000_000
        self.backend = Backend()
        self.answers: dict[str, list[Answer]] = {}
        self.core = Core(
            settings(*KINDS, **changes),
            [],
            1,
            self.backend,
            self.backend,
            clock=Clock(*[lambda: self.time * 1000] * 2),
        )
        self.core.process_batch([])

    def request(
        self, call: str, kind: int = 0, key: str = "", age_us: int = 0, tenant: str = "t"
    ) -> RequestArrived:
        answers = self.answers.setdefault(call, [])
        return RequestArrived(
            IncomingRequest(call, kind, b"", self.time - age_us, answers.append, tenant, idempotency_key=key)
        )

    def turn(self, *messages: Any, later_us: int = 0) -> None:
        self.time += later_us
        self.core.process_batch(list(messages))

    def verdicts(self, call: str) -> list[Verdict]:
        return [answer.verdict for answer in self.answers[call]]

    def count(self, name: str) -> int:
        return self.core.counters.snapshot().get(name, 0)


def test_the_clock_goes_on_while_the_system_clock_is_stepped_and_says_how_far_that_is_off() -> None:
    unix, monotonic = 5_000_000, 1_000
    clock = Clock(lambda: unix, lambda: monotonic)
    assert (clock.now(), clock.unix_ahead_us()) == (5_000, 0)
    unix, monotonic = 2_000_000, 9_000  # a step back, and 8 us go by
    assert (clock.now(), clock.unix_ahead_us()) == (5_008, -3_008)
    unix = 9_000_000
    assert (clock.now(), clock.unix_ahead_us()) == (5_008, 3_992)


def test_clocks_that_were_not_read_together_are_not_compared() -> None:
    """A thread that was held up between them would take its own delay for a step, and move a window by it."""
    times = iter([0, 0, 5_000_000])
    clock = Clock(lambda: 0, lambda: next(times))
    assert clock.unix_ahead_us() == 0


def test_timers_run_in_order_and_what_they_set_waits_for_the_next_turn() -> None:
    timers, ran = Timers(), list[int]()
    for when in (3, 1, 2, 9):
        timers.at(when, lambda when=when: ran.append(when))  # type: ignore[misc]
    timers.at(2, lambda: timers.at(0, lambda: ran.append(0)))
    timers.run_due(3, lambda action: action())
    assert ran == [1, 2, 3]
    assert timers.next_us() == 0


def test_an_entry_names_the_original_by_arrival_however_late_a_try_is_read() -> None:
    table = IdempotencyTable(retention_us=100)
    key = ("t", 0, "k")
    table.put(key, 7, expires_us=50)
    assert table.original(key, 50) == 7
    assert table.original(key, 51) == 0
    table.remove_expired(140, lambda holder: False)
    assert table.original(key, 40) == 7  # read long after the entry ran out, but it arrived before
    table.remove_expired(151, lambda holder: True)
    assert len(table) == 1  # its try is still in hand
    table.remove_expired(151, lambda holder: False)
    assert len(table) == 0
    assert table.original(key, 40) == 0


def test_a_newer_holder_takes_a_key_over_and_keeps_it_when_the_older_goes() -> None:
    table = IdempotencyTable(retention_us=0)
    key = ("t", 0, "k")
    table.put(key, 1, 10)
    table.put(key, 2, 90)
    table.remove(1)
    assert table.original(key, 50) == 2


def test_kept_results_stay_within_their_memory_and_the_oldest_go_first() -> None:
    table = IdempotencyTable(retention_us=0, max_result_bytes=25)
    for holder in (1, 2, 3):
        table.put(("t", 0, str(holder)), holder, 99)
    dropped = [table.store_result(entry, Result(b"x" * 10)) for entry in list(table)]
    assert dropped == [0, 0, 1]
    assert [entry.result is None for entry in table] == [True, False, False]
    assert all(entry.finished for entry in table)


def test_a_repeat_that_arrived_within_the_window_joins_though_it_is_read_after_it() -> None:
    made = World()
    made.turn(made.request("a", 2, "k"))
    made.turn(RunFinished("a", OK, 1, Result(b"r")))
    made.turn(made.request("b", 2, "k", age_us=1_000_000), later_us=KEYED.idempotency_window_us + 500_000)
    assert made.verdicts("b") == [Verdict.SERVED]
    assert made.answers["b"][0].result == Result(b"r")
    for _period in range(60):  # the late try has made the module wary of arrivals for a while
        made.turn(later_us=100_000)
    made.turn(made.request("c", 2, "k"))
    assert [said[1] for said in made.backend.said if said[0] == "start"] == ["a", "c"]


@pytest.mark.parametrize("first", ["end", "due", "term"])
def test_end_due_time_and_drain_race_for_one_answer(first: str) -> None:
    made = World()
    made.turn(made.request("a"))
    end, term = RunFinished("a", OK, 1, Result(b"r")), DrainRequested(made.time + 3_000_000, made.time)
    if first == "end":
        made.turn(end, term, later_us=7_900_000)
    elif first == "due":
        made.turn(later_us=8_100_000)
        made.turn(end, term)
    else:
        made.turn(term, end)
    made.turn(later_us=5_000_000)
    assert made.verdicts("a") == [Verdict.FAILED if first == "due" else Verdict.SERVED]
    assert len(made.core.attempts) == 0


def test_the_guard_answers_what_nobody_else_has() -> None:
    """No tick comes for a while, as after a pause: the due time alone must bring the answer."""
    made = World(answer_slack_us=80_000)
    made.turn(made.request("a"))
    made.core._controller.handle = lambda now_us, events: []  # type: ignore[method-assign]
    made.turn(later_us=SAFE.deadline_us + 41_000)
    assert made.verdicts("a") == [Verdict.FAILED]
    assert made.count("answers.by_guard") == 1


def test_what_is_over_is_let_go_long_before_it_was_due() -> None:
    """Guards that held the attempt kept every body for its whole deadline: memory grew with the rate."""
    made, answers = World(), []

    def reply(answer: Answer) -> None:  # stands for the request: whoever holds one holds the other
        answers.append(answer.verdict)

    watched = weakref.ref(reply)
    made.turn(RequestArrived(replace(made.request("a").request, reply=reply)))
    made.turn(RunFinished("a", OK, result=Result(b"r")))
    del reply
    gc.collect()
    assert answers == [Verdict.SERVED]
    assert watched() is None


def test_a_drain_brings_the_guard_before_the_stop() -> None:
    made = World()
    made.turn(made.request("a"))
    made.core._controller.handle = lambda now_us, events: []  # type: ignore[method-assign]
    made.turn(DrainRequested(made.time + 3_000_000, made.time))
    made.turn(later_us=2_851_000)
    assert made.verdicts("a") == [Verdict.FAILED]


def test_a_call_whose_end_nobody_tells_is_given_up() -> None:
    made = World()
    made.turn(made.request("a", 1))
    made.turn(CallRequested("a", 5, b"q"))
    word, call, ticket, until_us, body = made.backend.said[-1]
    assert (word, call, body) == ("call", "a", b"q")
    made.turn(later_us=until_us - made.time + 61_000)
    assert ("cancel", "a", ticket) in made.backend.said
    made.turn(CallFinished("a", ticket, OK, b"late"))
    assert made.count("calls.late_reply") == 1
    assert not any(said[0] == "deliver_reply" for said in made.backend.said)


def test_an_answered_attempt_gives_its_call_up() -> None:
    made = World()
    made.turn(made.request("a", 1))
    made.turn(CallRequested("a", 5, b"q"))
    made.turn(CallersDisconnected(("a",)))
    assert made.backend.said[-1][0] == "cancel"
    assert made.verdicts("a") == []


def test_a_run_that_never_started_is_refused_and_frees_its_key() -> None:
    made = World()
    made.turn(made.request("a", 2, "k"))
    made.turn(RunFinished("a", Outcome.NOT_STARTED))
    assert made.verdicts("a") == [Verdict.REJECTED]
    made.turn(made.request("b", 2, "k"))
    assert made.backend.said[-1] == ("start", "b")


def test_lost_runs_fail_and_are_not_run_again() -> None:
    made = World()
    made.turn(made.request("a", 2, "k"))
    made.turn(made.request("b", 2, "k"), RunsLost(made.backend))
    made.turn(made.request("c", 2, "k"))
    assert [made.verdicts(call) for call in "abc"] == [[Verdict.FAILED]] * 3
    assert made.count("runs.started") == 1


def test_ends_and_calls_of_runs_that_are_not_known_are_counted() -> None:
    made = World()
    made.turn(
        RunFinished("x", OK),
        CallRequested("x", 1, b""),
        CallFinished("x", 1, OK),
        GaugesReceived("x", (1.0,)),
    )
    assert made.count("runs.unknown_end") == made.count("runs.unknown_call") == 1


def test_a_failing_question_reaches_who_asked_and_not_the_owner() -> None:
    made = World()
    ask = EventLoopTask(lambda: 1 // 0)
    made.turn(ask, made.request("a"))
    with pytest.raises(ZeroDivisionError):
        ask.future.result(0)
    assert made.backend.said[-1] == ("start", "a")


def test_a_fault_in_the_owner_is_told_at_once_in_debug_builds_and_ticks_go_on() -> None:
    made = World()
    made.core._controller.handle = broken  # type: ignore[method-assign]
    with pytest.raises(ZeroDivisionError):
        made.turn(later_us=200_000)
    assert made.count("owner.failed") == 1
    made.core._ticks.pending = 0
    made.core._controller.handle = lambda now_us, events: []  # type: ignore[method-assign]
    made.turn()
    assert made.core._ticks.pending == 1


def broken(now_us: int, events: list[Event]) -> list[Action]:
    raise ZeroDivisionError


def test_what_must_hold_is_asserted_in_debug_builds() -> None:
    counters = Counters()
    assert counters.must(True, "fine")
    with pytest.raises(AssertionError, match="one answer a request"):
        counters.must(False, "one answer a request")
