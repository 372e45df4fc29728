"""The history of a soak: the rules of the rig's history, and those of drains, restarts and processes."""

from collections import defaultdict

from reelusher.lab.fleet.account import Attempt, RunHistory
from reelusher.lab.fleet.plan import LINK_FAULTS, Plan

GRACE_S = 1.0  # `drain_grace_us` of the rig's settings
SLACK_S = 0.05  # for sockets, as the protocol states
MAX_START_S = 10.0  # from the start of a process until it accepts connections
MAX_RESIDENT_MB = 96  # `memory_mb` of the rig's configuration
MAX_EXTRA_DESCRIPTORS = 48  # of a node at rest after the load, beyond those at rest before it
LOG_FAULTS = ("Traceback", " ERROR ", "failed unexpectedly", "invariant broken")
EXPECTED_ERRORS = ("reload: rejected, the current configuration stays in use",)  # after a broken file


class SoakHistory(RunHistory):
    """Records what happens to processes too, and checks it.

    A key runs once in its window at one node, also if the node's process was replaced or killed in between:
    its processes share their locks.
    """

    def __init__(self, plan: Plan) -> None:
        super().__init__(plan)
        self._term_s: dict[str, list[float]] = defaultdict(list)  # of nodes: the first SIGTERM of each drain
        self._exit_s: dict[str, list[float]] = defaultdict(list)  # of nodes: the end of each drain

    def terms(self, node: str) -> list[float]:
        """Return when a node was sent the first SIGTERM of each drain."""
        return self._term_s[node]

    def record_process_end(self, node: str, now: float) -> None:
        """Do nothing: the next process of the node still knows its idempotency keys."""

    def record_term(self, node: str, now: float) -> None:
        """Record that a node was sent the first SIGTERM of a drain."""
        self._term_s[node].append(now - self.load_start_s)

    def record_run(self, now: float, node: str, run_id: str) -> None:
        """Record a run; a violation also if its request was sent after the grace of a drain."""
        super().record_run(now, node, run_id)
        attempt = self.attempts.get(run_id)
        if attempt is None:
            return
        for term_s in self._term_s[node]:
            has_ended = any(term_s < exit_s <= attempt.sent_s for exit_s in self._exit_s[node])
            if not has_ended and attempt.sent_s > term_s + GRACE_S + SLACK_S:
                after_s = attempt.sent_s - term_s
                self.violations.append(f"{node} ran {run_id}, sent {after_s:.3f} s after SIGTERM")

    def record_answer(self, now: float, attempt: Attempt, verdict: str, body: bytes) -> None:
        """Record an answer; a fault of the link to its caller excuses that it is late."""
        if self._had_link_fault(attempt.node, attempt.sent_s, now - self.load_start_s):
            attempt.excused = True
        super().record_answer(now, attempt, verdict, body)

    def _had_link_fault(self, node: str, since: float, until: float) -> bool:
        """Return whether the link between callers and a node had a fault between two times."""
        callers = {f"callers.{zone.name}" for zone in self.plan.zones}
        return any(
            fault.kind in LINK_FAULTS
            and any(fault.affects(caller, node) or fault.affects(node, caller) for caller in callers)
            and fault.at_s <= until
            and fault.at_s + fault.for_s >= since
            for fault in self.plan.faults
        )

    def record_exit(self, node: str, now: float, status: int | None, stop_s: float) -> None:
        """Record the end of a drain: status None if the process had to be killed after `stop_s`."""
        self._exit_s[node].append(now - self.load_start_s)
        if status is None:
            until_s = now - self.load_start_s
            waited_s = self._waited_s(node, until_s - stop_s, until_s)
            self.violations.append(
                f"{node} had not exited {stop_s:.1f} s after SIGTERM, {waited_s:.1f} s of them without a core"
            )
        elif status:
            self.violations.append(f"{node} left with status {status}")

    def _paused_s(self, node: str, since: float, until: float) -> float:
        """Return for how long a node was paused or had no core between two times."""
        return super()._paused_s(node, since, until) + self._waited_s(node, since, until)

    def _waited_s(self, node: str, since: float, until: float) -> float:
        return sum(
            fraction * max(0.0, min(end_s, until) - max(start_s, since))
            for start_s, end_s, fraction in self.core_waits[node]
        )

    def record_start(self, node: str, duration_s: float) -> None:
        """Record how long a process took until it accepted a connection."""
        if duration_s > MAX_START_S:
            self.violations.append(f"{node} accepted no connection within {MAX_START_S:.0f} s of its start")

    def record_resources(self, node: str, before: int, after: int, resident_mb: float) -> None:
        """Record the descriptors of a process at rest before and after the load, and its memory."""
        if after > before + MAX_EXTRA_DESCRIPTORS:
            self.violations.append(f"{node} has {after} descriptors at rest, {before} before")
        if resident_mb > MAX_RESIDENT_MB:
            self.violations.append(f"{node} has {resident_mb:.0f} MB resident")

    def record_log(self, node: str, text: str) -> None:
        """Record the log of a node; a line that tells of a fault in the node is a violation."""
        for line in text.splitlines():
            is_fault = any(fault in line for fault in LOG_FAULTS)
            if is_fault and not any(expected in line for expected in EXPECTED_ERRORS):
                self.violations.append(f"{node} logged: {line[:200]}")

    def record_key_locks(self, files: int, keyed_requests: int) -> None:
        """Record how many files of key locks are left."""
        if files > keyed_requests:
            self.violations.append(f"{files} key lock files for {keyed_requests} keyed requests")
