"""Changes while nodes are killed: the books report planted faults, and real processes break no rule."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from reelusher.codecs import ajp13
from reelusher.lab.capacity import fill
from reelusher.lab.capacity.books import ACTIVE, SUSPENDED, Books, Row, answers_for
from reelusher.lab.capacity.live import Proof, Rig, percentiles, play, revision_of
from reelusher.lab.capacity.wires import Callers, NoAnswerError, NodeUnreachableError

FIRST, SECOND, THIRD = (1, ACTIVE), (2, ACTIVE), (3, ACTIVE)


def books_of(*rows: Row, name: str = "t") -> Books:
    """Return books of one tenant whose acknowledged changes, a second apart, stored these rows."""
    books = Books()
    for number, row in enumerate(rows):
        books.begin(name, "put", row, float(number)).out = True
        books.note_acked(name, (1, number + 1), number + 0.5)
    return books


def show(books: Books, row: Row, node: str = "n1", now: float = 10.0) -> None:
    """Note that a node shows a row."""
    books.note_row(node, "t", row, books.floor(node, "t"), now)


def answer(books: Books, row: Row, node: str = "n1", now: float = 10.0) -> None:
    """Note that a node answers a request as the row demands."""
    books.note_answer(node, "t", *answers_for(row), books.floor(node, "t"), now, now - 0.1)


@pytest.mark.parametrize("note", [show, answer])
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
def test_node_shows_the_old_or_the_new_row_and_never_an_earlier_one_again(
    note: Callable[..., None], shown: tuple[Row, ...], breaks: bool
) -> None:
    books = books_of(FIRST, SECOND, THIRD)
    for row in shown:
        note(books, row)
    # an answer tells only the row's worker, of which there are five: row 7 has the same one as row 2
    is_reported = breaks and not (note is answer and shown == ((7, ACTIVE),))
    assert bool(books.broken) is is_reported, books.broken


def test_request_sent_before_a_node_showed_a_new_row_may_return_the_old_one() -> None:
    books = books_of(FIRST, SECOND)
    floor = books.floor("n1", "t")
    show(books, SECOND)
    books.note_row("n1", "t", FIRST, floor, 10.1)
    assert books.broken == []
    show(books, FIRST)
    assert len(books.broken) == 1


def test_rejected_change_is_shown_nowhere_and_one_of_unknown_outcome_may_be_shown() -> None:
    for status, breaks in ((503, True), (0, False)):
        books = books_of(FIRST)
        books.begin("t", "put", SECOND, 5.0).out = True
        (books.note_doubtful if not status else books.note_refused)("t", status)
        show(books, SECOND)
        assert bool(books.broken) is breaks, books.broken


def test_change_that_a_retry_finds_made_needs_an_earlier_try_of_unknown_outcome() -> None:
    for doubtful in (True, False):
        books = books_of(FIRST)
        books.begin("t", "put", SECOND, 5.0).out = True
        if doubtful:
            books.note_doubtful("t", 0)
        else:
            books.note_refused("t", 503)
        books.note_made_before("t", 412)
        assert bool(books.broken) is not doubtful


def test_removed_tenant_is_shown_no_more_and_a_draining_one_is_not_checked() -> None:
    books = books_of(FIRST, None)
    show(books, (1, "draining"))
    show(books, None)
    answer(books, None)
    assert books.broken == []
    books = books_of(FIRST, (1, SUSPENDED), None)
    books.settles("n1", {}, 11.0)
    answer(books, FIRST)
    assert len(books.broken) == 1


def test_final_check_reports_lost_changes_older_revisions_and_changes_without_an_answer() -> None:
    books = books_of(FIRST, SECOND)
    books.close({"n1": {"t": SECOND}}, {"n1": {"t": (1, 2)}})
    assert books.broken == []
    books.close({"n1": {"t": FIRST}, "n2": {}}, {"n1": {"t": (1, 1)}, "n2": {}})
    assert len(books.broken) == 4
    books = books_of(FIRST)
    books.begin("t", "delete", None, 5.0)
    books.close({}, {})
    assert books.broken == ["t: delete never had a definite answer"]


def test_revision_that_does_not_increase_is_reported() -> None:
    books = books_of(FIRST, SECOND)
    books.begin("t", "put", THIRD, 5.0)
    books.note_acked("t", (1, 2), 5.1)
    assert len(books.broken) == 1


def test_missing_answer_is_reported_unless_its_node_was_away() -> None:
    books = books_of(FIRST)
    books.note_away("n1", 5.0)
    books.note_lost("n1", "t", 4.9, 5.1, "closed")
    books.note_back("n1", 6.0)
    assert books.broken == []
    assert books.counts["unanswered_excused"] == 1
    books.note_lost("n1", "t", 6.1, 7.0, "closed")
    books.note_twice("n1", "t")
    assert len(books.broken) == 2


def test_time_until_all_nodes_show_a_change_leaves_out_nodes_that_were_away() -> None:
    books = books_of(FIRST)
    for node, at_s in (("n1", 0.7), ("n2", 1.5), ("n3", 9.5)):
        show(books, FIRST, node, at_s)
    books.note_away("n3", 3.0)
    books.note_back("n3", 9.0)
    assert books.in_force(["n1", "n2", "n3"], {"t": "n1"}) == {"calm": [1.0], "writer_away": []}
    assert books.in_force(["n1", "n2", "n3"], {"t": "n3"}) == {"calm": [1.0], "writer_away": []}
    books.note_cut(["n1"], 1.2, True)
    books.note_cut(["n1"], 1.3, False)
    assert books.in_force(["n1", "n2", "n3"], {"t": "n1"}) == {"calm": [], "writer_away": [1.0]}


def test_revision_is_read_from_an_entity_tag_with_an_epoch_or_without() -> None:
    assert revision_of({"etag": '"3.14"'}) == (3, 14)
    assert revision_of({"etag": '"14"'}) == (0, 14)
    assert revision_of({}) is None
    assert percentiles([]) == {"count": 0}
    assert percentiles([float(number) for number in range(1, 101)]) == {
        "count": 100,
        "median_s": 50.5,
        "p99_s": 100.0,
        "most_s": 100.0,
    }


def test_caller_reports_a_second_answer_and_a_missing_one() -> None:
    response = ajp13.write_response(ajp13.ResponseHead(200, "OK"), b"w1", True, ajp13.DEFAULT_PACKET_BYTES)
    repeated: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for data in (response, response + response, b""):
            await reader.read(1 << 16)
            writer.write(data)
        writer.close()

    async def send_requests() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        callers = Callers(server.sockets[0].getsockname())
        assert await callers.ask("t", 5.0, lambda: repeated.append("first")) == (200, "w1")
        assert not repeated
        assert await callers.ask("t", 5.0, lambda: repeated.append("second")) == (200, "w1")
        while not repeated:
            await asyncio.sleep(0.01)
        with pytest.raises(NoAnswerError):
            await callers.ask("t", 5.0, lambda: repeated.append("third"))
        server.close()
        callers.close()
        with pytest.raises(NodeUnreachableError):
            await Callers(callers.place).ask("t", 5.0, lambda: None)

    asyncio.run(asyncio.wait_for(send_requests(), 20))
    assert repeated == ["second"]


# Real processes


def test_eight_nodes_lose_no_change_while_they_are_killed_stopped_and_cut_off(tmp_path: Path) -> None:
    rig = play(Proof(nodes=8, kills=20, tenants=16, rate=40), tmp_path)
    assert rig.books.broken == []
    assert rig.broke["kills"] == 20
    assert rig.broke["kills_of_writers"] >= 8
    assert rig.broke["stops"]
    assert rig.broke["restarts"]
    assert rig.broke["cuts"]
    assert rig.broke["copies_lost"]
    assert rig.books.counts["changes_acked"] > 50
    assert rig.books.counts["answers_200"] > 100


@pytest.mark.parametrize("parts", [1, 3])
def test_hollow_members_join_real_nodes_and_finally_have_every_change(tmp_path: Path, parts: int) -> None:
    """One process holds all hollow members, or three share them."""
    rig = play(Proof(nodes=3, kills=0, hollow=40, hollow_parts=parts, tenants=6, rate=10), tmp_path)
    assert rig.books.broken == []
    assert rig.figures["hollow"]["right"] == 40


def test_serving_node_answers_all_requests_while_it_receives_a_large_table(tmp_path: Path) -> None:
    figures = fill.play(5000, 50.0, 2.0, tmp_path, 60.0)
    assert figures["broken"] == []
    assert figures["during_answers"] > 10
    assert not [name for name in figures if "unanswered" in name or name == "twice"], figures


def test_node_with_a_journal_loses_no_change_when_it_is_killed(tmp_path: Path) -> None:
    rig: Rig = play(Proof(nodes=1, kills=5, tenants=4, rate=20, replicated=False), tmp_path)
    assert rig.books.broken == []
    assert rig.broke["kills"] == 5
    assert rig.books.counts["changes_acked"] >= 8
