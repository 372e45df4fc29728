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

from reelusher.lab.fleet.census import MembershipObserver
from reelusher.lab.fleet.plan import Plan, RequestClass

ANSWER_SLACK_S = 0.08 + 0.05  # of an answer: by the settings, and what sockets are granted
REPORT_SLOT_S = 0.1
MIN_LAG_S = 0.005
RECOVERED_FRACTION = 0.95  # of the service of before


def window_means(
    spans: Sequence[tuple[float, float]], window_s: float, step_s: float = 0.1
) -> list[tuple[float, float]]:
    """Return the mean of what was held in each window of `over_s` seconds, with the window's beginning.

    `spans` says how much is held, and since when; windows begin `step_s` apart and lie within them.
    """
    if not spans:
        return []
    starts, integrals, total = [spans[0][0]], [0.0], 0.0
    for (since, held), (until, _) in itertools.pairwise(spans):
        total += held * (until - since)
        starts.append(until)
        integrals.append(total)

    def integral_until(at_s: float) -> float:
        index = bisect.bisect_right(starts, at_s) - 1
        return integrals[index] + spans[index][1] * (at_s - starts[index])

    count = max(0, int((starts[-1] - starts[0] - window_s) / step_s) + 1)
    window_starts = [starts[0] + number * step_s for number in range(count)]
    return [
        (at_s, (integral_until(at_s + window_s) - integral_until(at_s)) / window_s) for at_s in window_starts
    ]


