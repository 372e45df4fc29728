"""History of the changes and requests of a live run, and its checker. Free of I/O.

A tenant has a history of steps, made one after another; each change is requested until it has a definite
answer. Every row carries a serial number and names the worker of that number. So the row that a node shows
identifies the step that the node has reached. The status and worker of an answer may match several steps, of
which the earliest that the node may show counts. A node may advance in a history and never go back. All times
are seconds of one clock.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

# Number of stand-in workers. Rows name them in turn, so an answer distinguishes active rows whose serial
# numbers differ by less than this.
WORKER_COUNT = 5
ACTIVE, SUSPENDED = "active", "suspended"

Row = tuple[int, str] | None  # serial number and state; None: the tenant does not exist
Revision = tuple[int, int]  # epoch and number


def worker_of(serial: int) -> str:
    """Return the name of the worker in the row with a serial number."""
    return f"w{serial % WORKER_COUNT}"


@dataclass(slots=True)
class Step:
    """One change of a tenant, from its first attempt to its definite answer."""

    op: str
    row: Row
    begun_s: float
    acked_s: float | None = None
    revision: Revision | None = None
    in_flight: bool = False  # an attempt has no answer yet
    indeterminate: bool = False  # an attempt may have changed the row: it had no answer or one like 500
    refusals: Counter[int] = field(default_factory=Counter)  # attempts that changed nothing, by status
    shown_s: dict[str, float] = field(default_factory=dict)  # by node: when it reached this step or passed it

    @property
    def may_be_visible(self) -> bool:
        """Tell whether a node may show this step."""
        return self.acked_s is not None or self.in_flight or self.indeterminate


@dataclass(slots=True)
class Span:
    """A period in which a node was unavailable or partitioned."""

    begins_s: float
    ends_s: float = inf

    def overlaps(self, since_s: float, until_s: float) -> bool:
        """Tell whether the period overlaps the time from `since_s` to `until_s`."""
        return self.begins_s <= until_s and self.ends_s >= since_s


class History:
    """The steps of one tenant."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.steps = [Step("none", None, 0.0, 0.0)]
        self.min_step_index: dict[str, int] = {}  # by node: lower bound of the step it has reached

    @property
    def last(self) -> Step:
        """Return the newest step."""
        return self.steps[-1]

    def rows(self) -> set[Row]:
        """Return all rows that the tenant has had; None, for its absence, is left out."""
        return {step.row for step in self.steps if step.row}

    def serial(self) -> int:
        """Return the highest serial number so far, 0 if there was none."""
        return max((step.row[0] for step in self.steps if step.row), default=0)


def expected_answer(row: Row) -> tuple[int, str]:
    """Return the status and worker with which a node that has this row answers a request.

    The worker is empty if the status is not 200.
    """
    if row is None:
        return 404, ""
    return (200, worker_of(row[0])) if row[1] == ACTIVE else (503, "")


