"""Plays a plan on a virtual clock, with the real core and decision module of each node but without sockets.

Differences from the live rig: a message between two endpoints takes `LINK_LATENCY_S`; threads, front ends,
connections and send queues cost nothing; a downstream call waits for no connection; a broken link loses a
message for good.
"""

from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random

from reelusher.config.checked_table import ConfigError
from reelusher.config.platform_settings import settings_from_parsed
from reelusher.core.clock import Clock
from reelusher.core.event_loop import Core
from reelusher.core.messages import (
    Answer,
    CallFinished,
    CallReply,
    CallRequested,
    DrainRequested,
    GaugesReceived,
    IncomingRequest,
    Message,
    RequestArrived,
    Result,
    RunFinished,
    Verdict,
)
from reelusher.lab.fleet.account import Attempt, RunHistory
from reelusher.lab.fleet.callers import Caller
from reelusher.lab.fleet.plan import Fault, Plan
from reelusher.lab.fleet.processes import node_seed, node_settings
from reelusher.lab.fleet.services import Job, Runtime, result_body
from reelusher.lab.fleet.stage import FINAL_ANSWERS_S, Scenario
from reelusher.lab.fleet.virtual import VirtualClock
from reelusher.pacing.report_schedule import ReportFailure, ReportSchedule
from reelusher.policy.events import Outcome

LINK_LATENCY_S = 0.0005  # of a message between two endpoints
STARTUP_S = 0.4  # from the start of a process until it listens, as in the live rig
EPOCH_S = 1_700_000_000  # Unix time at the start of the virtual clock
STEP_S = 1.0  # of the clock while last answers are awaited, and before a paused node tries again to report
UNSUPPORTED_FAULTS = ("starve", "loss", "duplicate", "reorder")  # need real sockets or a real processor
OUTCOMES = {"yes": Outcome.OK, "notnow": Outcome.REJECTED, "failed": Outcome.ERROR}


class ModelCore(Core):
    """The core without its thread: messages go to `deliver`, which decides when they are processed."""

    deliver: Callable[[Message], None]

    def post(self, message: Message) -> None:
        """Deliver a message for the core."""
        self.deliver(message)


