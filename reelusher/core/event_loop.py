"""The owner: the one thread that holds the decision module. Everything reaches it through its queue."""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, replace
from functools import partial
from hashlib import blake2b
from random import Random
from typing import Any

from loguru import logger

from reelusher.core.attempts import Attempt, Attempts, Stage
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.idempotency_table import IdempotencyEntry, IdempotencyKey, IdempotencyTable
from reelusher.core.messages import (
    Answer,
    CallersDisconnected,
    CallFinished,
    CallRequested,
    Dependency,
    DrainRequested,
    DurableKeyLog,
    EventLoopTask,
    GaugesReceived,
    IncomingRequest,
    KeyLockRequest,
    KeyLocks,
    KeyPersisted,
    Message,
    RequestArrived,
    Result,
    RunFinished,
    Runner,
    RunsLost,
    Verdict,
)
from reelusher.core.request_stats import RequestStats
from reelusher.core.scheduling_lag import SchedulingLag
from reelusher.core.timers import Timers
from reelusher.policy.actions import (
    AdvertiseCapacity,
    AttachToOriginal,
    Call,
    CloseIdleConnections,
    FailRequest,
    ForgetKey,
    Preempt,
    Reject,
    RememberKey,
    ReportHealth,
    Run,
    SetTimer,
    SkipCall,
)
from reelusher.policy.controller import Controller
from reelusher.policy.events import (
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Drain,
    Event,
    Gauges,
    Outcome,
    Request,
    RunEnded,
    Tick,
    WarmStartData,
)
from reelusher.policy.settings import Idempotency, Settings
from reelusher.policy.tenant_scheduler import TenantScheduler

GAUGES_WAIT_US = 50_000  # a tick waits this long for its gauges, then goes without
CALL_GRACE_US = 60_000  # a call is given up here when no reply has come this long after its time
GUARD_SLOT_US = 10_000  # guards act at multiples of this
GUARD_US = 30_000  # part of the slack left to the guard that answers what the module has not
STOP_GUARD_US = 150_000  # before the stop: all that is read is answered by then
SWEEP_US = 1_000_000  # between sweeps of the table of keys
CALLS = " calls"  # no class has this name
MOST_CLASSES = 1000  # with all that were changed: a reload that brings more is turned down
REARM_US = 100_000  # until the next tick where a fault has lost the module's timer


@dataclass(slots=True)
class ClientNotices:
    """What callers are to hear at present; written by the owner, read by fronts."""

    healthy: bool = True  # as the module sees it
    handing_over: bool = False  # another process of this node serves on, so the node stays good
    diverting_callers: bool = False  # operators send callers away; written by whoever they told
    advertised_capacity: float | None = None
    idle_timeout_us: int = 0
    draining: bool = False

    @property
    def reports_healthy(self) -> bool:
        """What health checks hear."""
        return (self.healthy or self.handing_over) and not self.diverting_callers


def digest_of(request: IncomingRequest) -> bytes:
    """Return what tells the body of one keyed request from another's; the class is part of the key."""
    return blake2b(request.body, digest_size=16).digest()


