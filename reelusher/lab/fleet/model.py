"""The same plan on a virtual clock: the real core and decision module of each node, without sockets.

What differs from the live rig: a way between two parties takes `WAY_S`; threads, fronts, connections and
outboxes cost nothing; a call below has no connection to wait for; a broken link loses a message for good.
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
from reelusher.lab.fleet.account import Account, Try
from reelusher.lab.fleet.callers import Caller
from reelusher.lab.fleet.plan import Fault, Plan
from reelusher.lab.fleet.processes import seed_of, settings
from reelusher.lab.fleet.services import Job, Runtime, result_of
from reelusher.lab.fleet.stage import LAST_S, Stage
from reelusher.lab.fleet.virtual import VirtualClock
from reelusher.pacing.report_schedule import ReportFailure, ReportSchedule
from reelusher.policy.events import Outcome

WAY_S = 0.0005  # from one party to another
BOOT_S = 0.4  # from the start of a process until it listens, as the live rig shows
EPOCH_S = 1_700_000_000
STEP_S = 1.0
UNKNOWN = ("starve", "loss", "duplicate", "reorder")  # faults that need a wire or a processor
OUTCOMES = {"yes": Outcome.OK, "notnow": Outcome.REJECTED, "failed": Outcome.ERROR}


class ModelCore(Core):
    """The core with its thread replaced: messages are handed on to whoever plays the time."""

    hand: Callable[[Message], None]

    def post(self, message: Message) -> None:
        """Hand a message over."""
        self.hand(message)


class Node:
    """One life of a node: runner and dependency of its core, and what turns it."""

    def __init__(self, stage: "Model", name: str, life: int) -> None:
        self.stage, self.name, self.line = stage, name, stage.line
        self.runtime: Runtime = stage.runtimes[name]
        self.below = stage.belows[stage.below_of(name)]
        self.alive, self.still, self.leaving = True, False, False
        self.inbox: deque[Message] = deque()
        self.waiting: dict[str, float] = {}
        self.calls: dict[str, int] = {}
        self.open: dict[str, tuple[Caller, Try]] = {}
        self.serial, self._turn_s = 0, float("inf")
        made, gauges = settings_from_parsed(stage.settings[stage.is_fresh(name)])
        clock = Clock(*[lambda: int((EPOCH_S + self.line.time()) * 1e9)] * 2)  # both clocks are the model's
        self.core = ModelCore(
            made,
            gauges,
            seed_of(stage.plan, name) + life,
            self,
            self,
            [kind.name for kind in stage.plan.kinds],
            clock,
        )
        self.core.hand = self.post
        self.runtime.ended, self.runtime.wants = self._ended, self._wants
        self.core.begin()
        self._wake(0.0)
        self.cadence = ReportSchedule(Random(f"{seed_of(stage.plan, name)} {life}"))
        self.line.call_later(self.cadence.first_delay_s(), self._report)

    # Turns

    def post(self, message: Message) -> None:
        """Take a message for the core."""
        self.inbox.append(message)
        self._wake(0.0)

    def _wake(self, wait_s: float) -> None:
        at = self.line.time() + wait_s
        if at < self._turn_s and self.alive and not self.still:
            self._turn_s = at
            self.line.call_later(wait_s, self._turn, at)

    def _turn(self, at: float) -> None:
        if at != self._turn_s or not self.alive or self.still:
            return  # an earlier turn has taken its place
        batch = list(self.inbox)
        self.inbox.clear()
        self._turn_s = float("inf")
        self.core.process_batch(batch)
        due = self.core.next_timer_us()
        if self.inbox:
            self._wake(0.0)
        elif due is not None:
            self._wake(max(1e-6, due / 1e6 - EPOCH_S - self.line.time()))

    def go_on(self) -> None:
        """Go on after standing still."""
        self.still, self._turn_s = False, float("inf")
        self._wake(0.0)

    def later(self, act: Callable[..., None], *args: object) -> None:
        """Do something after the way to a party on the same machine, or back."""
        self.line.call_later(WAY_S, act, *args)

    # Runner

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run."""
        self.later(self.runtime.start, request.run_id, class_name, request.body)

    def stop(self, call: str) -> None:
        """Nothing: the plan's machines can't stop runs."""

    def resume(self, call: str) -> None:
        """Nothing, for the same reason."""

    def deliver_reply(self, call: str, body: bytes) -> None:
        """Hand over a reply."""
        self.later(self.runtime.go_on, call, self.waiting.pop(call), False)

    def skip_call(self, call: str, serial: int) -> None:
        """Go on without the call."""
        self.later(self.runtime.go_on, call, self.waiting.pop(call), True)

    def request_gauges(self, cookie: str) -> bool:
        """Ask for the gauges."""
        self.later(lambda: self.later(self.post, GaugesReceived(cookie, tuple(self.runtime.gauges()))))
        return True

    def _ended(self, job: Job) -> None:
        took_us = int((self.line.time() - job.began_s) * 1e6)
        self.later(self.post, RunFinished(job.call, Outcome.OK, took_us, Result(result_of(job))))

    def _wants(self, job: Job, ms: float) -> None:
        self.waiting[job.call] = ms
        self.serial += 1
        self.later(self.post, CallRequested(job.call, self.serial, job.body))

    # Dependency

    def call(self, call: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a call below."""
        if self.stage.passes(self.name, self.below.name):
            self.later(self._call, call, ticket)

    def _call(self, call: str, ticket: int) -> None:
        if self.alive:
            number = self.below.call(partial(self._reply, call, ticket))
            if number:
                self.calls[call] = number

    def _reply(self, call: str, ticket: int, word: str) -> None:
        self.calls.pop(call, None)
        if self.stage.passes(self.below.name, self.name):
            self.later(self.post, CallFinished(call, ticket, OUTCOMES[word], b"ok"))

    def cancel(self, call: str, ticket: int) -> None:
        """Give a call up."""
        self.below.give_up(self.calls.pop(call, 0))

    # List

    def _report(self) -> None:
        """Report as the node's own catalog thread does; a service that is away refuses at once."""
        if not self.alive or self.leaving:
            return
        began, listed, over = self.line.time(), self.stage.list, False

        def end(why: ReportFailure | None) -> None:
            nonlocal over
            if not over:
                over, now = True, self.line.time()
                self.line.call_later(
                    self.cadence.on_failure(why, now) if why else self.cadence.on_success(began, now),
                    self._report,
                )

        if self.still:
            self.line.call_later(STEP_S, self._report)
            return
        if self.stage.passes(self.name, "list"):
            listed.report(self.name, partial(end, None))
        if listed.away:
            self.line.call_later(WAY_S, end, ReportFailure.UNAVAILABLE)
        else:
            self.line.call_later(self.cadence.timeout_s(), end, ReportFailure.NO_REPLY)

    # Callers

    def arrive(self, caller: Caller, one: Try) -> None:
        """Take a try."""
        if not self.alive or self.leaving:
            caller.broken(one, True, ran=False)
            return
        ask = one.ask
        kind = next(number for number, kind in enumerate(self.stage.plan.kinds) if kind is ask.kind)
        self.open[one.call] = caller, one
        self.post(
            RequestArrived(
                IncomingRequest(
                    one.call,
                    kind,
                    ask.body,
                    self.core.clock.now(),
                    partial(self._answer, one.call),
                    caller=caller.number,
                    held_kb=10,
                    expected_work_us=int(ask.kind.work_ms * 1000),
                    idempotency_key=ask.key,
                )
            )
        )

    def _answer(self, call: str, answer: Answer) -> None:
        caller, one = self.open.pop(call)
        fields = (
            {} if answer.advertised_capacity is None else {"feedback": f"{answer.advertised_capacity:.4f}"}
        )
        if answer.verdict is Verdict.REJECTED:
            fields |= {"later": str(answer.retry_after_us // 1000)} if answer.retry_after_us else {}
            fields |= {"giveup": "1"} if answer.no_retry else {}
        body = answer.result.body if answer.result else b""
        if self.stage.passes(self.name, caller.party):
            self.later(caller.answered, one, answer.verdict.value, fields, body)
        else:
            caller.broken(one, True)

    def drain(self, stop_s: float) -> None:
        """Be told to leave."""
        self.leaving = True
        now = self.core.clock.now()
        self.post(DrainRequested(now + int(stop_s * 1e6), now))

    def end(self) -> None:
        """End at once, with all in hand."""
        self.alive = False
        for number in self.calls.values():
            self.below.give_up(number)
        lost, self.open = self.open, {}
        for caller, one in lost.values():
            caller.broken(one, True)


class Model(Stage):
    """One run on a virtual clock."""

    def __init__(self, plan: Plan) -> None:
        for number, fault in enumerate(plan.faults):
            if fault.kind in UNKNOWN:
                raise ConfigError(f"faults[{number}].kind", f"the model knows no {fault.kind}")
        self.virtual = VirtualClock()
        super().__init__(plan, self.virtual)
        self.settings = {fresh: settings(plan, fresh) for fresh in (False, True)}
        self.nodes: dict[str, Node] = {}
        self.lives = 0
        self._standing: list[Fault] = []

    def play(self) -> Account:
        """Play the plan and return the books."""
        plan, account = self.plan, self.account
        self.begin_nodes()
        while self.virtual.now < plan.run.wait_s and not self.all_seen():
            self.virtual.run(self.virtual.now + 0.02)
        self.begin_load(self)
        until = account.zero_s + plan.run.seconds
        self.virtual.run(until)
        while self.virtual.now < until + plan.longest_s() + LAST_S and not account.settled():
            self.virtual.run(self.virtual.now + STEP_S)
        account.close(self.virtual.now)
        return account

    def send(self, caller: Caller, one: Try) -> None:
        """Carry a try to its node; a `callers.Way`."""
        node = self.nodes.get(one.node)
        if node is None or not node.alive or not self.passes(caller.party, one.node):
            self.line.call_later(WAY_S, partial(caller.broken, one, True, ran=False))
            return
        node.runtime.read()
        self.line.call_later(WAY_S, node.arrive, caller, one)

    def passes(self, source: str, target: str) -> bool:
        """Tell whether a message gets through at present."""
        return not any(fault.stands_between(source, target) for fault in self._standing)

    # Faults

    def link(self, fault: Fault, begins: bool) -> None:
        """Break links or mend them; a delay is too small to matter here and breaks nothing."""
        if fault.kind != "delay":
            (self._standing.append if begins else self._standing.remove)(fault)

    def end_node(self, name: str) -> None:
        """End a node at once."""
        if name in self.nodes:
            self.nodes.pop(name).end()

    def start_node(self, name: str) -> None:
        """Start a node, which listens after a while."""
        self.lives += 1
        self.line.call_later(BOOT_S, self._boot, name, self.lives)

    def _boot(self, name: str, life: int) -> None:
        if name not in self.dead and name not in self.nodes:
            self.nodes[name] = Node(self, name, life)

    def freeze(self, name: str, still: bool) -> None:
        """Have a node stand still, or go on."""
        node = self.nodes.get(name)
        if node is not None and still:
            node.still = True
        elif node is not None:
            node.go_on()

    def restart(self, name: str) -> None:
        """Drain a node, and start it again once it owes nothing."""
        node = self.nodes.get(name)
        if node is not None:
            node.drain(self.plan.nodes.stop_ms / 1000)
            self._leave(name, node, self.line.time() + self.plan.nodes.stop_ms / 1000)

    def _leave(self, name: str, node: Node, until: float) -> None:
        if node.core.attempts.unanswered and self.line.time() < until:
            self.line.call_later(0.05, self._leave, name, node, until)
        elif self.nodes.get(name) is node:
            self.end_node(name)
            self.gone(name)
            self.come_back(name)


def play(plan: Plan) -> Account:
    """Play a plan on a virtual clock."""
    return Model(plan).play()
