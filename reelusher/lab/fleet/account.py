"""What callers sent and got, what services held, what the list read: kept apart from the program.

Times are seconds on the run's clock, which is 0 as the load begins.
"""

import bisect
import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import inf, prod
from typing import Any

from reelusher.lab.fleet.census import Census
from reelusher.lab.fleet.plan import Kind, Plan

SLACK_S = 0.08 + 0.05  # of an answer: by the settings, and what sockets are granted
SLOT_S = 0.1
LEAST_LAG_S = 0.005
RECOVERED = 0.95  # of the service of before


def windows(
    spans: Sequence[tuple[float, float]], over_s: float, step_s: float = 0.1
) -> list[tuple[float, float]]:
    """Return the mean of what was held in each window of `over_s` seconds, with the window's beginning.

    `spans` says how much is held, and since when; windows begin `step_s` apart and lie within them.
    """
    if not spans:
        return []
    starts, sums, total = [spans[0][0]], [0.0], 0.0
    for (since, held), (until, _) in itertools.pairwise(spans):
        total += held * (until - since)
        starts.append(until)
        sums.append(total)

    def upto(at_s: float) -> float:
        place = bisect.bisect_right(starts, at_s) - 1
        return sums[place] + spans[place][1] * (at_s - starts[place])

    count = max(0, int((starts[-1] - starts[0] - over_s) / step_s) + 1)
    begins = [starts[0] + number * step_s for number in range(count)]
    return [(at_s, (upto(at_s + over_s) - upto(at_s)) / over_s) for at_s in begins]


def less(
    spans: Sequence[tuple[float, float]], slots: Iterable[tuple[float, float, float]]
) -> list[tuple[float, float]]:
    """Return what was held since when, less a part of it in each slot: since when, until when, which part."""
    steps: list[tuple[float, int, float]] = [(since, 0, held) for since, held in spans]
    for since, until, part in slots:
        steps += [(since, 1, 1.0 - part), (until, -1, 1.0 - part)]
    made: list[tuple[float, float]] = []
    held, stand = 0.0, Counter[float]()  # what is left in the slots that stand
    for at_s, how, value in sorted(steps):
        if how:
            stand[value] += how
        else:
            held = value
        left = held * prod(part for part, number in stand.items() for _ in range(number))
        if spans and spans[0][0] <= at_s <= spans[-1][0]:
            made.append((at_s, left))
    return made


@dataclass(slots=True)
class Ask:
    """One request of a client, over all its tries."""

    kind: Kind
    key: str
    body: bytes
    born_s: float
    served_s: float | None = None
    omitted: bool = False
    tries: int = 0
    over: bool = False

    def worth(self) -> float:
        """Return what its answer earned."""
        if self.served_s is None or self.served_s - self.born_s > self.kind.aim_ms / 1000:
            return 0.0
        return self.kind.worth * (self.kind.skip_worth if self.omitted else 1.0)


@dataclass(slots=True)
class Try:
    """One try at one node."""

    call: str
    node: str
    ask: Ask
    sent_s: float
    answers: list[str] = field(default_factory=list)
    ended_s: float = inf  # when its first answer came, or its connection ended
    excused: bool = False  # a fault stood between: whether it was read can't be told


