"""Changes while nodes are killed: the books catch what is planted, and processes break no rule of theirs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from reelusher.codecs import ajp13
from reelusher.lab.capacity import fill
from reelusher.lab.capacity.books import ACTIVE, SUSPENDED, HistoryChecker, Row, expected_answer
from reelusher.lab.capacity.live import Proof, Rig, percentiles, play, revision_of
from reelusher.lab.capacity.wires import Callers, NoAnswerError, NodeUnreachableError

FIRST, SECOND, THIRD = (1, ACTIVE), (2, ACTIVE), (3, ACTIVE)


def made(*rows: Row, name: str = "t") -> HistoryChecker:
    """Return books of a tenant that had these rows, a second apart."""
    books = HistoryChecker()
    for number, row in enumerate(rows):
        books.begin(name, "put", row, float(number)).in_flight = True
        books.note_acked(name, (1, number + 1), number + 0.5)
    return books


def look(books: HistoryChecker, row: Row, node: str = "n1", now: float = 10.0) -> None:
    books.note_row(node, "t", row, books.floor(node, "t"), now)


def answer(books: HistoryChecker, row: Row, node: str = "n1", now: float = 10.0) -> None:
    books.note_answer(node, "t", *expected_answer(row), books.floor(node, "t"), now, now - 0.1)


@pytest.mark.parametrize("note", [look, answer])
@pytest.mark.parametrize(
    ("shown", "breaks"),
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
def test_a_node_shows_the_old_or_the_new_row_and_never_goes_back(
    note: Callable[..., None], shown: tuple[Row, ...], breaks: bool
) -> None:
    books = made(FIRST, SECOND, THIRD)
    for row in shown:
        note(books, row)
    # a request's answer tells rows apart by the worker, and five rows on it is the same one again
    told = breaks and not (note is answer and shown == ((7, ACTIVE),))
    assert bool(books.violations) is told, books.violations


def test_what_was_asked_for_before_a_node_went_on_may_still_show_what_stood_then() -> None:
    books = made(FIRST, SECOND)
    floor = books.floor("n1", "t")
    look(books, SECOND)
    books.note_row("n1", "t", FIRST, floor, 10.1)
    assert books.violations == []
    look(books, FIRST)
    assert len(books.violations) == 1


def test_a_refused_change_shows_nowhere_and_an_open_one_may_show_or_not() -> None:
    for status, breaks in ((503, True), (0, False)):
        books = made(FIRST)
        books.begin("t", "put", SECOND, 5.0).in_flight = True
        (books.note_indeterminate if not status else books.note_refused)("t", status)
        look(books, SECOND)
        assert bool(books.violations) is breaks, books.violations


def test_a_change_that_is_found_made_must_have_had_a_try_whose_outcome_was_open() -> None:
    for doubtful in (True, False):
        books = made(FIRST)
        books.begin("t", "put", SECOND, 5.0).in_flight = True
        if doubtful:
            books.note_indeterminate("t", 0)
        else:
            books.note_refused("t", 503)
        books.note_already_applied("t", 412)
        assert bool(books.violations) is not doubtful


def test_a_removed_tenant_is_gone_and_one_on_its_way_out_tells_nothing() -> None:
    books = made(FIRST, None)
    look(books, (1, "draining"))
    look(books, None)
    answer(books, None)
    assert books.violations == []
    books = made(FIRST, (1, SUSPENDED), None)
    books.has_final_rows("n1", {}, 11.0)
    answer(books, FIRST)
    assert len(books.violations) == 1


def test_the_end_tells_of_lost_changes_older_revisions_and_changes_without_an_answer() -> None:
    books = made(FIRST, SECOND)
    books.check_final_state({"n1": {"t": SECOND}}, {"n1": {"t": (1, 2)}})
    assert books.violations == []
    books.check_final_state({"n1": {"t": FIRST}, "n2": {}}, {"n1": {"t": (1, 1)}, "n2": {}})
    assert len(books.violations) == 4
    books = made(FIRST)
    books.begin("t", "delete", None, 5.0)
    books.check_final_state({}, {})
    assert books.violations == ["t: delete never had a definite answer"]


def test_a_revision_that_does_not_go_on_is_told() -> None:
    books = made(FIRST, SECOND)
    books.begin("t", "put", THIRD, 5.0)
    books.note_acked("t", (1, 2), 5.1)
    assert len(books.violations) == 1


def test_an_answer_that_stays_out_is_told_unless_its_node_was_away() -> None:
    books = made(FIRST)
    books.note_unavailable("n1", 5.0)
    books.note_unanswered("n1", "t", 4.9, 5.1, "closed")
    books.note_available("n1", 6.0)
    assert books.violations == []
    assert books.counts["unanswered_excused"] == 1
    books.note_unanswered("n1", "t", 6.1, 7.0, "closed")
    books.note_extra_answer("n1", "t")
    assert len(books.violations) == 2


def test_the_time_until_a_change_is_everywhere_counts_those_that_were_there_all_along() -> None:
    books = made(FIRST)
    for node, at_s in (("n1", 0.7), ("n2", 1.5), ("n3", 9.5)):
        look(books, FIRST, node, at_s)
    books.note_unavailable("n3", 3.0)
    books.note_available("n3", 9.0)
    assert books.propagation_times_s(["n1", "n2", "n3"], {"t": "n1"}) == {"calm": [1.0], "writer_away": []}
    assert books.propagation_times_s(["n1", "n2", "n3"], {"t": "n3"}) == {"calm": [1.0], "writer_away": []}
    books.note_cut(["n1"], 1.2, True)
    books.note_cut(["n1"], 1.3, False)
    assert books.propagation_times_s(["n1", "n2", "n3"], {"t": "n1"}) == {"calm": [], "writer_away": [1.0]}


def test_a_revision_is_read_from_an_entity_tag_with_an_epoch_or_without() -> None:
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


def test_a_caller_notes_more_than_one_answer_and_an_answer_that_stays_out() -> None:
    whole = ajp13.write_response(ajp13.ResponseHead(200, "OK"), b"w1", True, ajp13.DEFAULT_PACKET_BYTES)
    strays: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for sends in (whole, whole + whole, b""):
            await reader.read(1 << 16)
            writer.write(sends)
        writer.close()

    async def work() -> None:
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
            await Callers(callers.place).ask("t", 5.0, lambda: None)

    asyncio.run(asyncio.wait_for(work(), 20))
    assert strays == ["second"]


# Real processes


def test_eight_nodes_lose_no_change_while_they_are_killed_stopped_and_cut_off(tmp_path: Path) -> None:
    rig = play(Proof(nodes=8, kills=20, tenants=16, rate=40), tmp_path)
    assert rig.books.violations == []
    assert rig.broke["kills"] == 20
    assert rig.broke["kills_of_writers"] >= 8
    assert rig.broke["stops"]
    assert rig.broke["restarts"]
    assert rig.broke["cuts"]
    assert rig.broke["copies_lost"]
    assert rig.books.counts["changes_acked"] > 50
    assert rig.books.counts["answers_200"] > 100


@pytest.mark.parametrize("parts", [1, 3])
def test_hollow_members_join_real_nodes_and_have_every_change_in_the_end(tmp_path: Path, parts: int) -> None:
    """Whether one process holds all of them or several a part each."""
    rig = play(Proof(nodes=3, kills=0, hollow=40, hollow_parts=parts, tenants=6, rate=10), tmp_path)
    assert rig.books.violations == []
    assert rig.figures["hollow"]["right"] == 40


def test_a_node_that_serves_gets_a_whole_table_and_its_callers_get_all_answers(tmp_path: Path) -> None:
    figures = fill.play(5000, 50.0, 2.0, tmp_path, 60.0)
    assert figures["broken"] == []
    assert figures["during_answers"] > 10
    assert not [name for name in figures if "unanswered" in name or name == "twice"], figures


def test_a_node_with_a_journal_loses_no_change_when_it_is_killed(tmp_path: Path) -> None:
    rig: Rig = play(Proof(nodes=1, kills=5, tenants=4, rate=20, replicated=False), tmp_path)
    assert rig.books.violations == []
    assert rig.broke["kills"] == 5
    assert rig.books.counts["changes_acked"] >= 8