class HistoryChecker:
    """Records the changes and requests of a run and what nodes showed, and collects rule violations."""

    def __init__(self) -> None:
        self.histories: dict[str, History] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.downtimes: dict[str, list[Span]] = {}  # by node
        self.partitions: dict[str, list[Span]] = {}  # network partitions, by node
        self.slowest: list[tuple[float, str]] = []  # slowest changes: propagation time and description
        self.unverifiable: set[str] = set()  # tenants whose row is unknown after a violation

    def history(self, name: str) -> History:
        """Return the history of a tenant."""
        return self.histories.setdefault(name, History(name))

    # Nodes

    def note_unavailable(self, node: str, now: float) -> None:
        """Record that a node is dead, leaving or stopped from now on."""
        self.downtimes.setdefault(node, []).append(Span(now))

    def note_available(self, node: str, now: float) -> None:
        """Record that a node is available again."""
        self.downtimes[node][-1].ends_s = now

    def note_cut(self, nodes: Iterable[str], now: float, begins: bool) -> None:
        """Record that a network partition begins between nodes, or heals; callers still reach all of them."""
        for node in nodes:
            if begins:
                self.partitions.setdefault(node, []).append(Span(now))
            else:
                self.partitions[node][-1].ends_s = now

    def was_unavailable(self, node: str, since_s: float, until_s: float) -> bool:
        """Tell whether a node was unavailable at any time from `since_s` to `until_s`."""
        return any(span.overlaps(since_s, until_s) for span in self.downtimes.get(node, ()))

    def was_unavailable_or_partitioned(self, node: str, since_s: float, until_s: float) -> bool:
        """Tell whether a node was unavailable or partitioned at any time from `since_s` to `until_s`."""
        return self.was_unavailable(node, since_s, until_s) or any(
            span.overlaps(since_s, until_s) for span in self.partitions.get(node, ())
        )

    # Changes

    def begin(self, name: str, op: str, row: Row, now: float) -> Step:
        """Begin a tenant's next step.

        Raises ValueError if the step before it has no definite answer, or if the tenant had this row before.
        """
        history = self.history(name)
        if history.last.acked_s is None:
            raise ValueError(f"{name} has a step without an answer")
        if row in history.rows():
            raise ValueError(f"{name} had the row {row} before")
        history.steps.append(Step(op, row, now))
        return history.last

    def note_refused(self, name: str, status: int) -> None:
        """Record that an attempt at the newest step was refused and changed nothing."""
        step = self.history(name).last
        step.in_flight = False
        step.refusals[status] += 1
        self.counts[f"changes_refused_{status}"] += 1

    def note_indeterminate(self, name: str, status: int) -> None:
        """Record that an attempt at the newest step may have changed the row; status 0: it had no answer."""
        step = self.history(name).last
        step.in_flight, step.indeterminate = False, True
        self.counts[f"changes_doubtful_{status}"] += 1

    def note_already_applied(self, name: str, status: int) -> None:
        """Record that an attempt finds the newest step applied already.

        Only an earlier attempt with an indeterminate outcome may have done that. If there was none, this is a
        violation, and the tenant's row is not verified from then on.
        """
        step = self.history(name).last
        step.in_flight = False
        if step.indeterminate:
            self.counts["changes_found_made"] += 1
            return
        statuses = ", ".join(map(str, step.refusals)) or "nothing"
        self.unverifiable.add(name)
        self.violations.append(
            f"{name}: {step.op} was answered {statuses} and applied all the same, or the change "
            f"before it is lost: it is answered {status} now"
        )

    def note_acked(self, name: str, revision: Revision | None, now: float) -> None:
        """Record that the newest step is acknowledged; its revision must be above all earlier ones."""
        history = self.history(name)
        step = history.last
        previous = max((earlier.revision for earlier in history.steps[:-1] if earlier.revision), default=None)
        step.in_flight, step.acked_s, step.revision = False, now, revision
        self.counts["changes_acked"] += 1
        if revision and previous and revision <= previous:
            self.violations.append(f"{name}: {step.op} has the revision {revision}, after {previous}")

    # Rows and answers of nodes

    def floor(self, node: str, name: str) -> int:
        """Return the index of the earliest step that a node may still show to a read or request sent now."""
        return self.history(name).min_step_index.get(node, 0)

    def note_copy_lost(self, node: str) -> None:
        """Record that a node lost its copy and starts with an empty one."""
        for history in self.histories.values():
            history.min_step_index.pop(node, None)

    def note_row(self, node: str, name: str, row: Row, floor: int, now: float) -> None:
        """Check the row that a node showed; `floor` is what `floor()` returned when the read was sent."""
        if row is None or row[1] in (ACTIVE, SUSPENDED):  # while a tenant drains, its row matches no step
            self._check(node, name, lambda step: step.row == row, f"shows {row}", floor, now)

    def note_answer(
        self, node: str, name: str, status: int, worker: str, floor: int, now: float, began_s: float
    ) -> None:
        """Count a request's answer, and check that it matches a row that the node may show.

        503 is allowed under any row, and 500 is only counted. `floor` is what `floor()` returned when the
        request was sent, at `began_s`.
        """
        self.counts[f"answers_{status}"] += 1
        if status == 503:
            steps = self.history(name).steps[floor:]
            self.counts["refused_while_active"] += all(
                step.row is not None and step.row[1] == ACTIVE for step in steps if step.may_be_visible
            )
            return
        if status == 500:
            node_was_down = self.was_unavailable(node, began_s, now)
            self.counts["failed_excused" if node_was_down else "failed"] += 1
            return
        self._check(
            node,
            name,
            lambda step: expected_answer(step.row) == (status, worker),
            f"answered {status} {worker}".rstrip(),
            floor,
            now,
        )

    def _check(
        self, node: str, name: str, matches: Callable[[Step], bool], observation: str, floor: int, now: float
    ) -> None:
        """Advance a node to the earliest visible step that matches; record a violation if none does."""
        history = self.history(name)
        steps = list(enumerate(history.steps))[floor:]
        reached = next((number for number, step in steps if step.may_be_visible and matches(step)), None)
        if reached is None:
            allowed = ", ".join(
                f"{step.op} {step.row}{'' if step.may_be_visible else ' (refused)'}" for _, step in steps[:4]
            )
            self.violations.append(
                f"{node} {observation} for {name} at {now:.3f}, which is none of: {allowed}"
            )
            return
        previous = history.min_step_index.get(node, 0)
        if reached > previous:
            for step in history.steps[previous + 1 : reached + 1]:
                step.shown_s.setdefault(node, now)
            history.min_step_index[node] = reached

    # Requests

    def note_unanswered(self, node: str, name: str, began_s: float, now: float, reason: str) -> None:
        """Record that a request had no answer; that is a violation unless its node was unavailable."""
        if self.was_unavailable(node, began_s, now):
            self.counts["unanswered_excused"] += 1
        else:
            self.counts["unanswered"] += 1
            self.violations.append(
                f"{node} never answered a request for {name}, {now - began_s:.3f} s: {reason}"
            )

    def note_extra_answer(self, node: str, name: str) -> None:
        """Record that a node sent more after the answer to a request, which is a violation."""
        self.violations.append(f"{node} sent more after the answer to a request for {name}")

    # Final state

    def expected(self) -> dict[str, Row]:
        """Return the rows that all nodes must show at the end, by tenant, without unverifiable tenants."""
        return {
            name: history.last.row
            for name, history in self.histories.items()
            if name not in self.unverifiable
        }

    def has_final_rows(self, node: str, rows: dict[str, Row], now: float) -> bool:
        """Tell whether a node's rows are the expected final ones; if so, all steps count as shown by it."""
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
        """Check that the final rows and revisions of the nodes contain every acknowledged change.

        Both are by node and then by tenant. A tenant without a definite answer is a violation too.
        """
        for name, history in self.histories.items():
            if name in self.unverifiable:
                continue
            if history.last.acked_s is None:
                self.violations.append(f"{name}: {history.last.op} never had a definite answer")
                continue
            expected_revision = history.last.revision
            for node, rows in shown.items():
                if rows.get(name) != history.last.row:
                    self.violations.append(
                        f"{node} shows {rows.get(name)} for {name} in the end, not {history.last.row}"
                    )
                revision = revisions.get(node, {}).get(name)
                if (
                    history.last.row
                    and expected_revision
                    and (revision is None or revision < expected_revision)
                ):
                    self.violations.append(
                        f"{node} has the revision {revision} of {name} in the end, not {expected_revision}"
                    )

    def propagation_times_s(self, nodes: Iterable[str], writer_of: dict[str, str]) -> dict[str, list[float]]:
        """Return the seconds from each change's answer until all nodes showed it, in two lists.

        Nodes that were unavailable or partitioned in that time are left out. `calm` has the changes whose
        writer was neither, from the first attempt until the last node showed them; the delay of those in
        `writer_away` is mostly the time until their writer returned. `writer_of` has the writer of each
        tenant. The five slowest changes are kept in `slowest`.
        """
        nodes = list(nodes)
        times_s: dict[str, list[float]] = {"calm": [], "writer_away": []}
        for name, history in self.histories.items():
            for number, step in enumerate(history.steps):
                next_shown_s = history.steps[number + 1].shown_s if number + 1 < len(history.steps) else {}
                delays_s = [
                    (max(0.0, at_s - step.acked_s), node)
                    for node in nodes
                    if step.acked_s is not None
                    and (at_s := step.shown_s.get(node)) is not None
                    and not self.was_unavailable_or_partitioned(node, step.acked_s, at_s)
                    # a deletion that was shown together with the next step was not seen by itself
                    and (step.row is not None or next_shown_s.get(node) != at_s)
                ]
                if number and delays_s and step.acked_s is not None:
                    longest_s, node = max(delays_s)
                    writer_away = self.was_unavailable_or_partitioned(
                        writer_of[name], step.begun_s, step.acked_s + longest_s
                    )
                    times_s["writer_away" if writer_away else "calm"].append(longest_s)
                    self.slowest.append(
                        (
                            round(longest_s, 3),
                            f"{step.op} of {name}, answered at "
                            f"{step.acked_s:.3f}, written by {writer_of[name]}, last at {node}",
                        )
                    )
        self.slowest = sorted(self.slowest, reverse=True)[:5]
        return times_s