class Account:
    """The books of one run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.zero_s = 0.0  # when the load began, by the run's clock
        self.asks: list[Ask] = []
        self.tries: dict[str, Try] = {}
        self.reports: list[float] = []
        self.listed: list[tuple[float, str]] = []
        self.calls: list[float] = []
        self.held: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.marks: list[tuple[float, str]] = []
        self.lags: list[tuple[float, float]] = []  # when the rig was late, and by how much
        self.runs: dict[str, list[tuple[float, str]]] = defaultdict(list)  # by keyed request and node
        self.violations: list[str] = []
        self.away: dict[str, list[tuple[float, float]]] = defaultdict(list)  # of nodes that stood still
        self.coreless: dict[str, list[tuple[float, float, float]]] = defaultdict(list)  # since, until, a part
        self.lives: dict[str, float] = {}  # when nodes' former lives ended
        self.start_s = 0.0  # when the nodes were started
        self.counts: Counter[str] = Counter()
        self.census: Census | None = None  # of a fleet, by a live rig

    # What happens

    def begin(self, now: float) -> None:
        """Let the load begin: what was noted so far lies before time 0."""
        shift, self.zero_s = now - self.zero_s, now
        self.start_s -= shift
        self.reports = [at - shift for at in self.reports]
        self.listed = [(at - shift, name) for at, name in self.listed]
        self.calls = [at - shift for at in self.calls]
        self.lags = [(at - shift, lag_s) for at, lag_s in self.lags]
        self.marks = [(at - shift, what) for at, what in self.marks]
        self.coreless = defaultdict(
            list,
            {
                node: [(since - shift, until - shift, part) for since, until, part in slots]
                for node, slots in self.coreless.items()
            },
        )
        self.held = defaultdict(
            list, {name: [(at - shift, held) for at, held in spans] for name, spans in self.held.items()}
        )

    def note_away(self, node: str, since: float, until: float) -> None:
        """Note that a node stood still."""
        self.away[node].append((since - self.zero_s, until - self.zero_s))

    def note_coreless(self, node: str, since: float, until: float, waited_s: float) -> None:
        """Note for how long between two times a node was ready and had no core to run on."""
        if waited_s > 0:
            self.coreless[node].append(
                (since - self.zero_s, until - self.zero_s, min(1.0, waited_s / (until - since)))
            )

    def note_end_of_life(self, node: str, now: float) -> None:
        """Note that a node has ended: the next one of its name knows no keys of this one."""
        self.lives[node] = now - self.zero_s

    def note_listed(self, now: float, name: str) -> None:
        """Note that a node came onto the list."""
        self.listed.append((now - self.zero_s, name))

    def mark(self, now: float, what: str) -> None:
        """Note a fault, or what came of one."""
        self.marks.append((now - self.zero_s, what))

    def note_report(self, now: float, read: bool) -> None:
        """Note a report to the list service, read or not."""
        self.reports.append(now - self.zero_s)
        self.counts["reports_read" if read else "reports_unread"] += 1

    def note_call(self, now: float) -> None:
        """Note a call below."""
        self.calls.append(now - self.zero_s)

    def note_held(self, now: float, name: str, held: int) -> None:
        """Note how much a service below holds from now on."""
        self.held[name].append((now - self.zero_s, held))

    def note_run(self, now: float, node: str, call: str) -> None:
        """Note a run; a keyed request runs once in its window on a node that lives on."""
        found = self.tries.get(call)
        if found is None:
            self.violations.append(f"{node} ran {call}, which no caller sent")
            return
        if not found.ask.key:
            return
        past = self.runs[f"{node} {found.ask.key}"]
        window_s = found.ask.kind.window_ms / 1000
        for sent_s, other in past:
            before = sent_s < self.lives.get(node, -1.0)
            if other != call and not before and found.sent_s - sent_s < window_s:
                self.violations.append(f"{node} ran key {found.ask.key} twice: {other} and {call}")
        past.append((found.sent_s, call))

    def note_sent(self, now: float, call: str, node: str, ask: Ask) -> Try:
        """Note a try that is written to a node."""
        made = self.tries[call] = Try(call, node, ask, now - self.zero_s)
        ask.tries += 1
        return made

    def note_answer(self, now: float, one: Try, verdict: str, body: bytes) -> None:
        """Note an answer to a try."""
        one.answers.append(verdict)
        one.ended_s = min(one.ended_s, now - self.zero_s)
        if len(one.answers) > 1:
            self.violations.append(f"{one.node} answered {one.call} twice: {', '.join(one.answers)}")
            return
        if verdict == "served" and body[1:] != one.ask.body:
            self.violations.append(f"{one.node} served {one.call} with what no run made for it")
        late_s = now - self.zero_s - one.sent_s - one.ask.kind.deadline_ms / 1000 - SLACK_S
        late_s -= self.lag_since(one.sent_s)
        if late_s > self._away_s(one.node, one.sent_s, now - self.zero_s) and not one.excused:
            self.violations.append(f"{one.node} answered {one.call} {late_s:.3f} s too late")
        self.counts[verdict] += 1

    def note_lag(self, now: float, lag_s: float) -> None:
        """Note that the rig itself was late: what it saw since may have happened so much earlier."""
        if lag_s > LEAST_LAG_S:
            self.lags.append((now - self.zero_s, lag_s))

    def _late_since(self, since: float) -> list[float]:
        late = itertools.takewhile(lambda span: span[0] >= since, reversed(self.lags))
        return [lag_s for _, lag_s in late]

    def lag_since(self, since: float) -> float:
        """Return the rig's worst lag since a time."""
        return max(self._late_since(since), default=0.0)

    def blind_since(self, since: float) -> float:
        """Return for how long in all the rig saw nothing since a time: a close may be older by as much."""
        return sum(self._late_since(since))

    def _away_s(self, node: str, since: float, until: float) -> float:
        """Return for how long a node stood still between two times."""
        return sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in self.away[node])

    def note_ended(self, now: float, one: Try, excused: bool) -> None:
        """Note that a connection ended under a try with no answer."""
        one.excused = one.excused or excused
        one.ended_s = min(one.ended_s, now - self.zero_s)
        if not one.answers and not one.excused:
            self.violations.append(
                f"{one.node} closed under {one.call}, written {now - self.zero_s - one.sent_s:.3f} s before"
            )

    def settled(self) -> bool:
        """Tell whether every client has its answer or has given up, and every try its end."""
        return all(ask.over for ask in self.asks) and all(
            one.answers or one.excused for one in self.tries.values()
        )

    def close(self, now: float) -> None:
        """Look for tries that never had their answer."""
        for one in self.tries.values():
            due_s = one.sent_s + one.ask.kind.deadline_ms / 1000 + SLACK_S
            late = now - self.zero_s > due_s + self._away_s(one.node, one.sent_s, now - self.zero_s)
            if not one.answers and not one.excused and late:
                self.violations.append(f"{one.node} never answered {one.call}")

    # What came of it

    def in_hand(self, node: str) -> list[tuple[float, int]]:
        """Return how many tries a node had in hand, since when."""
        steps = sorted(
            [(one.sent_s, 1) for one in self.tries.values() if one.node == node]
            + [(one.ended_s, -1) for one in self.tries.values() if one.node == node]
        )
        return list(
            zip((at_s for at_s, _ in steps), itertools.accumulate(change for _, change in steps), strict=True)
        )

    def in_hand_by_own_time(self, node: str) -> list[tuple[float, float]]:
        """Return the same, less what it held while the machine gave it no core, or none to the rig.

        A try that waits for that has waited for the machine, not for the node.
        """
        blind = [(at_s - lag_s, at_s, 1.0) for at_s, lag_s in self.lags]
        return less(self.in_hand(node), [*self.coreless[node], *blind])

    def _per_slot(self, times: list[float], slot_s: float) -> list[int]:
        counted: Counter[int] = Counter(int(at / slot_s) for at in times if 0 <= at < self.plan.run.seconds)
        return [counted[number] for number in range(max(1, int(self.plan.run.seconds / slot_s)))]

    def series(self) -> dict[str, list[float]]:
        """Return what happened in each second of the load, by when requests were first asked."""
        count = max(1, int(self.plan.run.seconds))
        made: dict[str, list[float]] = {
            name: [0.0] * count for name in ("asked_worth", "served_worth", "served", "refused", "failed")
        }
        for ask in self.asks:
            at = int(ask.born_s)
            if 0 <= at < count:
                made["asked_worth"][at] += ask.kind.worth
                made["served_worth"][at] += ask.worth()
                made["served"][at] += ask.served_s is not None
        for one in self.tries.values():
            at = int(one.sent_s)
            for verdict in one.answers[:1]:
                if verdict in ("refused", "failed") and 0 <= at < count:
                    made[verdict][at] += 1
        made["reports"] = [float(number) for number in self._per_slot(self.reports, 1.0)]
        made["calls"] = [float(number) for number in self._per_slot(self.calls, 1.0)]
        for name, spans in self.held.items():
            most = [0.0] * count
            for at_s, held in spans:
                if 0 <= at_s < count:
                    most[int(at_s)] = max(most[int(at_s)], held)
            made[f"held {name}"] = most
        return made

    def recovered_s(self, ends_s: float, before_s: float) -> float | None:
        """Return how long after a fault's end all seconds serve as before it; None: never."""
        made = self.series()
        shares = [
            served / asked if asked else 1.0
            for served, asked in zip(made["served_worth"], made["asked_worth"], strict=True)
        ]
        before = shares[1 : max(2, int(before_s))]
        wanted = RECOVERED * sum(before) / len(before)
        bad = [at for at, share in enumerate(shares[:-1]) if share < wanted]
        last_bad = max(bad, default=-1)
        return None if last_bad >= len(shares) - 2 else max(0.0, last_bad + 1 - ends_s)

    def figures(self) -> dict[str, Any]:
        """Return the figures of the run: parts of 1, counts, seconds."""
        asked = sum(ask.kind.worth for ask in self.asks)
        slots, count = self._per_slot(self.reports, SLOT_S), len(self.plan.node_names())
        mean = sum(slots) / len(slots)
        faults = [fault for fault in self.plan.faults if fault.at_s > 2]
        ends = max((fault.at_s + fault.for_s for fault in faults), default=None)
        return {
            "asked": len(self.asks),
            "tries": len(self.tries),
            **{name: self.counts[name] for name in ("served", "refused", "failed")},
            "served_worth": round(sum(ask.worth() for ask in self.asks) / asked, 4) if asked else None,
            "tries_per_request": round(len(self.tries) / max(1, len(self.asks)), 3),
            "calls_per_request": round(len([at for at in self.calls if at >= 0]) / max(1, len(self.asks)), 3),
            "most_held": {name: max(held for _, held in spans) for name, spans in self.held.items()},
            "falls": sum("falls over" in what for _, what in self.marks),
            "reports_per_node_s": round(sum(slots) / self.plan.run.seconds / count, 3),
            "reports_most_in_100ms": max(slots),
            "reports_mean_in_100ms": round(mean, 2),
            "all_listed_s": self.all_listed_s(count),
            "recovered_s": None if ends is None else self.recovered_s(ends, faults[0].at_s),
            "rig_late_s": round(self.lag_since(0.0), 3),
            "broken": len(self.violations),
        }

    def all_listed_s(self, count: int) -> float | None:
        """Return how long after the start every node had been listed once; None: never."""
        first: dict[str, float] = {}
        for at_s, name in self.listed:
            first.setdefault(name, at_s)
        return round(max(first.values()) - self.start_s, 2) if len(first) == count else None
