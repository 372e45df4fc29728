"""The soak in short: fixed seeds with real processes, and histories that break each rule of its checker."""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from reelusher.lab.fleet.account import Attempt, ClientRequest
from reelusher.lab.fleet.plan import Fault
from soak.history import GRACE_S, MAX_EXTRA_DESCRIPTORS, MAX_RESIDENT_MB, MAX_START_S, SoakHistory
from soak.plan import draw
from soak.rig import play

SECONDS = 10.0
NODE = "n1"
SILENT_LINK = Fault("silent", 33.0, 6.0, frozenset(["callers.a"]), frozenset([NODE]))


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_processes_under_faults_signals_and_bad_clients_break_no_rule(seed: int, tmp_path: Path) -> None:
    history = play(draw(seed, SECONDS), tmp_path)
    assert history.violations == []
    assert history.counts["served"] > 0


def test_run_is_drawn_from_its_seed_alone() -> None:
    assert draw(5, SECONDS) == draw(5, SECONDS)
    assert len({draw(seed, SECONDS) for seed in range(20)}) == 20


def send(history: SoakHistory, run_id: str, at_s: float, key: str = "k") -> Attempt:
    request_class = history.plan.classes[1]
    return history.record_attempt(at_s, run_id, NODE, ClientRequest(request_class, key, b"body", at_s))


def serve(history: SoakHistory, run_id: str, at_s: float) -> Attempt:
    attempt = send(history, run_id, at_s)
    history.record_run(at_s + 0.1, NODE, run_id)
    history.record_answer(at_s + 0.2, attempt, "served", b"+body")
    return attempt


def answer_twice(history: SoakHistory) -> None:
    history.record_answer(0.3, serve(history, "t1", 0.0), "failed", b"")


def answer_late(history: SoakHistory) -> None:
    history.record_answer(9.0, send(history, "t1", 0.0), "refused", b"")


def answer_late_beside_pauses(history: SoakHistory) -> None:
    history.record_pause(NODE, 1.0, 2.0)
    history.record_core_wait(NODE, 2.0, 3.0, 0.5)
    history.record_answer(5.7, send(history, "t1", 0.0), "refused", b"")


def close_under_a_request(history: SoakHistory) -> None:
    history.record_no_answer(1.0, send(history, "t1", 0.0), excused=False)


def never_answer(history: SoakHistory) -> None:
    send(history, "t1", 0.0)
    history.check_unanswered(20.0)


def serve_what_no_run_made(history: SoakHistory) -> None:
    history.record_answer(0.1, send(history, "t1", 0.0), "served", b"+other")


def run_a_key_again_after_a_kill(history: SoakHistory) -> None:
    serve(history, "t1", 0.0)
    history.record_process_end(NODE, 1.0)
    serve(history, "t2", 2.0)


def run_after_the_grace(history: SoakHistory) -> None:
    history.record_term(NODE, 0.0)
    serve(history, "t1", GRACE_S + 0.1)


def outlive_the_stop(history: SoakHistory) -> None:
    history.record_core_wait(NODE, 2.0, 3.0, 0.5)
    history.record_exit(NODE, 4.0, None, 4.0)


def leave_with_an_error(history: SoakHistory) -> None:
    history.record_exit(NODE, 1.0, 1, 4.0)


def start_slowly(history: SoakHistory) -> None:
    history.record_start(NODE, MAX_START_S + 0.1)


def keep_descriptors(history: SoakHistory) -> None:
    history.record_resources(NODE, 20, 21 + MAX_EXTRA_DESCRIPTORS, 30.0)


def use_too_much_memory(history: SoakHistory) -> None:
    history.record_resources(NODE, 20, 20, MAX_RESIDENT_MB + 1)


def log_an_error(history: SoakHistory) -> None:
    history.record_log(NODE, "19:00:00.000 ERROR thread failed: writer")


def keep_key_locks(history: SoakHistory) -> None:
    history.record_key_locks(3, 2)


@pytest.mark.parametrize(
    ("break_rule", "violation"),
    [
        (answer_twice, "n1 answered t1 twice: served, failed"),
        (answer_late, "n1 answered t1 4.870 s too late"),
        (answer_late_beside_pauses, "n1 answered t1 1.570 s too late"),
        (close_under_a_request, "n1 closed under t1, written 1.000 s before"),
        (never_answer, "n1 never answered t1"),
        (serve_what_no_run_made, "n1 served t1 with what no run made for it"),
        (run_a_key_again_after_a_kill, "n1 ran key k twice: t1 and t2"),
        (run_after_the_grace, "n1 ran t1, sent 1.100 s after SIGTERM"),
        (outlive_the_stop, "n1 had not exited 4.0 s after SIGTERM, 0.5 s of them without a core"),
        (leave_with_an_error, "n1 left with status 1"),
        (start_slowly, "n1 accepted no connection within 10 s of its start"),
        (keep_descriptors, "n1 has 69 descriptors at rest, 20 before"),
        (use_too_much_memory, "n1 has 97 MB resident"),
        (log_an_error, "n1 logged: 19:00:00.000 ERROR thread failed: writer"),
        (keep_key_locks, "3 key lock files for 2 keyed requests"),
    ],
)
def test_checker_finds_each_broken_rule(break_rule: Callable[[SoakHistory], None], violation: str) -> None:
    history = SoakHistory(draw(1, SECONDS).plan)
    break_rule(history)
    assert history.violations == [violation]


def test_checker_accepts_what_the_rules_allow() -> None:
    history = SoakHistory(draw(1, SECONDS).plan)
    serve(history, "t1", 0.0)
    history.record_term(NODE, 1.0)
    serve_before_the_grace_ends = send(history, "t2", 1.5, "k2")
    history.record_run(1.6, NODE, "t2")
    history.record_answer(1.7, serve_before_the_grace_ends, "served", b"+body")
    history.record_exit(NODE, 3.0, 0, 4.0)
    history.record_pause(NODE, 4.0, 6.0)
    history.record_answer(9.0, send(history, "t3", 3.5, "k3"), "refused", b"")
    history.plan = replace(history.plan, faults=(SILENT_LINK,))
    history.record_answer(40.0, send(history, "t5", 30.0, "k5"), "refused", b"")
    serve(history, "t4", 21.0)  # the window of its key is over
    history.record_log(NODE, "19:00:00.000 ERROR reload: rejected, the current configuration stays in use: x")
    assert history.violations == []