class Core:
    """Queue, clock, timers, attempts and keys round one controller."""

    def __init__(
        self,
        settings: Settings,
        gauges: list[str],
        seed: int,
        runner: Runner,
        dependency: Dependency | None = None,
        class_names: list[str] | None = None,
        clock: Clock | None = None,
        counters: Counters | None = None,
        most_result_bytes: int = 48 << 20,
        standing: TenantScheduler | None = None,
    ) -> None:
        self.settings = settings
        self.gauge_fields = gauges
        self.class_names = class_names or [str(number) for number in range(len(settings.classes))]
        self._first_of = {name: number for number, name in enumerate(self.class_names)}
        self.counters = counters or Counters()
        self.clock = clock or Clock()
        self.notices = ClientNotices(idle_timeout_us=settings.idle_timeout_us)
        self.stats = RequestStats(self.class_names)
        self.attempts = Attempts()
        self.keys = IdempotencyTable(max(kind.deadline_us for kind in settings.classes), most_result_bytes)
        self.runners: dict[str, Runner] = {}  # of tenants that have one of their own
        self.stop_us: int | None = None  # when the process is stopped, once it drains
        self._grace_end_us: int | None = None  # what reaches the machine later is not run
        self._runner = runner
        self._dependency = dependency
        self.on_health: Callable[[], None] = lambda: None  # told of a change; must not wait
        self.key_log: DurableKeyLog | None = None  # makes keys durable, where the operator wants that
        self.key_locks: KeyLocks | None = None  # keeps two processes of this node from running one key each
        self.admits_tenant: Callable[[int], bool] | None = (
            None  # are requests of a tenant, by number, taken at all
        )
        self._seed = seed
        self._controller = Controller(settings, seed, standing)
        self._timers = Timers()
        self._inbox: queue.SimpleQueue[Message | None] = queue.SimpleQueue()
        self._events: list[Event] = []  # of the batch that is being gathered
        self._new_keys: set[IdempotencyKey] = set()  # keys of requests in that batch
        self._guards: dict[int, list[int]] = {}  # slots of time, and the attempts to look after then
        self._ticks: dict[str, int] = {}  # cookies of ticks that wait for gauges, and their labels
        self._cookies = self._tickets = 0
        self._pace = SchedulingLag()
        self._seen_s: dict[str, float] = {}  # when a run of a class, or a call, last ended well, Unix time
        self._armed = 0  # timers of the module that are set, or wait for their gauges
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self._arrived,
            CallersDisconnected: self._left,
            RunFinished: self._run_over,
            CallRequested: self._call_wanted,
            CallFinished: self._call_over,
            GaugesReceived: self._gauges_read,
            RunsLost: self._runs_lost,
            DrainRequested: self._drain,
            KeyPersisted: self._key_kept,
            EventLoopTask: self._ask,
        }
        self._actions: dict[type, Callable[[Any], None]] = {
            Run: self._do_run,
            Preempt: self._do_pause,
            Call: self._do_call,
            SkipCall: self._do_skip,
            Reject: self._do_decline,
            FailRequest: self._do_fail,
            AttachToOriginal: self._do_join,
            RememberKey: self._do_keep,
            ForgetKey: self._do_forget,
            ReportHealth: self._do_health,
            AdvertiseCapacity: self._do_advise,
            CloseIdleConnections: self._do_close_idle,
            SetTimer: self._do_timer,
        }

    # The thread

    def post(self, message: Message) -> None:
        """Hand a message to the owner, from any thread."""
        self._inbox.put(message)

    def run_on_loop(self, action: Callable[[], Any], timeout: float = 5.0) -> Any:
        """Let the owner do something between two batches and return what it returns.

        Raises TimeoutError where it did not come to that in so many seconds; then it never will.
        """
        done: Future[Any] = Future()
        self.post(EventLoopTask(action, done))
        try:
            return done.result(timeout)
        except TimeoutError:
            if done.cancel():
                raise
            return done.result()  # it is at it

    def start(self) -> threading.Thread:
        """Start the owner's thread."""
        thread = threading.Thread(target=self.run, name="owner", daemon=True)
        thread.start()
        return thread

    def stop(self) -> None:
        """Let the owner's thread end after what is queued by now."""
        self._inbox.put(None)

    def begin(self) -> None:
        """Have the module set its first timer; whoever calls `turn` without a thread calls this before."""
        self.now = self.clock.now()
        self._consult([])
        # nodes that start together on one machine don't sweep together
        self._timers.at(self.now + Random(self._seed).randrange(SWEEP_US), self._sweep_keys)

    def next_timer_us(self) -> int | None:
        """Return when the next timer is due."""
        return self._timers.next_us()

    def run(self) -> None:
        """Serve the queue until `stop`."""
        self.begin()
        while True:
            batch = self._gather()
            last = None in batch
            self.process_batch([message for message in batch if message is not None])
            if last:
                return

    def _gather(self) -> list[Message | None]:
        """Wait for messages or the next timer, and take all that is queued."""
        due = self._timers.next_us()
        wait = None if due is None else max(0.0, (due - self.clock.now()) / 1e6)
        batch: list[Message | None] = []
        try:
            batch.append(self._inbox.get(timeout=wait))
            while True:
                batch.append(self._inbox.get_nowait())
        except queue.Empty:
            return batch

    def process_batch(self, batch: list[Message]) -> None:
        """Handle one batch at one time by the clock."""
        self.now = self.clock.now()
        due = self._timers.next_us()
        if due is not None and due <= self.now:
            self._pace.observe((self.now - due) / 1e6, self.now / 1e6)
        for message in batch:
            self._guarded(partial(self._handlers[type(message)], message))
        self._timers.run_due(self.now, self._guarded)
        self._guarded(self._flush)
        if not self._armed:  # the module's one timer was lost with what failed
            self._do_timer(SetTimer(REARM_US, 0))

    def _guarded(self, step: Callable[[], None]) -> None:
        """Take a step. In release builds a fault in one must not end the thread that all wait for."""
        try:
            step()
        except Exception:
            self.counters.add("owner.failed")
            logger.exception("the owner failed at a step")
            if __debug__:
                raise

    def _flush(self) -> None:
        """Hand the gathered events to the module and carry out what it wants."""
        while self._events:  # an action may bring events of its own: a join that is served at once
            events, self._events = self._events, []
            self._new_keys.clear()
            self._consult(events)

    def _consult(self, events: list[Event]) -> None:
        for action in self._controller.handle(self.now, events):
            self._actions[type(action)](action)

    def apply_settings(self, settings: Settings, gauges: list[str], class_names: list[str]) -> dict[str, int]:
        """Go by other settings; return the number of each class, by name. Called by the owner.

        What is open keeps its class as it was: one that is new, or not quite the same, gets a further number.
        """
        classes, names, numbers = list(self.settings.classes), list(self.class_names), {}
        for name, kind in zip(class_names, settings.classes, strict=True):
            same = [number for number, known in enumerate(classes) if (names[number], known) == (name, kind)]
            if not same:
                classes.append(kind)
                names.append(name)
            numbers[name] = same[0] if same else len(classes) - 1
        if len(classes) > MOST_CLASSES:
            raise ValueError(f"more than {MOST_CLASSES} classes since the start")
        for number, name in enumerate(names):
            self._first_of.setdefault(name, number)
        # how its machine began stays as it was: the file of a warm node must not make a cold one warm
        self.settings = replace(settings, classes=classes, cold_start=self.settings.cold_start)
        self.gauge_fields, self.class_names = gauges, names
        self.keys.widen(max(kind.deadline_us for kind in classes))
        self.notices.idle_timeout_us = settings.idle_timeout_us
        self.stats.add_classes(class_names)
        self._controller.apply_settings(self.settings, numbers.values())
        return numbers

    def observed_times(self) -> dict[str, tuple[float, float]]:
        """Return what runs and calls take here, by what it is about, and when that was seen; by the owner."""
        estimates = self._controller.run_times
        found: dict[str, tuple[float, float]] = {}
        for class_index, name in enumerate(self.class_names):
            ratio = estimates.ratio(class_index)
            if ratio is not None and name in self._seen_s:
                found[f"run:{name}"] = ratio, self._seen_s[name]
        mean_call_us = self._controller.dependency.mean_duration_us
        if mean_call_us and CALLS in self._seen_s:
            found["call:below"] = mean_call_us, self._seen_s[CALLS]
        return found

    def apply_warm_start(self, pace: dict[str, float], call_us: float) -> None:
        """Take what others have seen, by the names of classes; called by the owner."""
        known = {kind: pace[name] for kind, name in enumerate(self.class_names) if name in pace}
        self._events.append(WarmStartData(known, call_us))

    def lag_s(self) -> float:
        """Return by how many seconds the owner's timers are late at present; from any thread."""
        return self._pace.lag_s(self.clock.now() / 1e6)

    def controller_state(self) -> dict[str, float]:
        """Return what the module steers by at present; called by the owner."""
        state = self._controller.state()
        return {
            "G": round(state.degraded_fraction, 3),
            "cap": state.concurrency_limit,
            "refusal": round(state.rejection_probability, 3),
            "room": round(state.advertised_capacity, 1),
        }

    # What comes in

    def runner_of(self, tenant: str) -> Runner:
        """Return what runs the attempts of a tenant."""
        return self.runners.get(tenant, self._runner)

    def _arrived(self, message: RequestArrived) -> None:
        request = message.request
        self.counters.add("requests.read")
        self.stats.request_read()
        if self.attempts.by_run_id(request.run_id):  # two runs under one name could not be told apart
            self.counters.warn(
                "requests.name_taken", "request refused: its id {} is in hand already", request.run_id
            )
            self._turn_down(request, Verdict.FAILED)
            return
        if (
            self.admits_tenant is not None
            and request.tenant_number
            and not self.admits_tenant(request.tenant_number)
        ):
            # suspended or removed since the front looked; it was not handed to the module and never ran
            self.counters.add("requests.tenant_gone")
            self._turn_down(request, Verdict.REJECTED)
            return
        kind = self.settings.classes[request.class_index]
        original = 0
        if kind.idempotency is Idempotency.IDEMPOTENCY_KEY and request.idempotency_key:
            key = self._key(request)
            if key in self._new_keys:  # tries read together know of each other, so the first is settled first
                self._flush()
            self._new_keys.add(key)
            # whoever knows a key but not the body that goes with it is not served what was kept
            if self.keys.other_body(key, request.received_us, digest_of(request)):
                self.counters.warn(
                    "requests.key_taken",
                    "request refused: its key came with another body: {}",
                    request.run_id,
                )
                self._turn_down(request, Verdict.FAILED)
                return
            original = self.keys.original(key, request.received_us)
        due = max(self.now, request.received_us + kind.deadline_us)
        attempt = self.attempts.add(request, self.runner_of(request.tenant), due)
        self._set_guard(attempt)
        self._events.append(
            Request(
                attempt.id,
                request.class_index,
                request.caller,
                request.subject,
                request.tenant_number,
                request.held_kb,
                request.expected_work_us,
                0,
                max(0, self.now - request.received_us),
                original,
            )
        )

    def _turn_down(self, request: IncomingRequest, verdict: Verdict) -> None:
        """Answer a request that the module is not to hear of."""
        self.stats.request_answered(self.class_names[request.class_index], verdict)
        request.reply(self._answer_of(verdict))

    def _key(self, request: IncomingRequest) -> IdempotencyKey:
        # a class that was changed has another number, and its keys are still those of before
        return request.tenant, self._first_of[self.class_names[request.class_index]], request.idempotency_key

    def _left(self, message: CallersDisconnected) -> None:
        for call in message.run_ids:
            attempt = self.attempts.by_run_id(call)
            if attempt and not attempt.answered:
                self.counters.add("answers.undeliverable")
                self._gone(attempt)

    def _gone(self, attempt: Attempt) -> None:
        """Note that no answer is owed any more, and tell the module."""
        self.attempts.answer(attempt)
        self.stats.request_answered(self.class_names[attempt.request.class_index], Verdict.FAILED)
        self._events.append(ClientDisconnected(attempt.id))
        self._settle(attempt)

    def _run_over(self, message: RunFinished) -> None:
        attempt = self.attempts.by_run_id(message.run_id)
        if attempt is None or not attempt.ran:
            self.counters.add("runs.unknown_end")
            return
        self._unask(attempt)
        entry = self.keys.of(attempt.id)
        if entry and self.key_locks is not None and not attempt.waits:  # it was run here
            if message.outcome is Outcome.NOT_STARTED:
                self.key_locks.release(entry.key)
            else:
                self.key_locks.complete(entry.key, message.result)
        if entry:
            dropped = self.keys.store(entry, message.result)
            if dropped:
                self.counters.add("keys.results_dropped", dropped)
        if message.outcome is Outcome.OK and not attempt.waits:
            self._seen_s[self.class_names[attempt.request.class_index]] = self.now / 1e6
        if not attempt.answered:
            served = message.outcome is Outcome.OK and message.result is not None
            never = message.outcome is Outcome.NOT_STARTED  # proved never to have started
            self._give_answer(
                attempt,
                Verdict.SERVED if served else Verdict.REJECTED if never else Verdict.FAILED,
                message.result if served else None,
            )
        self.counters.add("runs." + message.outcome.value)
        self._events.append(RunEnded(attempt.id, message.outcome, message.duration_us))
        self.attempts.drop(attempt)
        if entry:
            self._end_joins(attempt.id)
            if message.outcome is Outcome.NOT_STARTED:
                self.keys.forget(attempt.id)

    def _call_wanted(self, message: CallRequested) -> None:
        attempt = self.attempts.by_run_id(message.run_id)
        if attempt is None or not attempt.ran:
            self.counters.add("runs.unknown_call")
            return
        self._unask(attempt)
        attempt.stage, attempt.wanted, attempt.serial = Stage.AT_CALL, message.body, message.serial
        self._events.append(CallNeeded(attempt.id))

    def _call_over(self, message: CallFinished) -> None:
        attempt = self.attempts.by_run_id(message.run_id)
        if attempt is None or attempt.stage is not Stage.CALLING or attempt.ticket != message.ticket:
            self.counters.add("calls.late_reply")
            return
        self.counters.add("calls." + message.outcome.value)
        if message.outcome is Outcome.OK:
            self._seen_s[CALLS] = self.now / 1e6
            attempt.runner.deliver_reply(message.run_id, message.body)
            attempt.stage = Stage.RUNNING
        else:
            attempt.stage = Stage.AT_CALL
        self._events.append(CallEnded(attempt.id, message.outcome, max(0, self.now - attempt.since_us)))

    def _gauges_read(self, message: GaugesReceived) -> None:
        label = self._ticks.pop(message.cookie, None)
        if label is not None:
            known = {
                name: value for name, value in zip(self.gauge_fields, message.values, strict=False) if name
            }
            self._tick(Tick(label, Gauges(**known)))

    def _runs_lost(self, message: RunsLost) -> None:
        for attempt in self.attempts:
            if attempt.runner is message.runner and attempt.ran and not attempt.waits:
                self._run_over(RunFinished(attempt.request.run_id, Outcome.ERROR))

    def _drain(self, message: DrainRequested) -> None:
        if self.stop_us is not None and message.stop_us >= self.stop_us:
            return
        if self._grace_end_us is None:
            self._grace_end_us = message.requested_us + self.settings.drain_grace_us
        self.stop_us, self.notices.draining = message.stop_us, True
        for attempt in self.attempts:
            self._set_guard(attempt)
        self._events.append(
            Drain(max(0, message.stop_us - self.now), max(0, self.now - message.requested_us))
        )

    def _ask(self, message: EventLoopTask) -> None:
        if not message.future.set_running_or_notify_cancel():
            return
        try:
            message.future.set_result(message.function())
        except Exception as error:  # belongs to the thread that asks, not to the owner
            message.future.set_exception(error)

    # What the module wants

    def _do_run(self, action: Run) -> None:
        attempt = self.attempts.get(action.id)
        if attempt is None:
            return
        if attempt.stage is Stage.PAUSED:
            attempt.stage = Stage.RUNNING
            attempt.runner.resume(attempt.request.run_id)
            return
        if attempt.answered or attempt.stage is not Stage.HELD:
            return
        kind = self.settings.classes[attempt.request.class_index]
        entry = self.keys.of(attempt.id)
        once = (
            kind.idempotency is not Idempotency.IDEMPOTENCY_KEY
            or not attempt.request.idempotency_key
            or entry is not None
        )
        if not self.counters.must(once, "a keyed try runs only while it holds its entry"):
            return
        in_time = self._grace_end_us is None or attempt.request.received_us <= self._grace_end_us
        if not self.counters.must(in_time, "a drain runs nothing that came after the grace"):
            return
        attempt.stage, attempt.ran = Stage.RUNNING, True
        if entry is not None and (self.key_locks is not None or self.key_log is not None):
            attempt.waits = True
            self._make_safe(attempt, entry)
            return
        self._start(attempt)

    def _make_safe(self, attempt: Attempt, entry: IdempotencyEntry) -> None:
        """Lock a key and persist it before its run starts; `KeyPersisted` or the end of the run follows."""
        request, number, keeper, began_us = attempt.request, attempt.id, self.key_log, self.now
        ahead_us = self.clock.unix_ahead_us()  # other processes, and later lives, read Unix time

        def claimed(well: bool) -> None:
            if well and keeper is not None:
                keeper.persist(
                    entry.key,
                    entry.until_us + ahead_us,
                    entry.digest,
                    lambda kept: self.post(KeyPersisted(number, kept)),
                )
            else:
                self.post(KeyPersisted(number, well))

        def elsewhere(result: Result | None) -> None:
            outcome = Outcome.ERROR if result is None else Outcome.OK
            self.post(RunFinished(request.run_id, outcome, max(0, self.clock.now() - began_us), result))

        if self.key_locks is None:
            claimed(True)
        else:
            self.key_locks.acquire(
                KeyLockRequest(
                    entry.key,
                    request.received_us + ahead_us,
                    entry.until_us + ahead_us,
                    attempt.due_us + ahead_us,
                    entry.digest.hex(),
                    claimed,
                    elsewhere,
                )
            )

    def _start(self, attempt: Attempt) -> None:
        self.counters.add("runs.started")
        self.stats.run_started()
        attempt.runner.start(attempt.request, self.class_names[attempt.request.class_index])

    def _key_kept(self, message: KeyPersisted) -> None:
        """Begin a run whose key is durable, unless it has been answered meanwhile: then it never ran."""
        attempt = self.attempts.get(message.attempt_id)
        if attempt is None or not attempt.waits:
            return
        attempt.waits = (
            not message.succeeded
        )  # a key that was not made safe is not this process's to take back
        if message.succeeded and not attempt.answered:
            self._start(attempt)
            return
        entry = self.keys.of(attempt.id)
        if self.key_log is not None and entry is not None and message.succeeded:
            self.key_log.forget(entry.key)
        self._run_over(RunFinished(attempt.request.run_id, Outcome.NOT_STARTED))

    def _do_pause(self, action: Preempt) -> None:
        attempt = self.attempts.get(action.id)
        if attempt and attempt.stage is Stage.RUNNING and not attempt.waits:
            if not attempt.answered:  # an answered run is over when it stops, it can't be taken up again
                attempt.stage = Stage.PAUSED
            attempt.runner.stop(attempt.request.run_id)

    def _do_call(self, action: Call) -> None:
        attempt = self.attempts.get(action.id)
        if attempt is None or attempt.stage is not Stage.AT_CALL or attempt.answered:
            return
        self._tickets += 1
        ticket = attempt.ticket = self._tickets
        attempt.stage, attempt.since_us = Stage.CALLING, self.now
        call = attempt.request.run_id
        if self._dependency is None:
            self.post(CallFinished(call, ticket, Outcome.UNREACHABLE))
            return
        self._dependency.call(call, ticket, action.until_us, attempt.wanted)
        self._timers.at(action.until_us + CALL_GRACE_US, partial(self._call_overdue, action.id, ticket))

    def _call_overdue(self, number: int, ticket: int) -> None:
        """Give up a call whose end nobody tells."""
        attempt = self.attempts.get(number)
        if attempt and attempt.stage is Stage.CALLING and attempt.ticket == ticket:
            self.counters.add("calls.given_up")
            self._unask(attempt)
            attempt.stage = Stage.AT_CALL
            self._events.append(CallEnded(attempt.id, Outcome.TIMEOUT, self.now - attempt.since_us))

    def _unask(self, attempt: Attempt) -> None:
        if attempt.stage is Stage.CALLING and self._dependency is not None:
            self._dependency.cancel(attempt.request.run_id, attempt.ticket)

    def _do_skip(self, action: SkipCall) -> None:
        attempt = self.attempts.get(action.id)
        if attempt and attempt.stage is Stage.AT_CALL:
            attempt.stage = Stage.RUNNING
            self.counters.add("calls.skipped")
            attempt.runner.skip_call(attempt.request.run_id, attempt.serial)

    def _do_decline(self, action: Reject) -> None:
        attempt = self.attempts.get(action.id)
        if attempt is None or attempt.answered:
            return
        if self.counters.must(not attempt.ran, "a try that ran is not turned away"):
            self._give_answer(
                attempt, Verdict.REJECTED, away_us=action.retry_after_us, no_retry=action.no_retry
            )
        else:
            self._give_answer(attempt, Verdict.FAILED)
        self._settle(attempt)

    def _do_fail(self, action: FailRequest) -> None:
        attempt = self.attempts.get(action.id)
        if attempt and not attempt.answered:
            self._give_answer(attempt, Verdict.FAILED)
            self._settle(attempt)

    def _do_join(self, action: AttachToOriginal) -> None:
        attempt = self.attempts.get(action.id)
        if attempt is None:
            return
        attempt.stage = Stage.JOINED
        original = self.keys.original(self._key(attempt.request), attempt.request.received_us)
        entry = self.keys.of(original)
        self.counters.add("keys.joined")
        if not self.counters.must(entry is not None, "a join has an original") or entry is None:
            self._end_join(attempt, None)
        else:
            entry.waiting.append(attempt.id)
            if entry.over:
                self._end_joins(original)

    def _do_keep(self, action: RememberKey) -> None:
        attempt = self.attempts.get(action.id)
        if attempt and attempt.request.idempotency_key:
            self.keys.keep(
                self._key(attempt.request), action.id, self.now + action.ttl_us, digest_of(attempt.request)
            )

    def _do_forget(self, action: ForgetKey) -> None:
        entry = self.keys.of(action.id)
        if entry:
            self._end_joins(action.id)
            self.keys.forget(action.id)

    def _do_health(self, action: ReportHealth) -> None:
        if self.notices.healthy is not action.healthy:
            logger.info("health is now {}", "good" if action.healthy else "bad")
            self.notices.healthy = action.healthy
            self.on_health()

    def _do_advise(self, action: AdvertiseCapacity) -> None:
        self.notices.advertised_capacity = action.value

    def _do_close_idle(self, action: CloseIdleConnections) -> None:
        self.notices.idle_timeout_us = action.idle_timeout_us or self.settings.idle_timeout_us

    def _tick(self, event: Tick) -> None:
        self._armed -= 1
        self._events.append(event)

    def _do_timer(self, action: SetTimer) -> None:
        self._armed += 1
        self._timers.at(self.now + action.delay_us, lambda: self._timer_due(action.label))

    def _timer_due(self, label: int) -> None:
        """Ask for gauges; the tick follows with them, or without them when they stay out."""
        self._cookies += 1
        cookie = f"t{self._cookies}"
        if not self._runner.request_gauges(cookie):
            self._tick(Tick(label, Gauges()))
            return
        self._ticks[cookie] = label
        self._timers.at(self.now + GAUGES_WAIT_US, lambda: self._tick_late(cookie))

    def _tick_late(self, cookie: str) -> None:
        label = self._ticks.pop(cookie, None)
        if label is not None:
            self.counters.add("gauges.missing")
            self._tick(Tick(label, Gauges()))

    # Answers

    def _answer_of(
        self, verdict: Verdict, result: Result | None = None, away_us: int = 0, no_retry: bool = False
    ) -> Answer:
        return Answer(verdict, result, away_us, no_retry, self.notices.advertised_capacity)

    def _give_answer(
        self,
        attempt: Attempt,
        verdict: Verdict,
        result: Result | None = None,
        away_us: int = 0,
        no_retry: bool = False,
    ) -> None:
        """Give the one final answer."""
        if not self.counters.must(not attempt.answered, "one answer a request"):
            return
        self.attempts.answer(attempt)
        self.counters.add("answers." + verdict.value)
        self.stats.request_answered(self.class_names[attempt.request.class_index], verdict)
        attempt.request.reply(self._answer_of(verdict, result, away_us, no_retry))

    def _settle(self, attempt: Attempt) -> None:
        """Let go of an answered attempt, unless its run is still to end."""
        if not attempt.ran:
            self.attempts.drop(attempt)
            self._end_joins(attempt.id)
        elif attempt.stage is Stage.CALLING:
            self._unask(attempt)
            attempt.stage = Stage.AT_CALL

    def _end_joins(self, holder: int) -> None:
        """Answer the tries that wait for this one: with its result, or as failed where it has none."""
        entry = self.keys.of(holder)
        if entry:
            waiting, entry.waiting = entry.waiting, []
            for number in waiting:
                attempt = self.attempts.get(number)
                if attempt:
                    self._end_join(attempt, entry.result)

    def _end_join(self, attempt: Attempt, result: Result | None) -> None:
        if not attempt.answered:
            self._give_answer(attempt, Verdict.SERVED if result else Verdict.FAILED, result)
        outcome = Outcome.OK if result else Outcome.ERROR
        self._events.append(RunEnded(attempt.id, outcome, 0))
        self.attempts.drop(attempt)

    def _set_guard(self, attempt: Attempt) -> None:
        """Answer at the due time whatever else happens; the module answers long before."""
        due = attempt.due_us + min(GUARD_US, self.settings.answer_slack_us // 2)
        if self.stop_us is not None:
            due = min(due, self.stop_us - STOP_GUARD_US)
        # One timer serves all attempts of a slot, and holds ids only: a callback for each kept every
        # request with its body until it was due, seconds after it was answered.
        slot = -(-max(due, self.now) // GUARD_SLOT_US)
        if slot not in self._guards:
            self._guards[slot] = []
            self._timers.at(slot * GUARD_SLOT_US, partial(self._guard_slot, slot))
        self._guards[slot].append(attempt.id)

    def _guard_slot(self, slot: int) -> None:
        for number in self._guards.pop(slot, ()):
            attempt = self.attempts.get(number)
            if attempt is not None and not attempt.answered:
                self._guard(attempt)

    def call_later(self, us: int, action: Callable[[], None]) -> None:
        """Do something so many microseconds from now; called by the owner."""
        self._timers.at(self.clock.now() + us, action)

    def end_tenant_requests(self, number: int) -> None:
        """Answer now all that a tenant has in hand, each once; called by the owner.

        Runs go on to their end, and their keys stay: a repeat must still find that they ran.
        """
        for attempt in self.attempts:
            if attempt.request.tenant_number == number and not attempt.answered:
                never = not attempt.ran and attempt.stage is Stage.HELD
                self._end_now(attempt, Verdict.REJECTED if never else Verdict.FAILED)
        self._flush()

    def _end_now(self, attempt: Attempt, verdict: Verdict) -> None:
        """Answer an attempt without the module, and tell it that no answer is owed any more."""
        self._give_answer(attempt, verdict)
        self._events.append(ClientDisconnected(attempt.id))
        self._settle(attempt)

    def _guard(self, attempt: Attempt) -> None:
        self.counters.warn(
            "answers.by_guard",
            "request {} was due with no answer: answered as failed",
            attempt.request.run_id,
        )
        self._end_now(attempt, Verdict.FAILED)

    def _sweep_keys(self) -> None:
        self.keys.sweep(self.now, self.attempts.__contains__)
        self.counters.sum_up()
        self._timers.at(self.now + SWEEP_US, self._sweep_keys)