def discounted(
    spans: Sequence[tuple[float, float]], slots: Iterable[tuple[float, float, float]]
) -> list[tuple[float, float]]:
    """Return what was held since when, less a part of it in each slot: since when, until when, which part."""
    steps: list[tuple[float, int, float]] = [(since, 0, held) for since, held in spans]
    for since, until, fraction in slots:
        steps += [(since, 1, 1.0 - fraction), (until, -1, 1.0 - fraction)]
    result: list[tuple[float, float]] = []
    held, active = 0.0, Counter[float]()  # what is left in the slots that stand
    for at_s, change, value in sorted(steps):
        if change:
            active[value] += change
        else:
            held = value
        remaining = held * prod(fraction for fraction, number in active.items() for _ in range(number))
        if spans and spans[0][0] <= at_s <= spans[-1][0]:
            result.append((at_s, remaining))
    return result


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, over all its tries."""

    request_class: RequestClass
    key: str
    body: bytes
    created_s: float
    served_s: float | None = None
    call_skipped: bool = False
    attempt_count: int = 0
    finished: bool = False

    def earned_worth(self) -> float:
        """Return what its answer earned."""
        if self.served_s is None or self.served_s - self.created_s > self.request_class.aim_ms / 1000:
            return 0.0
        return self.request_class.worth * (self.request_class.skip_worth if self.call_skipped else 1.0)


@dataclass(slots=True)
class Attempt:
    """One try at one node."""

    run_id: str
    node: str
    request: ClientRequest
    sent_s: float
    verdicts: list[str] = field(default_factory=list)
    ended_s: float = inf  # when its first answer came, or its connection ended
    excused: bool = False  # a fault stood between: whether it was read can't be told


class RunHistory:
    """The books of one run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.load_start_s = 0.0  # when the load began, by the run's clock
        self.requests: list[ClientRequest] = []
        self.attempts: dict[str, Attempt] = {}
        self.reports: list[float] = []
        self.listings: list[tuple[float, str]] = []
        self.calls: list[float] = []
        self.downstream_calls: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.events: list[tuple[float, str]] = []
        self.rig_lags: list[tuple[float, float]] = []  # when the rig was late, and by how much
        self.runs: dict[str, list[tuple[float, str]]] = defaultdict(list)  # by keyed request and node
        self.violations: list[str] = []
        self.pauses: dict[str, list[tuple[float, float]]] = defaultdict(list)  # of nodes that stood still
        self.core_waits: dict[str, list[tuple[float, float, float]]] = defaultdict(
            list
        )  # since, until, a part
        self.process_end_s: dict[str, float] = {}  # when nodes' former lives ended
        self.nodes_start_s = 0.0  # when the nodes were started
        self.counts: Counter[str] = Counter()
        self.membership: MembershipObserver | None = None  # of a fleet, by a live rig

    # What happens

    def begin_load(self, now: float) -> None:
        """Let the load begin: what was noted so far lies before time 0."""
        shift, self.load_start_s = now - self.load_start_s, now
        self.nodes_start_s -= shift
        self.reports = [at - shift for at in self.reports]
        self.listings = [(at - shift, name) for at, name in self.listings]
        self.calls = [at - shift for at in self.calls]
        self.rig_lags = [(at - shift, lag_s) for at, lag_s in self.rig_lags]
        self.events = [(at - shift, text) for at, text in self.events]
        self.core_waits = defaultdict(
            list,
            {
                node: [(since - shift, until - shift, fraction) for since, until, fraction in slots]
                for node, slots in self.core_waits.items()
            },
        )
        self.downstream_calls = defaultdict(
            list,
            {
                name: [(at - shift, held) for at, held in spans]
                for name, spans in self.downstream_calls.items()
            },
        )

    def record_pause(self, node: str, since: float, until: float) -> None:
        """Note that a node stood still."""
        self.pauses[node].append((since - self.load_start_s, until - self.load_start_s))

    def record_core_wait(self, node: str, since: float, until: float, wait_s: float) -> None:
        """Note for how long between two times a node was ready and had no core to run on."""
        if wait_s > 0:
            self.core_waits[node].append(
                (since - self.load_start_s, until - self.load_start_s, min(1.0, wait_s / (until - since)))
            )

    def record_process_end(self, node: str, now: float) -> None:
        """Note that a node has ended: the next one of its name knows no keys of this one."""
        self.process_end_s[node] = now - self.load_start_s

    def record_listed(self, now: float, name: str) -> None:
        """Note that a node came onto the list."""
        self.listings.append((now - self.load_start_s, name))

    def record_event(self, now: float, text: str) -> None:
        """Note a fault, or what came of one."""
        self.events.append((now - self.load_start_s, text))

    def record_report(self, now: float, was_read: bool) -> None:
        """Note a report to the list service, read or not."""
        self.reports.append(now - self.load_start_s)
        self.counts["reports_read" if was_read else "reports_unread"] += 1

    def record_call(self, now: float) -> None:
        """Note a call below."""
        self.calls.append(now - self.load_start_s)

    def record_downstream_calls(self, now: float, name: str, call_count: int) -> None:
        """Note how much a service below holds from now on."""
        self.downstream_calls[name].append((now - self.load_start_s, call_count))

    def record_run(self, now: float, node: str, run_id: str) -> None:
        """Note a run; a keyed request runs once in its window on a node that lives on."""
        attempt = self.attempts.get(run_id)
        if attempt is None:
            self.violations.append(f"{node} ran {run_id}, which no caller sent")
            return
        if not attempt.request.key:
            return
        earlier_runs = self.runs[f"{node} {attempt.request.key}"]
        window_s = attempt.request.request_class.window_ms / 1000
        for sent_s, other_run_id in earlier_runs:
            other_process = sent_s < self.process_end_s.get(node, -1.0)
            if other_run_id != run_id and not other_process and attempt.sent_s - sent_s < window_s:
                self.violations.append(
                    f"{node} ran key {attempt.request.key} twice: {other_run_id} and {run_id}"
                )
        earlier_runs.append((attempt.sent_s, run_id))

    def record_attempt(self, now: float, run_id: str, node: str, request: ClientRequest) -> Attempt:
        """Note a try that is written to a node."""
        attempt = self.attempts[run_id] = Attempt(run_id, node, request, now - self.load_start_s)
        request.attempt_count += 1
        return attempt

    def record_answer(self, now: float, attempt: Attempt, verdict: str, body: bytes) -> None:
        """Note an answer to a try."""
        attempt.verdicts.append(verdict)
        attempt.ended_s = min(attempt.ended_s, now - self.load_start_s)
        if len(attempt.verdicts) > 1:
            self.violations.append(
                f"{attempt.node} answered {attempt.run_id} twice: {', '.join(attempt.verdicts)}"
            )
            return
        if verdict == "served" and body[1:] != attempt.request.body:
            self.violations.append(f"{attempt.node} served {attempt.run_id} with what no run made for it")
        late_s = (
            now
            - self.load_start_s
            - attempt.sent_s
            - attempt.request.request_class.deadline_ms / 1000
            - ANSWER_SLACK_S
        )
        late_s -= self.max_lag_since(attempt.sent_s)
        if (
            late_s > self._paused_s(attempt.node, attempt.sent_s, now - self.load_start_s)
            and not attempt.excused
        ):
            self.violations.append(f"{attempt.node} answered {attempt.run_id} {late_s:.3f} s too late")
        self.counts[verdict] += 1

    def record_lag(self, now: float, lag_s: float) -> None:
        """Note that the rig itself was late: what it saw since may have happened so much earlier."""
        if lag_s > MIN_LAG_S:
            self.rig_lags.append((now - self.load_start_s, lag_s))

    def _lags_since(self, since: float) -> list[float]:
        recent = itertools.takewhile(lambda span: span[0] >= since, reversed(self.rig_lags))
        return [lag_s for _, lag_s in recent]

    def max_lag_since(self, since: float) -> float:
        """Return the rig's worst lag since a time."""
        return max(self._lags_since(since), default=0.0)

    def total_lag_since(self, since: float) -> float:
        """Return for how long in all the rig saw nothing since a time: a close may be older by as much."""
        return sum(self._lags_since(since))

    def _paused_s(self, node: str, since: float, until: float) -> float:
        """Return for how long a node stood still between two times."""
        return sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in self.pauses[node])

    def record_no_answer(self, now: float, attempt: Attempt, excused: bool) -> None:
        """Note that a connection ended under a try with no answer."""
        attempt.excused = attempt.excused or excused
        attempt.ended_s = min(attempt.ended_s, now - self.load_start_s)
        if not attempt.verdicts and not attempt.excused:
            self.violations.append(
                f"{attempt.node} closed under {attempt.run_id}, "
                f"written {now - self.load_start_s - attempt.sent_s:.3f} s before"
            )

    def is_settled(self) -> bool:
        """Tell whether every client has its answer or has given up, and every try its end."""
        return all(request.finished for request in self.requests) and all(
            attempt.verdicts or attempt.excused for attempt in self.attempts.values()
        )

    def check_unanswered(self, now: float) -> None:
        """Look for tries that never had their answer."""
        for attempt in self.attempts.values():
            due_s = attempt.sent_s + attempt.request.request_class.deadline_ms / 1000 + ANSWER_SLACK_S
            late = now - self.load_start_s > due_s + self._paused_s(
                attempt.node, attempt.sent_s, now - self.load_start_s
            )
            if not attempt.verdicts and not attempt.excused and late:
                self.violations.append(f"{attempt.node} never answered {attempt.run_id}")

    # What came of it

    def open_attempts(self, node: str) -> list[tuple[float, int]]:
        """Return how many tries a node had in hand, since when."""
        steps = sorted(
            [(attempt.sent_s, 1) for attempt in self.attempts.values() if attempt.node == node]
            + [(attempt.ended_s, -1) for attempt in self.attempts.values() if attempt.node == node]
        )
        return list(
            zip((at_s for at_s, _ in steps), itertools.accumulate(change for _, change in steps), strict=True)
        )

    def open_attempts_with_core(self, node: str) -> list[tuple[float, float]]:
        """Return the same, less what it held while the machine gave it no core, or none to the rig.

        A try that waits for that has waited for the machine, not for the node.
        """
        rig_stalls = [(at_s - lag_s, at_s, 1.0) for at_s, lag_s in self.rig_lags]
        return discounted(self.open_attempts(node), [*self.core_waits[node], *rig_stalls])

    def _count_per_slot(self, times: list[float], slot_s: float) -> list[int]:
        counts: Counter[int] = Counter(int(at / slot_s) for at in times if 0 <= at < self.plan.run.seconds)
        return [counts[number] for number in range(max(1, int(self.plan.run.seconds / slot_s)))]

    def series(self) -> dict[str, list[float]]:
        """Return what happened in each second of the load, by when requests were first asked."""
        count = max(1, int(self.plan.run.seconds))
        series: dict[str, list[float]] = {
            name: [0.0] * count for name in ("asked_worth", "served_worth", "served", "refused", "failed")
        }
        for request in self.requests:
            second = int(request.created_s)
            if 0 <= second < count:
                series["asked_worth"][second] += request.request_class.worth
                series["served_worth"][second] += request.earned_worth()
                series["served"][second] += request.served_s is not None
        for attempt in self.attempts.values():
            second = int(attempt.sent_s)
            for verdict in attempt.verdicts[:1]:
                if verdict in ("refused", "failed") and 0 <= second < count:
                    series[verdict][second] += 1
        series["reports"] = [float(number) for number in self._count_per_slot(self.reports, 1.0)]
        series["calls"] = [float(number) for number in self._count_per_slot(self.calls, 1.0)]
        for name, spans in self.downstream_calls.items():
            maxima = [0.0] * count
            for at_s, held in spans:
                if 0 <= at_s < count:
                    maxima[int(at_s)] = max(maxima[int(at_s)], held)
            series[f"held {name}"] = maxima
        return series

    def recovered_s(self, ends_s: float, before_s: float) -> float | None:
        """Return how long after a fault's end all seconds serve as before it; None: never."""
        series = self.series()
        shares = [
            served / asked if asked else 1.0
            for served, asked in zip(series["served_worth"], series["asked_worth"], strict=True)
        ]
        before = shares[1 : max(2, int(before_s))]
        threshold = RECOVERED_FRACTION * sum(before) / len(before)
        bad_seconds = [second for second, share in enumerate(shares[:-1]) if share < threshold]
        last_bad_second = max(bad_seconds, default=-1)
        return None if last_bad_second >= len(shares) - 2 else max(0.0, last_bad_second + 1 - ends_s)

    def figures(self) -> dict[str, Any]:
        """Return the figures of the run: parts of 1, counts, seconds."""
        asked_worth = sum(request.request_class.worth for request in self.requests)
        slots, count = self._count_per_slot(self.reports, REPORT_SLOT_S), len(self.plan.node_names())
        mean = sum(slots) / len(slots)
        faults = [fault for fault in self.plan.faults if fault.at_s > 2]
        faults_end_s = max((fault.at_s + fault.for_s for fault in faults), default=None)
        return {
            "asked": len(self.requests),
            "tries": len(self.attempts),
            **{name: self.counts[name] for name in ("served", "refused", "failed")},
            "served_worth": round(sum(request.earned_worth() for request in self.requests) / asked_worth, 4)
            if asked_worth
            else None,
            "tries_per_request": round(len(self.attempts) / max(1, len(self.requests)), 3),
            "calls_per_request": round(
                len([at for at in self.calls if at >= 0]) / max(1, len(self.requests)), 3
            ),
            "most_held": {
                name: max(held for _, held in spans) for name, spans in self.downstream_calls.items()
            },
            "falls": sum("falls over" in text for _, text in self.events),
            "reports_per_node_s": round(sum(slots) / self.plan.run.seconds / count, 3),
            "reports_most_in_100ms": max(slots),
            "reports_mean_in_100ms": round(mean, 2),
            "all_listed_s": self.all_listed_s(count),
            "recovered_s": None if faults_end_s is None else self.recovered_s(faults_end_s, faults[0].at_s),
            "rig_late_s": round(self.max_lag_since(0.0), 3),
            "broken": len(self.violations),
        }

    def all_listed_s(self, count: int) -> float | None:
        """Return how long after the start every node had been listed once; None: never."""
        first_listed_s: dict[str, float] = {}
        for at_s, name in self.listings:
            first_listed_s.setdefault(name, at_s)
        return (
            round(max(first_listed_s.values()) - self.nodes_start_s, 2)
            if len(first_listed_s) == count
            else None
        )
