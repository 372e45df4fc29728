"""Changes while nodes are killed: the checker finds planted violations, and real processes commit none."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from reelusher.codecs import ajp13
from reelusher.lab.capacity import fill
from reelusher.lab.capacity.books import ACTIVE, SUSPENDED, HistoryChecker, Row, expected_answer
from reelusher.lab.capacity.fault_run import FaultRun, percentiles
from reelusher.lab.capacity.fault_run_plan import FaultRunPlan
from reelusher.lab.capacity.live import run_plan
from reelusher.lab.capacity.tenant_changes import revision_of
from reelusher.lab.capacity.wires import Callers, NoAnswerError, NodeUnreachableError

FIRST, SECOND, THIRD = (1, ACTIVE), (2, ACTIVE), (3, ACTIVE)


def checker_of(*rows: Row, name: str = "t") -> HistoryChecker:
    """Return a checker with the history of one tenant that had these rows.

    The changes begin one second apart, the first at 0 s, and each is acknowledged after 0.5 s.
    """
    checker = HistoryChecker()
    for number, row in enumerate(rows):
        checker.begin(name, "put", row, float(number)).in_flight = True
        checker.note_acked(name, (1, number + 1), number + 0.5)
    return checker


def observe_row(checker: HistoryChecker, row: Row, node: str = "n1", now: float = 10.0) -> None:
    checker.note_row(node, "t", row, checker.floor(node, "t"), now)


def observe_answer(checker: HistoryChecker, row: Row, node: str = "n1", now: float = 10.0) -> None:
    checker.note_answer(node, "t", *expected_answer(row), checker.floor(node, "t"), now, now - 0.1)


@pytest.mark.parametrize("observe", [observe_row, observe_answer])
@pytest.mark.parametrize(
    ("shown", "violates"),
    [
        ((FIRST, SECOND, THIRD), False),
        ((None, THIRD), False),
        ((SECOND, SECOND), False),
        ((SECOND, FIRST), True),
        ((SECOND, None), True),
        (((4, ACTIVE),), True),
        (((7, ACTIVE),), True),
    ],
)
def test_node_may_show_the_old_or_the_new_row_but_no_earlier_one(
    observe: Callable[..., None], shown: tuple[Row, ...], violates: bool
) -> None:
    checker = checker_of(FIRST, SECOND, THIRD)
    for row in shown:
        observe(checker, row)
    # An answer identifies a row only by its worker, and five rows later that is the same worker again.
    expected = violates and not (observe is observe_answer and shown == ((7, ACTIVE),))
    assert bool(checker.violations) is expected, checker.violations


def test_request_sent_before_a_node_advanced_may_show_the_earlier_row() -> None:
    checker = checker_of(FIRST, SECOND)
    floor = checker.floor("n1", "t")
    observe_row(checker, SECOND)
    checker.note_row("n1", "t", FIRST, floor, 10.1)
    assert checker.violations == []
    observe_row(checker, FIRST)
    assert len(checker.violations) == 1


def test_rejected_change_must_not_be_shown_and_a_change_without_definite_answer_may_be() -> None:
    for status, violates in ((503, True), (0, False)):
        checker = checker_of(FIRST)
        checker.begin("t", "put", SECOND, 5.0).in_flight = True
        (checker.note_indeterminate if not status else checker.note_refused)("t", status)
        observe_row(checker, SECOND)
        assert bool(checker.violations) is violates, checker.violations


def test_change_found_already_made_requires_an_earlier_attempt_without_definite_answer() -> None:
    for doubtful in (True, False):
        checker = checker_of(FIRST)
        checker.begin("t", "put", SECOND, 5.0).in_flight = True
        if doubtful:
            checker.note_indeterminate("t", 0)
        else:
            checker.note_refused("t", 503)
        checker.note_already_applied("t", 412)
        assert bool(checker.violations) is not doubtful


def test_deleted_tenant_must_not_be_served_and_a_draining_one_is_ignored() -> None:
    checker = checker_of(FIRST, None)
    observe_row(checker, (1, "draining"))
    observe_row(checker, None)
    observe_answer(checker, None)
    assert checker.violations == []
    checker = checker_of(FIRST, (1, SUSPENDED), None)
    checker.has_final_rows("n1", {}, 11.0)
    observe_answer(checker, FIRST)
    assert len(checker.violations) == 1


def test_final_check_reports_lost_changes_older_revisions_and_changes_without_an_answer() -> None:
    checker = checker_of(FIRST, SECOND)
    checker.check_final_state({"n1": {"t": SECOND}}, {"n1": {"t": (1, 2)}})
    assert checker.violations == []
    checker.check_final_state({"n1": {"t": FIRST}, "n2": {}}, {"n1": {"t": (1, 1)}, "n2": {}})
    assert len(checker.violations) == 4
    checker = checker_of(FIRST)
    checker.begin("t", "delete", None, 5.0)
    checker.check_final_state({}, {})
    assert checker.violations == ["t: delete never had a definite answer"]


def test_revision_that_does_not_increase_is_reported() -> None:
    checker = checker_of(FIRST, SECOND)
    checker.begin("t", "put", THIRD, 5.0)
    checker.note_acked("t", (1, 2), 5.1)
    assert len(checker.violations) == 1


def test_missing_answer_is_reported_unless_its_node_was_down() -> None:
    checker = checker_of(FIRST)
    checker.note_unavailable("n1", 5.0)
    checker.note_unanswered("n1", "t", 4.9, 5.1, "closed")
    checker.note_available("n1", 6.0)
    assert checker.violations == []
    assert checker.counts["unanswered_excused"] == 1
    checker.note_unanswered("n1", "t", 6.1, 7.0, "closed")
    checker.note_extra_answer("n1", "t")
    assert len(checker.violations) == 2


def test_time_until_a_change_is_on_all_nodes_leaves_out_nodes_that_were_down_or_cut_off() -> None:
    checker = checker_of(FIRST)
    for node, at_s in (("n1", 0.7), ("n2", 1.5), ("n3", 9.5)):
        observe_row(checker, FIRST, node, at_s)
    checker.note_unavailable("n3", 3.0)
    checker.note_available("n3", 9.0)
    assert checker.propagation_times_s(["n1", "n2", "n3"], {"t": "n1"}) == {"calm": [1.0], "writer_away": []}
    assert checker.propagation_times_s(["n1", "n2", "n3"], {"t": "n3"}) == {"calm": [1.0], "writer_away": []}
    checker.note_cut(["n1"], 1.2, True)
    checker.note_cut(["n1"], 1.3, False)
    assert checker.propagation_times_s(["n1", "n2", "n3"], {"t": "n1"}) == {"calm": [], "writer_away": [1.0]}


def test_revision_is_read_from_an_entity_tag_with_or_without_an_epoch() -> None:
    assert revision_of({"etag": '"3.14"'}) == (3, 14)
    assert revision_of({"etag": '"14"'}) == (0, 14)
    assert revision_of({}) is None
    assert percentiles([]) == {"count": 0}
    assert percentiles([float(one) for one in range(1, 101)]) == {
        "count": 100,
        "median_s": 50.5,
        "p99_s": 100.0,
        "most_s": 100.0,
    }


def test_caller_reports_a_second_answer_and_a_missing_one() -> None:
    answer_packets = ajp13.write_response(
        ajp13.ResponseHead(200, "OK"), b"w1", True, ajp13.DEFAULT_PACKET_BYTES
    )
    strays: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for packets in (answer_packets, answer_packets + answer_packets, b""):
            await reader.read(1 << 16)
            writer.write(packets)
        writer.close()

    async def check_caller() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        callers = Callers(server.sockets[0].getsockname())
        assert await callers.ask("t", 5.0, lambda: strays.append("first")) == (200, "w1")
        assert not strays
        assert await callers.ask("t", 5.0, lambda: strays.append("second")) == (200, "w1")
        while not strays:
            await asyncio.sleep(0.01)
        with pytest.raises(NoAnswerError):
            await callers.ask("t", 5.0, lambda: strays.append("third"))
        server.close()
        callers.close()
        with pytest.raises(NodeUnreachableError):
            await Callers(callers.address).ask("t", 5.0, lambda: None)

    asyncio.run(asyncio.wait_for(check_caller(), 20))
    assert strays == ["second"]


# Real processes


def test_eight_nodes_lose_no_change_while_they_are_killed_paused_and_cut_off(tmp_path: Path) -> None:
    run = run_plan(FaultRunPlan(nodes=8, kills=20, tenants=16, requests_per_s=40), tmp_path)
    assert run.checker.violations == []
    assert run.fault_counts["kills"] == 20
    assert run.fault_counts["kills_of_writers"] >= 8
    assert run.fault_counts["stops"]
    assert run.fault_counts["restarts"]
    assert run.fault_counts["cuts"]
    assert run.fault_counts["copies_lost"]
    assert run.checker.counts["changes_acked"] > 50
    assert run.checker.counts["answers_200"] > 100


@pytest.mark.parametrize("parts", [1, 3])
def test_simulated_members_join_real_nodes_and_have_every_change_at_the_end(
    tmp_path: Path, parts: int
) -> None:
    """One process runs all simulated members, or each of several runs a shard of them."""
    run = run_plan(
        FaultRunPlan(
            nodes=3, kills=0, simulated_members=40, member_process_count=parts, tenants=6, requests_per_s=10
        ),
        tmp_path,
    )
    assert run.checker.violations == []
    assert run.figures["hollow"]["right"] == 40


def test_node_under_load_receives_a_large_table_and_answers_all_requests(tmp_path: Path) -> None:
    figures = fill.play(5000, 50.0, 2.0, tmp_path, 60.0)
    assert figures["broken"] == []
    assert figures["during_answers"] > 10
    assert not [name for name in figures if "unanswered" in name or name == "twice"], figures


def test_node_with_a_journal_loses_no_change_when_it_is_killed(tmp_path: Path) -> None:
    run: FaultRun = run_plan(
        FaultRunPlan(nodes=1, kills=5, tenants=4, requests_per_s=20, replicated=False), tmp_path
    )
    assert run.checker.violations == []
    assert run.fault_counts["kills"] == 5
    assert run.checker.counts["changes_acked"] >= 8
