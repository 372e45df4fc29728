"""What became of each change and each request, kept apart from the program and free of I/O.

A tenant's rows have a history: one step after another, each asked for until it has a definite answer. Every
row carries a serial number and names the worker of that number, so that whoever shows a row, or answers a
request under it, tells which step that was. A node's place in a history only goes on. All times are seconds
of one clock.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

WORKER_COUNT = (
    5  # stand-ins that rows name in turn: rows that lie closer than that are told apart by an answer
)
ACTIVE, SUSPENDED = "active", "suspended"

Row = tuple[int, str] | None  # serial number and state; None: there is no such tenant
Revision = tuple[int, int]  # epoch and number


def worker_of(serial: int) -> str:
    """Return the worker that the row of a serial number names."""
    return f"w{serial % WORKER_COUNT}"


@dataclass(slots=True)
class Step:
    """One change of a tenant, from its first asking to its definite answer."""

    op: str
    row: Row
    begun_s: float
    acked_s: float | None = None
    revision: Revision | None = None
    in_flight: bool = False  # a try is under way
    indeterminate: bool = False  # a try had no answer, or one that leaves open what became of it
    refusals: Counter[int] = field(default_factory=Counter)  # by status
    shown_s: dict[str, float] = field(default_factory=dict)  # by node: when it showed this or a later one

    @property
    def possible(self) -> bool:
        """Tell whether a node may know of it."""
        return self.acked_s is not None or self.in_flight or self.indeterminate


@dataclass(slots=True)
class Span:
    """A time in which a node was away or cut off."""

    begins_s: float
    ends_s: float = inf

    def meets(self, since_s: float, until_s: float) -> bool:
        """Tell whether a part of it lies between two times."""
        return self.begins_s <= until_s and self.ends_s >= since_s


class History:
    """The steps of one tenant."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.steps = [Step("none", None, 0.0, 0.0)]
        self.min_step_index: dict[str, int] = {}  # by node: the least step that it can be at

    @property
    def last(self) -> Step:
        """Return the newest step."""
        return self.steps[-1]

    def rows(self) -> set[Row]:
        """Return all rows that there have been, without the absence of one."""
        return {step.row for step in self.steps if step.row}

    def serial(self) -> int:
        """Return the newest serial number."""
        return max((step.row[0] for step in self.steps if step.row), default=0)


def expected_answer(row: Row) -> tuple[int, str]:
    """Return status and worker of a request's answer under a row."""
    if row is None:
        return 404, ""
    return (200, worker_of(row[0])) if row[1] == ACTIVE else (503, "")


