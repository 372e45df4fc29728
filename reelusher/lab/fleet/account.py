"""The history of a run and its checker: what callers and stand-ins observed, independently of the nodes.

Times are seconds on the scheduler's clock, relative to the start of the load.
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

# how long after its deadline an answer may arrive: the nodes' `answer_slack_us`, 80 ms, and 50 ms for sockets
ANSWER_SLACK_S = 0.08 + 0.05
REPORT_SLOT_S = 0.1  # over which reports are counted
MIN_LAG_S = 0.005  # smaller lags of the rig are not recorded
RECOVERED_FRACTION = 0.95  # of the worth served before the fault, from which service counts as recovered


def window_means(
    spans: Sequence[tuple[float, float]], window_s: float, step_s: float = 0.1
) -> list[tuple[float, float]]:
    """Return the mean of a step function in each window of `window_s` seconds, with the window's start.

    `spans` holds each value with the time from which it holds. Windows start `step_s` apart, and all lie
    between the first and the last of these times.
    """
    if not spans:
        return []
    starts, integrals, total = [spans[0][0]], [0.0], 0.0
    for (since, value), (until, _) in itertools.pairwise(spans):
        total += value * (until - since)
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
    """Return a step function lowered by a fraction within each slot (from, until, fraction).

    Fractions of slots that overlap are applied one after the other. `spans` holds each value with the time
    from which it holds, and so does the result.
    """
    steps: list[tuple[float, int, float]] = [(since, 0, value) for since, value in spans]
    for since, until, fraction in slots:
        steps += [(since, 1, 1.0 - fraction), (until, -1, 1.0 - fraction)]
    result: list[tuple[float, float]] = []
    value, active = 0.0, Counter[float]()  # how many active slots keep each fraction
    for at_s, change, operand in sorted(steps):  # operand: a new value, or a fraction that a slot keeps
        if change:
            active[operand] += change
        else:
            value = operand
        remaining = value * prod(fraction for fraction, number in active.items() for _ in range(number))
        if spans and spans[0][0] <= at_s <= spans[-1][0]:
            result.append((at_s, remaining))
    return result


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, over all its attempts."""

    request_class: RequestClass
    key: str
    body: bytes
    created_s: float
    served_s: float | None = None
    call_skipped: bool = False
    attempt_count: int = 0
    finished: bool = False

    def earned_worth(self) -> float:
        """Return the worth that its answer earned, which is 0 unless it was served within the objective."""
        if self.served_s is None or self.served_s - self.created_s > self.request_class.aim_ms / 1000:
            return 0.0
        return self.request_class.worth * (self.request_class.skip_worth if self.call_skipped else 1.0)


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one node."""

    run_id: str
    node: str
    request: ClientRequest
    sent_s: float
    verdicts: list[str] = field(default_factory=list)
    ended_s: float = inf  # when it was first answered or its connection closed
    excused: bool = False  # a fault on the path explains a missing answer


class RunHistory:
    """What happened in one run, and the violations found in it."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.load_start_s = 0.0  # on the scheduler's clock
        self.requests: list[ClientRequest] = []
        self.attempts: dict[str, Attempt] = {}
        self.report_times_s: list[float] = []
        self.listings: list[tuple[float, str]] = []
        self.calls: list[float] = []
        self.downstream_calls: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.events: list[tuple[float, str]] = []
        self.rig_lags: list[tuple[float, float]] = []  # when the rig was late, and by how much
        # by node and idempotency key: when attempts were sent, and their run ids
        self.runs: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.violations: list[str] = []
        self.pauses: dict[str, list[tuple[float, float]]] = defaultdict(list)  # of nodes, from and until
        # of nodes: from, until, and the fraction of that time for which the node waited for a core
        self.core_waits: dict[str, list[tuple[float, float, float]]] = defaultdict(list)
        self.process_end_s: dict[str, float] = {}  # when the last process of a node ended
        self.nodes_start_s = 0.0  # when the first nodes were started
        self.counts: Counter[str] = Counter()
        self.membership: MembershipObserver | None = None  # of the fleet, if there is one; live rig only

    # Recording

    def begin_load(self, now: float) -> None:
        """Set time 0 to now; what was recorded before gets negative times."""
        shift, self.load_start_s = now - self.load_start_s, now
        self.nodes_start_s -= shift
        self.report_times_s = [at_s - shift for at_s in self.report_times_s]
        self.listings = [(at_s - shift, name) for at_s, name in self.listings]
        self.calls = [at_s - shift for at_s in self.calls]
        self.rig_lags = [(at_s - shift, lag_s) for at_s, lag_s in self.rig_lags]
        self.events = [(at_s - shift, text) for at_s, text in self.events]
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
                name: [(at_s - shift, call_count) for at_s, call_count in spans]
                for name, spans in self.downstream_calls.items()
            },
        )

    def record_pause(self, node: str, since: float, until: float) -> None:
        """Record that a node was paused."""
        self.pauses[node].append((since - self.load_start_s, until - self.load_start_s))

    def record_core_wait(self, node: str, since: float, until: float, wait_s: float) -> None:
        """Record for how long between two times a node was ready to run but had no core."""
        if wait_s > 0:
            self.core_waits[node].append(
                (since - self.load_start_s, until - self.load_start_s, min(1.0, wait_s / (until - since)))
            )

    def record_process_end(self, node: str, now: float) -> None:
        """Record that a node's process has ended; its successor does not know its idempotency keys."""
        self.process_end_s[node] = now - self.load_start_s

    def record_listed(self, now: float, name: str) -> None:
        """Record that the service registry has listed a node."""
        self.listings.append((now - self.load_start_s, name))

    def record_event(self, now: float, text: str) -> None:
        """Record a fault or its effect."""
        self.events.append((now - self.load_start_s, text))

    def record_report(self, now: float, was_read: bool) -> None:
        """Record a report to the service registry, and whether the registry read it."""
        self.report_times_s.append(now - self.load_start_s)
        self.counts["reports_read" if was_read else "reports_unread"] += 1

    def record_call(self, now: float) -> None:
        """Record a call to a downstream service."""
        self.calls.append(now - self.load_start_s)

    def record_downstream_calls(self, now: float, name: str, call_count: int) -> None:
        """Record the number of calls in progress at a downstream service from now on."""
        self.downstream_calls[name].append((now - self.load_start_s, call_count))

    def record_run(self, now: float, node: str, run_id: str) -> None:
        """Record a run; a violation if no caller sent it, or a process runs a key twice in its window."""
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
        """Record an attempt that is sent to a node."""
        attempt = self.attempts[run_id] = Attempt(run_id, node, request, now - self.load_start_s)
        request.attempt_count += 1
        return attempt

    def record_answer(self, now: float, attempt: Attempt, verdict: str, body: bytes) -> None:
        """Record an answer to an attempt, and check that it is the only one, timely, and the run's result."""
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
        """Record that the rig itself was late: what it sees now may have happened that much earlier."""
        if lag_s > MIN_LAG_S:
            self.rig_lags.append((now - self.load_start_s, lag_s))

    def _lags_since(self, since: float) -> list[float]:
        recent = itertools.takewhile(lambda span: span[0] >= since, reversed(self.rig_lags))
        return [lag_s for _, lag_s in recent]

    def max_lag_since(self, since: float) -> float:
        """Return the rig's maximum lag since a time."""
        return max(self._lags_since(since), default=0.0)

    def total_lag_since(self, since: float) -> float:
        """Return the total time since `since` for which the rig saw nothing.

        A close that it sees now may have happened that much earlier.
        """
        return sum(self._lags_since(since))

    def _paused_s(self, node: str, since: float, until: float) -> float:
        """Return for how long a node was paused between two times."""
        return sum(max(0.0, min(end, until) - max(begin, since)) for begin, end in self.pauses[node])

    def record_no_answer(self, now: float, attempt: Attempt, excused: bool) -> None:
        """Record that a connection closed before an attempt was answered, which a fault may excuse."""
        attempt.excused = attempt.excused or excused
        attempt.ended_s = min(attempt.ended_s, now - self.load_start_s)
        if not attempt.verdicts and not attempt.excused:
            self.violations.append(
                f"{attempt.node} closed under {attempt.run_id}, "
                f"written {now - self.load_start_s - attempt.sent_s:.3f} s before"
            )

    def is_settled(self) -> bool:
        """Return whether every request has finished, and every attempt has an answer or an excuse."""
        return all(request.finished for request in self.requests) and all(
            attempt.verdicts or attempt.excused for attempt in self.attempts.values()
        )

    def check_unanswered(self, now: float) -> None:
        """Record a violation for each attempt that is overdue without an answer."""
        for attempt in self.attempts.values():
            due_s = attempt.sent_s + attempt.request.request_class.deadline_ms / 1000 + ANSWER_SLACK_S
            late = now - self.load_start_s > due_s + self._paused_s(
                attempt.node, attempt.sent_s, now - self.load_start_s
            )
            if not attempt.verdicts and not attempt.excused and late:
                self.violations.append(f"{attempt.node} never answered {attempt.run_id}")

    # Evaluation

    def open_attempts(self, node: str) -> list[tuple[float, int]]:
        """Return the number of open attempts at a node, each value with the time from which it holds."""
        steps = sorted(
            [(attempt.sent_s, 1) for attempt in self.attempts.values() if attempt.node == node]
            + [(attempt.ended_s, -1) for attempt in self.attempts.values() if attempt.node == node]
        )
        return list(
            zip((at_s for at_s, _ in steps), itertools.accumulate(change for _, change in steps), strict=True)
        )

    def open_attempts_with_core(self, node: str) -> list[tuple[float, float]]:
        """Return the open attempts at a node, discounted by the time without a core for the node or the rig.

        An attempt that is open during that time waits for the machine, not for the node.
        """
        rig_stalls = [(at_s - lag_s, at_s, 1.0) for at_s, lag_s in self.rig_lags]
        return discounted(self.open_attempts(node), [*self.core_waits[node], *rig_stalls])

    def _count_per_slot(self, times: list[float], slot_s: float) -> list[int]:
        counts: Counter[int] = Counter(
            int(at_s / slot_s) for at_s in times if 0 <= at_s < self.plan.run.seconds
        )
        return [counts[number] for number in range(max(1, int(self.plan.run.seconds / slot_s)))]

    def series(self) -> dict[str, list[float]]:
        """Return what happened in each second of the load.

        Requests count in the second in which they were created, attempts in that in which they were sent.
        `held NAME` is the highest number of calls in progress at a downstream service that was recorded in
        the second: a second in which no call began or ended has 0.
        """
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
        series["reports"] = [float(number) for number in self._count_per_slot(self.report_times_s, 1.0)]
        series["calls"] = [float(number) for number in self._count_per_slot(self.calls, 1.0)]
        for name, spans in self.downstream_calls.items():
            maxima = [0.0] * count
            for at_s, call_count in spans:
                if 0 <= at_s < count:
                    maxima[int(at_s)] = max(maxima[int(at_s)], call_count)
            series[f"held {name}"] = maxima
        return series

    def recovered_s(self, ends_s: float, before_s: float) -> float | None:
        """Return the seconds from the end of a fault until service has recovered for good; None: never.

        Service has recovered when each later second, but for the last of the run, serves `RECOVERED_FRACTION`
        of the mean share of worth that was served from second 1 to `before_s`.
        """
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
        """Return the figures of the run: counts, seconds, and fractions of 1."""
        asked_worth = sum(request.request_class.worth for request in self.requests)
        report_counts, count = (
            self._count_per_slot(self.report_times_s, REPORT_SLOT_S),
            len(self.plan.node_names()),
        )
        mean = sum(report_counts) / len(report_counts)
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
                len([at_s for at_s in self.calls if at_s >= 0]) / max(1, len(self.requests)), 3
            ),
            "most_held": {
                name: max(call_count for _, call_count in spans)
                for name, spans in self.downstream_calls.items()
            },
            "falls": sum("falls over" in text for _, text in self.events),
            "reports_per_node_s": round(sum(report_counts) / self.plan.run.seconds / count, 3),
            "reports_most_in_100ms": max(report_counts),
            "reports_mean_in_100ms": round(mean, 2),
            "all_listed_s": self.all_listed_s(count),
            "recovered_s": None if faults_end_s is None else self.recovered_s(faults_end_s, faults[0].at_s),
            "rig_late_s": round(self.max_lag_since(0.0), 3),
            "broken": len(self.violations),
        }

    def all_listed_s(self, count: int) -> float | None:
        """Return the seconds from the start of the nodes until each had been listed once; None: never."""
        first_listed_s: dict[str, float] = {}
        for at_s, name in self.listings:
            first_listed_s.setdefault(name, at_s)
        return (
            round(max(first_listed_s.values()) - self.nodes_start_s, 2)
            if len(first_listed_s) == count
            else None
        )