class SimulatedNode:
    """One process of a node: runner and dependency of its core, which it drives by the virtual clock."""

    def __init__(self, scenario: "Model", name: str, process_number: int) -> None:
        self.scenario, self.name, self.scheduler = scenario, name, scenario.scheduler
        self.runtime: Runtime = scenario.runtimes[name]
        self.downstream = scenario.downstreams[scenario.downstream_of(name)]
        self.alive, self.paused, self.draining = True, False, False
        self.inbox: deque[Message] = deque()
        self.remaining_work_ms: dict[str, float] = {}
        self.call_numbers: dict[str, int] = {}
        self.open_attempts: dict[str, tuple[Caller, Attempt]] = {}
        self.call_serial, self._next_turn_s = 0, float("inf")
        policy_settings, gauges = settings_from_parsed(
            scenario.settings_by_cold_start[scenario.is_cold_start(name)]
        )
        # monotonic and wall clock are both the virtual clock
        clock = Clock(*[lambda: int((EPOCH_S + self.scheduler.time()) * 1e9)] * 2)
        self.core = ModelCore(
            policy_settings,
            gauges,
            node_seed(scenario.plan, name) + process_number,
            self,
            self,
            [request_class.name for request_class in scenario.plan.classes],
            clock,
        )
        self.core.deliver = self.post
        self.runtime.on_finished, self.runtime.on_call_needed = self._on_run_finished, self._on_call_needed
        self.core.begin()
        self._wake(0.0)
        self.report_schedule = ReportSchedule(Random(f"{node_seed(scenario.plan, name)} {process_number}"))
        self.scheduler.call_later(self.report_schedule.first_delay_s(), self._report)

    # Driving the core

    def post(self, message: Message) -> None:
        """Queue a message for the core."""
        self.inbox.append(message)
        self._wake(0.0)

    def _wake(self, wait_s: float) -> None:
        turn_s = self.scheduler.time() + wait_s
        if turn_s < self._next_turn_s and self.alive and not self.paused:
            self._next_turn_s = turn_s
            self.scheduler.call_later(wait_s, self._turn, turn_s)

    def _turn(self, turn_s: float) -> None:
        if turn_s != self._next_turn_s or not self.alive or self.paused:
            return  # another turn was scheduled in its place
        batch = list(self.inbox)
        self.inbox.clear()
        self._next_turn_s = float("inf")
        self.core.process_batch(batch)
        due = self.core.next_timer_us()
        if self.inbox:
            self._wake(0.0)
        elif due is not None:
            self._wake(max(1e-6, due / 1e6 - EPOCH_S - self.scheduler.time()))

    def unpause(self) -> None:
        """Resume after a pause."""
        self.paused, self._next_turn_s = False, float("inf")
        self._wake(0.0)

    def after_latency(self, act: Callable[..., None], *args: object) -> None:
        """Call `act` after the latency of a message between endpoints."""
        self.scheduler.call_later(LINK_LATENCY_S, act, *args)

    # Runner

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run; `RunFinished` reports its end."""
        self.after_latency(self.runtime.start, request.run_id, class_name, request.body)

    def stop(self, run_id: str) -> None:
        """Do nothing: runtimes of the lab can't stop runs."""

    def resume(self, run_id: str) -> None:
        """Do nothing: runs are never stopped."""

    def deliver_reply(self, run_id: str, reply: CallReply) -> None:
        """Let a run continue with the reply to its call."""
        self.after_latency(self.runtime.continue_run, run_id, self.remaining_work_ms.pop(run_id), False)

    def skip_call(self, run_id: str, serial: int) -> None:
        """Let a run continue without its call."""
        self.after_latency(self.runtime.continue_run, run_id, self.remaining_work_ms.pop(run_id), True)

    def request_gauges(self, cookie: str) -> bool:
        """Request the gauges; `GaugesReceived` reports them."""
        self.after_latency(
            lambda: self.after_latency(self.post, GaugesReceived(cookie, tuple(self.runtime.gauges())))
        )
        return True

    def _on_run_finished(self, job: Job) -> None:
        duration_us = int((self.scheduler.time() - job.started_s) * 1e6)
        self.after_latency(
            self.post, RunFinished(job.run_id, Outcome.OK, duration_us, Result(result_body(job)))
        )

    def _on_call_needed(self, job: Job, ms: float) -> None:
        self.remaining_work_ms[job.run_id] = ms
        self.call_serial += 1
        self.after_latency(self.post, CallRequested(job.run_id, self.call_serial, job.body))

    # Dependency

    def call(self, run_id: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a downstream call; `CallFinished` reports its end unless a fault loses a message."""
        if self.scenario.passes(self.name, self.downstream.name):
            self.after_latency(self._start_call, run_id, ticket)

    def _start_call(self, run_id: str, ticket: int) -> None:
        if self.alive:
            number = self.downstream.call(partial(self._on_reply, run_id, ticket))
            if number:
                self.call_numbers[run_id] = number

    def _on_reply(self, run_id: str, ticket: int, reply: str) -> None:
        self.call_numbers.pop(run_id, None)
        if self.scenario.passes(self.downstream.name, self.name):
            self.after_latency(self.post, CallFinished(run_id, ticket, OUTCOMES[reply], b"ok"))

    def cancel(self, run_id: str, ticket: int) -> None:
        """Cancel a call whose reply is no longer needed."""
        self.downstream.cancel(self.call_numbers.pop(run_id, 0))

    # Service registry

    def _report(self) -> None:
        """Report as the node's own reporting thread does; in an outage the registry refuses at once."""
        if not self.alive or self.draining:
            return
        began_s, registry, finished = self.scheduler.time(), self.scenario.registry, False

        def finish(failure: ReportFailure | None) -> None:
            nonlocal finished
            if not finished:
                finished, now = True, self.scheduler.time()
                self.scheduler.call_later(
                    self.report_schedule.on_failure(failure, now)
                    if failure
                    else self.report_schedule.on_success(began_s, now),
                    self._report,
                )

        if self.paused:
            self.scheduler.call_later(STEP_S, self._report)
            return
        if self.scenario.passes(self.name, "list"):
            registry.report(self.name, partial(finish, None))
        if registry.unavailable:
            self.scheduler.call_later(LINK_LATENCY_S, finish, ReportFailure.UNAVAILABLE)
        else:
            self.scheduler.call_later(self.report_schedule.timeout_s(), finish, ReportFailure.NO_REPLY)

    # Callers

    def arrive(self, caller: Caller, attempt: Attempt) -> None:
        """Accept an attempt, or lose it if the node is dead or draining."""
        if not self.alive or self.draining:
            caller.on_no_answer(attempt, True, may_have_run=False)
            return
        request = attempt.request
        class_index = next(
            number
            for number, request_class in enumerate(self.scenario.plan.classes)
            if request_class is request.request_class
        )
        self.open_attempts[attempt.run_id] = caller, attempt
        self.post(
            RequestArrived(
                IncomingRequest(
                    attempt.run_id,
                    class_index,
                    request.body,
                    self.core.clock.now(),
                    partial(self._answer, attempt.run_id),
                    caller=caller.number,
                    held_kb=10,
                    expected_work_us=int(request.request_class.work_ms * 1000),
                    idempotency_key=request.key,
                )
            )
        )

    def _answer(self, run_id: str, answer: Answer) -> None:
        caller, attempt = self.open_attempts.pop(run_id)
        fields = (
            {} if answer.advertised_capacity is None else {"feedback": f"{answer.advertised_capacity:.4f}"}
        )
        if answer.verdict is Verdict.REJECTED:
            fields |= {"later": str(answer.retry_after_us // 1000)} if answer.retry_after_us else {}
            fields |= {"giveup": "1"} if answer.no_retry else {}
        body = answer.result.body if answer.result else b""
        if self.scenario.passes(self.name, caller.endpoint):
            self.after_latency(caller.on_answer, attempt, answer.verdict.value, fields, body)
        else:
            caller.on_no_answer(attempt, True)

    def drain(self, stop_s: float) -> None:
        """Stop accepting attempts and drain, for at most `stop_s`."""
        self.draining = True
        now = self.core.clock.now()
        self.post(DrainRequested(now + int(stop_s * 1e6), now))

    def kill(self) -> None:
        """End the process at once and lose its open attempts."""
        self.alive = False
        for number in self.call_numbers.values():
            self.downstream.cancel(number)
        unanswered, self.open_attempts = self.open_attempts, {}
        for caller, attempt in unanswered.values():
            caller.on_no_answer(attempt, True)


class Model(Scenario):
    """A run of a plan on a virtual clock."""

    def __init__(self, plan: Plan) -> None:
        for number, fault in enumerate(plan.faults):
            if fault.kind in UNSUPPORTED_FAULTS:
                raise ConfigError(f"faults[{number}].kind", f"the model knows no {fault.kind}")
        self.virtual_clock = VirtualClock()
        super().__init__(plan, self.virtual_clock)
        self.settings_by_cold_start = {
            cold_start: node_settings(plan, cold_start) for cold_start in (False, True)
        }
        self.nodes: dict[str, SimulatedNode] = {}
        self.process_count = 0
        self._active_faults: list[Fault] = []

    def play(self) -> RunHistory:
        """Play the plan and return its history."""
        plan, history = self.plan, self.history
        self.start_nodes()
        while self.virtual_clock.now < plan.run.wait_s and not self.all_nodes_visible():
            self.virtual_clock.run(self.virtual_clock.now + 0.02)
        self.start_load(self)
        deadline_s = history.load_start_s + plan.run.seconds
        self.virtual_clock.run(deadline_s)
        while (
            self.virtual_clock.now < deadline_s + plan.longest_deadline_s() + FINAL_ANSWERS_S
            and not history.is_settled()
        ):
            self.virtual_clock.run(self.virtual_clock.now + STEP_S)
        history.check_unanswered(self.virtual_clock.now)
        return history

    def send(self, caller: Caller, attempt: Attempt) -> None:
        """Send an attempt to its node; see `callers.Transport`."""
        node = self.nodes.get(attempt.node)
        if node is None or not node.alive or not self.passes(caller.endpoint, attempt.node):
            self.scheduler.call_later(
                LINK_LATENCY_S, partial(caller.on_no_answer, attempt, True, may_have_run=False)
            )
            return
        node.runtime.read_request()
        self.scheduler.call_later(LINK_LATENCY_S, node.arrive, caller, attempt)

    def passes(self, source: str, target: str) -> bool:
        """Return whether a message from one endpoint to another would be delivered now."""
        return not any(fault.affects(source, target) for fault in self._active_faults)

    # Faults

    def set_link_fault(self, fault: Fault, active: bool) -> None:
        """Begin or end a fault of links; delays are ignored, since they are too small to matter here."""
        if fault.kind != "delay":
            (self._active_faults.append if active else self._active_faults.remove)(fault)

    def kill_node(self, name: str) -> None:
        """Kill a node."""
        if name in self.nodes:
            self.nodes.pop(name).kill()

    def start_node(self, name: str) -> None:
        """Start a node, which listens after `STARTUP_S`."""
        self.process_count += 1
        self.scheduler.call_later(STARTUP_S, self._on_started, name, self.process_count)

    def _on_started(self, name: str, process_number: int) -> None:
        if name not in self.dead_nodes and name not in self.nodes:
            self.nodes[name] = SimulatedNode(self, name, process_number)

    def set_paused(self, name: str, paused: bool) -> None:
        """Pause or resume a node."""
        node = self.nodes.get(name)
        if node is not None and paused:
            node.paused = True
        elif node is not None:
            node.unpause()

    def restart(self, name: str) -> None:
        """Drain a node, and start it again once all attempts are answered or its grace period ends."""
        node = self.nodes.get(name)
        if node is not None:
            node.drain(self.plan.nodes.stop_ms / 1000)
            self._finish_drain(name, node, self.scheduler.time() + self.plan.nodes.stop_ms / 1000)

    def _finish_drain(self, name: str, node: SimulatedNode, deadline_s: float) -> None:
        if node.core.attempts.unanswered and self.scheduler.time() < deadline_s:
            self.scheduler.call_later(0.05, self._finish_drain, name, node, deadline_s)
        elif self.nodes.get(name) is node:
            self.kill_node(name)
            self.on_node_ended(name)
            self.start_again(name)


def play(plan: Plan) -> RunHistory:
    """Play a plan on a virtual clock and return its history."""
    return Model(plan).play()