class HistoryChecker:
    """All that was asked and seen in a run, and what of it breaks a rule."""

    def __init__(self) -> None:
        self.histories: dict[str, History] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.away: dict[str, list[Span]] = {}  # by node
        self.cuts: dict[str, list[Span]] = {}
        self.slowest: list[tuple[float, str]] = []  # changes: how long each took, and which
        self.unverifiable: set[str] = (
            set()
        )  # tenants that have broken a rule which leaves open how they stand

    def history(self, name: str) -> History:
        """Return the history of a tenant."""
        return self.histories.setdefault(name, History(name))

    # Nodes

    def note_unavailable(self, node: str, now: float) -> None:
        """Note that a node is dead, leaves or stands still from now on."""
        self.away.setdefault(node, []).append(Span(now))

    def note_available(self, node: str, now: float) -> None:
        """Note that a node is there again."""
        self.away[node][-1].ends_s = now

    def note_cut(self, nodes: Iterable[str], now: float, begins: bool) -> None:
        """Note that a cut stands between these nodes, or heals; they still answer whoever reaches them."""
        for node in nodes:
            if begins:
                self.cuts.setdefault(node, []).append(Span(now))
            else:
                self.cuts[node][-1].ends_s = now

    def was_unavailable(self, node: str, since_s: float, until_s: float) -> bool:
        """Tell whether a node was away at any time between two."""
        return any(span.meets(since_s, until_s) for span in self.away.get(node, ()))

    def disturbed(self, node: str, since_s: float, until_s: float) -> bool:
        """Tell whether a node was away or cut off at any time between two."""
        return self.was_unavailable(node, since_s, until_s) or any(
            span.meets(since_s, until_s) for span in self.cuts.get(node, ())
        )

    # Changes

    def begin(self, name: str, op: str, row: Row, now: float) -> Step:
        """Begin a tenant's next step; the one before it has its definite answer."""
        history = self.history(name)
        if history.last.acked_s is None:
            raise ValueError(f"{name} has a step without an answer")
        if row in history.rows():
            raise ValueError(f"{name} had the row {row} before")
        history.steps.append(Step(op, row, now))
        return history.last

    def note_refused(self, name: str, status: int) -> None:
        """Note an answer by which a try of the newest step has changed nothing."""
        step = self.history(name).last
        step.in_flight = False
        step.refusals[status] += 1
        self.counts[f"changes_refused_{status}"] += 1

    def note_indeterminate(self, name: str, status: int) -> None:
        """Note that a try of the newest step ended with its outcome open; status 0: without an answer."""
        step = self.history(name).last
        step.in_flight, step.indeterminate = False, True
        self.counts[f"changes_doubtful_{status}"] += 1

    def note_already_applied(self, name: str, status: int) -> None:
        """Note that a try finds the newest step made already, as one whose outcome is open may have done."""
        step = self.history(name).last
        step.in_flight = False
        if step.indeterminate:
            self.counts["changes_found_made"] += 1
            return
        told = ", ".join(map(str, step.refusals)) or "nothing"
        self.unverifiable.add(name)
        self.violations.append(
            f"{name}: {step.op} was answered {told} and made all the same, or the change "
            f"before it is lost: it is answered {status} now"
        )

    def note_acked(self, name: str, revision: Revision | None, now: float) -> None:
        """Note that the newest step is made."""
        history = self.history(name)
        step = history.last
        before = max((one.revision for one in history.steps[:-1] if one.revision), default=None)
        step.in_flight, step.acked_s, step.revision = False, now, revision
        self.counts["changes_acked"] += 1
        if revision and before and revision <= before:
            self.violations.append(f"{name}: {step.op} has the revision {revision}, after {before}")

    # What nodes show

    def floor(self, node: str, name: str) -> int:
        """Return the least step that a node can be at; what is asked from now on may show no earlier one."""
        return self.history(name).min_step_index.get(node, 0)

    def note_copy_lost(self, node: str) -> None:
        """Note that a node has lost its copy and begins anew."""
        for history in self.histories.values():
            history.min_step_index.pop(node, None)

    def note_row(self, node: str, name: str, row: Row, floor: int, now: float) -> None:
        """Note the row that a node showed; `floor` is what it was when that was asked for."""
        if row is None or row[1] in (ACTIVE, SUSPENDED):  # one on its way out shows neither what was nor is
            self._note(node, name, lambda step: step.row == row, f"shows {row}", floor, now)

    def note_answer(
        self, node: str, name: str, status: int, worker: str, floor: int, now: float, began_s: float
    ) -> None:
        """Note a request's answer, which must be that of a row; a node may refuse under any."""
        self.counts[f"answers_{status}"] += 1
        if status == 503:
            steps = self.history(name).steps[floor:]
            self.counts["refused_while_active"] += all(
                step.row is not None and step.row[1] == ACTIVE for step in steps if step.possible
            )
            return
        if status == 500:
            excused = self.was_unavailable(node, began_s, now)
            self.counts["failed_excused" if excused else "failed"] += 1
            return
        self._note(
            node,
            name,
            lambda step: expected_answer(step.row) == (status, worker),
            f"answered {status} {worker}".rstrip(),
            floor,
            now,
        )

    def _note(
        self, node: str, name: str, fits: Callable[[Step], bool], what: str, floor: int, now: float
    ) -> None:
        """Note that a node is at one of the steps that fit, at the least of them."""
        history = self.history(name)
        steps = list(enumerate(history.steps))[floor:]
        found = next((number for number, step in steps if step.possible and fits(step)), None)
        if found is None:
            told = ", ".join(
                f"{step.op} {step.row}{'' if step.possible else ' (refused)'}" for _, step in steps[:4]
            )
            self.violations.append(f"{node} {what} for {name} at {now:.3f}, which is none of: {told}")
            return
        least = history.min_step_index.get(node, 0)
        if found > least:
            for step in history.steps[least + 1 : found + 1]:
                step.shown_s.setdefault(node, now)
            history.min_step_index[node] = found

    # Requests

    def note_unanswered(self, node: str, name: str, began_s: float, now: float, why: str) -> None:
        """Note that a request had no answer."""
        if self.was_unavailable(node, began_s, now):
            self.counts["unanswered_excused"] += 1
        else:
            self.counts["unanswered"] += 1
            self.violations.append(
                f"{node} never answered a request for {name}, {now - began_s:.3f} s: {why}"
            )

    def note_extra_answer(self, node: str, name: str) -> None:
        """Note that more came after a request's answer."""
        self.violations.append(f"{node} sent more after the answer to a request for {name}")

    # The end

    def expected(self) -> dict[str, Row]:
        """Return the rows that all nodes must show in the end."""
        return {
            name: history.last.row
            for name, history in self.histories.items()
            if name not in self.unverifiable
        }

    def has_final_rows(self, node: str, rows: dict[str, Row], now: float) -> bool:
        """Tell whether the rows that a node showed are those that all must show in the end."""
        for name, row in self.expected().items():
            if rows.get(name) != row:
                return False
        for history in self.histories.values():
            for step in history.steps:
                step.shown_s.setdefault(node, now)
            history.min_step_index[node] = len(history.steps) - 1
        return True

    def check_final_state(
        self, shown: dict[str, dict[str, Row]], revisions: dict[str, dict[str, Revision]]
    ) -> None:
        """Hold every acknowledged change against the rows and revisions that nodes show last."""
        for name, history in self.histories.items():
            if name in self.unverifiable:
                continue
            if history.last.acked_s is None:
                self.violations.append(f"{name}: {history.last.op} never had a definite answer")
                continue
            wanted = history.last.revision
            for node, rows in shown.items():
                if rows.get(name) != history.last.row:
                    self.violations.append(
                        f"{node} shows {rows.get(name)} for {name} in the end, not {history.last.row}"
                    )
                found = revisions.get(node, {}).get(name)
                if history.last.row and wanted and (found is None or found < wanted):
                    self.violations.append(
                        f"{node} has the revision {found} of {name} in the end, not {wanted}"
                    )

    def propagation_times_s(self, nodes: Iterable[str], writer_of: dict[str, str]) -> dict[str, list[float]]:
        """Return how long after its answer each change was shown by all nodes, in seconds.

        Nodes that were away or cut off in that time are left out. `calm` are the changes whose writer was
        there all along; the delay of the others is mostly that of its return.
        """
        nodes = list(nodes)
        found: dict[str, list[float]] = {"calm": [], "writer_away": []}
        for name, history in self.histories.items():
            for number, step in enumerate(history.steps):
                later = history.steps[number + 1].shown_s if number + 1 < len(history.steps) else {}
                took_s = [
                    (max(0.0, at_s - step.acked_s), node)
                    for node in nodes
                    if step.acked_s is not None
                    and (at_s := step.shown_s.get(node)) is not None
                    and not self.disturbed(node, step.acked_s, at_s)
                    # a node that shows no row may never have shown the one before: that tells nothing
                    and (step.row is not None or later.get(node) != at_s)
                ]
                if number and took_s and step.acked_s is not None:
                    longest_s, node = max(took_s)
                    away = self.disturbed(writer_of[name], step.begun_s, step.acked_s + longest_s)
                    found["writer_away" if away else "calm"].append(longest_s)
                    self.slowest.append(
                        (
                            round(longest_s, 3),
                            f"{step.op} of {name}, answered at "
                            f"{step.acked_s:.3f}, written by {writer_of[name]}, last at {node}",
                        )
                    )
        self.slowest = sorted(self.slowest, reverse=True)[:5]
        return found
