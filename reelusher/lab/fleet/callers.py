"""Callers, without sockets: they pick listed nodes, retry, and follow the hints of nodes or not."""

import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from reelusher.lab.fleet.account import Attempt, ClientRequest, RunHistory
from reelusher.lab.fleet.plan import Plan
from reelusher.lab.fleet.services import Scheduler

MAX_RANDOM_PICKS = 8  # before all listed nodes are checked
HINT_TTL_S = 1.0  # how long an advertised capacity is respected


class Transport(Protocol):
    """Carries attempts to nodes and answers back."""

    def send(self, caller: "Caller", attempt: Attempt) -> None:
        """Send an attempt; `Caller.on_answer` or `Caller.on_no_answer` reports its end."""


class Caller:
    """A caller whose clients send requests at random times, independently of earlier answers."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: Plan,
        zone: str,
        number: int,
        history: RunHistory,
        listed_nodes: Callable[[], frozenset[str]],
        transport: Transport,
        rate: float,
        ids: "itertools.count[int]",
    ) -> None:
        self.scheduler, self.plan, self.number, self.history = scheduler, plan, number, history
        self.listed_nodes, self.transport, self.rate, self.ids = listed_nodes, transport, rate, ids
        self.random = random.Random(f"{plan.run.seed} caller {number}")
        self.follows_hints = self.random.random() < plan.caller_plan.heeds
        self.outstanding: Counter[str] = Counter()
        # by node, each with the time until which it is respected
        self.advertised_capacity: dict[str, tuple[float, float]] = {}
        self.retry_not_before_s: dict[str, float] = {}
        self.endpoint = f"callers.{zone}"
        self._last_listed: frozenset[str] = frozenset()
        self._order: list[str] = []  # the listed nodes, sorted so that equal seeds give equal picks

    def start(self) -> None:
        """Send requests from now on until the end of the load."""
        if self.rate:
            self._schedule_next()

    def _schedule_next(self) -> None:
        now = self.scheduler.time() - self.history.load_start_s
        wait_s = self.random.expovariate(self.rate * max(0.001, self.plan.load_factor(now)))
        if now + wait_s < self.plan.run.seconds:
            self.scheduler.call_later(wait_s, self._send_request)

    def _send_request(self) -> None:
        self._schedule_next()
        classes = self.plan.classes
        request_class = self.random.choices(classes, [candidate.share for candidate in classes])[0]
        number = next(self.ids)
        body = f"{request_class.name}-{number}".encode()
        request = ClientRequest(
            request_class,
            f"{number:032x}" if request_class.keyed else "",
            body,
            self.scheduler.time() - self.history.load_start_s,
        )
        self.history.requests.append(request)
        self._attempt(request, set())

    def _time_left_s(self, request: ClientRequest) -> float:
        return (
            request.created_s
            + request.request_class.deadline_ms / 1000
            - (self.scheduler.time() - self.history.load_start_s)
        )

    def _pick_node(self, tried: set[str]) -> str | None:
        """Return a listed node that hints allow, if possible one that was not tried before."""
        listed_nodes = self.listed_nodes()
        if listed_nodes is not self._last_listed:
            self._last_listed, self._order = listed_nodes, sorted(listed_nodes)
        # Checking all nodes for each request would cost more than the request itself.
        for _ in range(MAX_RANDOM_PICKS if self._order else 0):
            node = self.random.choice(self._order)
            if node not in tried and self._may_send(node):
                return node
        allowed = [node for node in self._order if self._may_send(node)]
        untried = [node for node in allowed if node not in tried] or allowed
        return self.random.choice(untried) if untried else None

    def _may_send(self, node: str) -> bool:
        """Return whether hints allow an attempt at a node; always true for callers that ignore hints."""
        now = self.scheduler.time()
        capacity, expires_s = self.advertised_capacity.get(node, (0.0, 0.0))
        blocked = self.retry_not_before_s.get(node, 0.0) > now or (
            expires_s > now and self.outstanding[node] >= capacity
        )
        return not (self.follows_hints and blocked)

    def _attempt(self, request: ClientRequest, tried: set[str], node: str | None = None) -> None:
        if request.finished or self._time_left_s(request) <= 0:
            request.finished = True
            return
        caller_plan = self.plan.caller_plan
        if caller_plan.tries and request.attempt_count >= caller_plan.tries:
            request.finished = True
            return
        node = node or self._pick_node(tried)
        if node is None:  # no node is available: look again until the deadline
            self.scheduler.call_later(0.1, self._attempt, request, tried)
            return
        tried.add(node)
        self.outstanding[node] += 1
        attempt = self.history.record_attempt(self.scheduler.time(), f"{next(self.ids):016x}", node, request)
        self.transport.send(self, attempt)

    def on_answer(self, attempt: Attempt, verdict: str, fields: dict[str, str], body: bytes) -> None:
        """Handle an answer; its verdict is `served`, `refused` or `failed`, or `again` for a second one."""
        now, request, node = self.scheduler.time(), attempt.request, attempt.node
        is_first = not attempt.verdicts
        self.history.record_answer(now, attempt, verdict, body)
        if not is_first:
            return
        self.outstanding[node] -= 1
        if "feedback" in fields:
            capacity = float(fields["feedback"])
            tokens = int(capacity) + (self.random.random() < capacity - int(capacity))
            self.advertised_capacity[node] = tokens, now + HINT_TTL_S
        if "later" in fields:
            self.retry_not_before_s[node] = now + float(fields["later"]) / 1000
        if verdict == "served":
            if not request.finished and self._time_left_s(request) > 0:
                request.served_s, request.call_skipped, request.finished = (
                    now - self.history.load_start_s,
                    body[:1] == b"-",
                    True,
                )
        elif verdict == "refused" and self.follows_hints and fields.get("giveup") == "1":
            request.finished = True
        else:
            self._retry(request, node, verdict != "refused")

    def on_no_answer(self, attempt: Attempt, excused: bool, may_have_run: bool = True) -> None:
        """Handle the loss of an attempt without an answer.

        `excused` tells that a fault explains it, `may_have_run` that the node may have run the attempt.
        """
        self.history.record_no_answer(self.scheduler.time(), attempt, excused)
        self.outstanding[attempt.node] -= 1
        self._retry(attempt.request, attempt.node, may_have_run)

    def _retry(self, request: ClientRequest, node: str, may_have_run: bool) -> None:
        """Retry after a delay; a keyed request that may have run returns to the same node."""
        wait_s = self.plan.caller_plan.wait_ms / 1000 * self.random.uniform(0.5, 1.5)
        same_node = node if request.key and may_have_run else None
        self.scheduler.call_later(max(0.001, wait_s), self._attempt, request, {node}, same_node)
