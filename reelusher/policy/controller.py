"""The controller of a worker: takes events, combines the decisions of this package and returns actions.

It does no I/O and has no clock: the time is that of the events. docs/design.md describes when each decision
applies.
"""

import math
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from reelusher.policy.actions import (
    Action,
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
from reelusher.policy.admission import AdmissionControl
from reelusher.policy.client_hints import AdvertisedCapacity, HealthStatus, IdleTimeout
from reelusher.policy.concurrency_limiter import ConcurrencyLimiter
from reelusher.policy.dependency_limiter import DependencyLimiter
from reelusher.policy.events import (
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Drain,
    Event,
    Outcome,
    Request,
    RunEnded,
    Tick,
    WarmStartData,
)
from reelusher.policy.in_flight import InFlightRequest, InFlightRequests, RequestState
from reelusher.policy.run_time_estimator import RunTimeEstimator
from reelusher.policy.settings import Idempotency, PreemptionMode, Settings
from reelusher.policy.tenant_scheduler import TenantScheduler
from reelusher.policy.timing import NEVER_US, PERIOD_US, reply_margin_us
from reelusher.policy.utilization_loop import UtilizationLoop

MAX_RUN_MEMORY_FRACTION = 0.85  # fraction of the memory up to which requests are started
MAX_HELD_MEMORY_FRACTION = 0.93  # fraction of the memory up to which arrivals are held and keys remembered
MAX_CALL_RETRIES = 2  # retries of a rejected optional call before it is skipped


class ControllerState(NamedTuple):
    """The present values of the control variables."""

    degraded_fraction: float  # G of `UtilizationLoop`
    concurrency_limit: float
    rejection_probability: float
    advertised_capacity: float


class Controller:
    """Makes the decisions of one worker from nothing but its settings and the events it is given."""

    def __init__(self, settings: Settings, seed: int, scheduler: TenantScheduler | None = None) -> None:
        """`scheduler` shares the worker among tenants, where there are several."""
        self.settings = settings
        self._scheduler = scheduler
        self.now_us = -1
        self._started = False
        self.actions: list[Action] = []  # the actions for the last batch of events
        self._stop_us = NEVER_US  # when the process will be stopped; known once it drains
        self._arrival_cutoff_us = NEVER_US  # requests that arrived later must not run
        self.in_flight = InFlightRequests(settings, scheduler)
        self.remembered_keys: dict[int, int] = {}  # expiry time of the key, by request id
        self.utilization = UtilizationLoop()
        self.admission = AdmissionControl(seed)
        self.concurrency = ConcurrencyLimiter(settings)
        self.dependency = DependencyLimiter(settings)
        self.run_times = RunTimeEstimator()
        self.advertised = AdvertisedCapacity(settings)
        self.idle_timeout = IdleTimeout(settings)
        self.health = HealthStatus()
        self.apply_settings(settings, range(len(settings.classes)))
        self._handlers: dict[type, Callable[[Any], None]] = {
            Request: self._on_request,
            ClientDisconnected: self._on_client_disconnected,
            CallNeeded: self._on_call_needed,
            CallEnded: self._on_call_ended,
            RunEnded: self._on_run_ended,
            Drain: self._on_drain,
            Tick: self._on_tick,
            WarmStartData: self._on_warm_start_data,
        }

    def apply_settings(self, settings: Settings, class_indexes: Collection[int]) -> None:
        """Use other settings from now on.

        Classes keep their indexes; `class_indexes` are those that new requests may have.
        """
        self.settings = settings
        self._reply_margin_us = reply_margin_us(settings.tick_us)
        self.in_flight.settings = settings
        self.admission.apply_classes([settings.classes[class_index] for class_index in class_indexes])
        self.concurrency.settings = settings
        self.dependency.apply_settings(settings)
        self.run_times.set_class_count(len(settings.classes))
        self.advertised.apply_settings(settings)
        self.idle_timeout.apply_settings(settings)

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handle the events of this time and return the actions to take, in order."""
        self.now_us, self.actions = now_us, []
        if not self._started:
            self._start()
        self.dependency.account(now_us, len(self.in_flight.calling))
        for event in events:
            self._handlers[type(event)](event)
        if self.in_flight.awaiting_call:
            self._make_calls()
        if self.in_flight.held:
            self._start_held()
        return self.actions

    def state(self) -> ControllerState:
        """Return the present values of the control variables."""
        return ControllerState(
            self.utilization.degraded_fraction,
            self.concurrency.limit,
            self.admission.rejection_probability,
            self.advertised.capacity,
        )

    def _start(self) -> None:
        self._started = True
        self.concurrency.started_us = self.now_us
        self.dependency.start(self.now_us)
        self.actions += [ReportHealth(True, True), SetTimer(PERIOD_US, 0)]
        if self._is_warming_up():  # callers that have no hint do not limit what they send
            self._advertise_capacity()

    def _is_warming_up(self) -> bool:
        return self.concurrency.is_warming_up(self.now_us)

    # Periodic decisions

    def _on_tick(self, event: Tick) -> None:
        """Run the periodic decisions. Readings that are not finite are ignored."""
        self.actions.append(SetTimer(PERIOD_US, 0))
        busy_fraction = finite(event.gauges.busy_fraction)
        runnable = finite(event.gauges.runnable)
        connections = finite(event.gauges.connections)
        if busy_fraction is not None:
            self.utilization.update(busy_fraction)
        if runnable is not None:
            self.concurrency.update(runnable, bool(self.in_flight.held), self.now_us)
        self._update_health()
        self.admission.update(
            self.in_flight.held.values(), self.now_us, self.utilization.saturated, self.health.healthy
        )
        self.dependency.decay_if_idle(self.now_us, len(self.in_flight.calling))
        self._advertise_capacity()
        if connections is not None and self.settings.idle_timeout_us:
            self._update_idle_timeout(connections)
        self.idle_timeout.forget_old_callers()
        self._expire_keys()
        self._answer_out_of_time()

    def _update_health(self) -> None:
        changed = self.health.update(
            self.now_us, self.admission.has_local_slowdown(), self.admission.overloaded
        )
        if changed and self._stop_us == NEVER_US:
            self.actions.append(ReportHealth(self.health.healthy, True))

    def _advertise_capacity(self) -> None:
        max_runnable = self.concurrency.max_runnable(self.now_us) if self._is_warming_up() else None
        value = self.advertised.update(self.now_us, self.admission.overloaded, max_runnable)
        if value is not None:
            self.actions.append(AdvertiseCapacity(value))

    def _update_idle_timeout(self, connections: float) -> None:
        timeout_us = self.idle_timeout.update(connections)
        if timeout_us is not None:
            self.actions.append(CloseIdleConnections(timeout_us))

    def _expire_keys(self) -> None:
        self.remembered_keys = {
            request_id: expires_us
            for request_id, expires_us in self.remembered_keys.items()
            if expires_us > self.now_us
        }
        if self._scheduler:
            self._scheduler.period_elapsed(self.now_us)
            for request_id in self._scheduler.expired_keys(self.now_us):
                self._scheduler.key_forgotten(request_id, self.settings.key_entry_kb)

    def _answer_out_of_time(self) -> None:
        for in_flight in list(self.in_flight.by_id.values()):
            if not in_flight.answered and self._is_out_of_time(in_flight):
                self._reject_or_fail(in_flight)

    # Arrivals

    def _on_request(self, request: Request) -> None:
        """Hold a request, attach it to its original, or answer it at once."""
        self.admission.observe_arrival(request.waited_us)
        self.idle_timeout.observe_arrival(request.caller, self.now_us)
        self.advertised.observe_arrival(request.caller, self.now_us)
        request_class = self.settings.classes[request.class_index]
        in_flight = InFlightRequest(request, request_class, self.now_us)
        in_flight.due_us = min(in_flight.due_us, self._stop_us - self._reply_margin_us)
        keyed = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        attached = keyed and request.original_id > 0
        self.in_flight.add(in_flight, RequestState.ATTACHED if attached else RequestState.HELD)
        if attached:
            self.actions.append(AttachToOriginal(request.id))
        admitted = self._admits(in_flight, keyed, attached)
        if self._is_out_of_time(in_flight) or not admitted:
            self._reject_or_fail(in_flight)
        elif keyed and not attached:
            self._remember_key(in_flight)

    def _admits(self, in_flight: InFlightRequest, keyed: bool, attached: bool) -> bool:
        """Return whether to admit an arrival; a retry that is attached to its original always is."""
        request = in_flight.request
        entry_kb = self.settings.key_entry_kb * keyed
        over_limit = self.memory_kb() + entry_kb > MAX_HELD_MEMORY_FRACTION * self.settings.memory_kb
        # Hints expire while callers wait, and some callers ignore them, so a cold worker also rejects
        # arrivals while it has more requests in flight than its cores sustain.
        over_limit = over_limit or (self._is_warming_up() and len(self.in_flight) > self._max_runnable())
        probability = self.admission.probability_for(in_flight.request_class)
        if self._scheduler and not attached:
            self._scheduler.request_arrived(request, self.now_us)
            probability = self._scheduler.rejection_probability(request.tenant, probability)
            over_limit = over_limit or self._scheduler.exceeds_limit(
                request, entry_kb, keyed, self.memory_kb()
            )
        rejected = self.admission.draws_rejection(probability, request.is_retry)
        too_late = in_flight.arrived_us > self._arrival_cutoff_us
        return attached or not (over_limit or rejected or too_late)

    def _max_runnable(self) -> float:
        return self.concurrency.max_runnable(self.now_us)

    def _remember_key(self, in_flight: InFlightRequest) -> None:
        request, window_us = in_flight.request, in_flight.request_class.idempotency_window_us
        expires_us = in_flight.arrived_us + window_us + self.settings.answer_slack_us
        ttl_us = max(expires_us - self.now_us, 1)
        self.remembered_keys[request.id] = self.now_us + ttl_us
        self.actions.append(RememberKey(request.id, ttl_us))
        if self._scheduler:
            self._scheduler.key_remembered(request, self.now_us + ttl_us, self.settings.key_entry_kb)

    def _forget_key(self, request_id: int) -> None:
        """Forget the key of a request that never ran, if it has one."""
        if self.remembered_keys.pop(request_id, None) is None:
            return
        self.actions.append(ForgetKey(request_id))
        if self._scheduler:
            self._scheduler.key_forgotten(request_id, self.settings.key_entry_kb)

    # Rejections and failures

    def _is_out_of_time(self, in_flight: InFlightRequest) -> bool:
        """Return whether to answer a request now, without waiting for a result.

        That is so if it is due within the reply margin, or if it is held, is unlikely to meet its objective
        and has no value after it.
        """
        if self.now_us + self._reply_margin_us >= in_flight.due_us:
            return True
        if in_flight.state is not RequestState.HELD or in_flight.request_class.late_value_fraction:
            return False
        return not self.run_times.can_meet_objective(in_flight, self.now_us)

    def _reject_or_fail(self, in_flight: InFlightRequest) -> None:
        """Give the final answer without a result; a request that may have run is failed, never rejected."""
        request_id = in_flight.request.id
        if in_flight.started or in_flight.state is RequestState.ATTACHED:
            self.actions.append(FailRequest(request_id))
        else:
            retry_after_us = self.admission.retry_after_us(self.settings.max_retry_after_us)
            no_retry = self.admission.is_fleet_overloaded()
            self.actions.append(Reject(request_id, retry_after_us, no_retry))
        self._release(in_flight)

    def _release(self, in_flight: InFlightRequest) -> None:
        """Give up a request that nobody waits for; a started run is counted until its end is reported."""
        in_flight.answered = True
        request_id = in_flight.request.id
        if in_flight.state in (RequestState.HELD, RequestState.ATTACHED):
            self.in_flight.remove(in_flight)
            self._forget_key(request_id)
        elif in_flight.state is RequestState.RUNNING and self._is_preemptible(in_flight):
            self.actions.append(Preempt(request_id))

    def _is_preemptible(self, in_flight: InFlightRequest) -> bool:
        idempotent = in_flight.request_class.idempotency is Idempotency.IDEMPOTENT
        return idempotent and self.settings.preemption is not PreemptionMode.NONE

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        in_flight = self.in_flight.by_id.get(event.id)
        if in_flight and not in_flight.answered:
            self._release(in_flight)

    # Runs

    def _start_held(self) -> None:
        """Start held requests while concurrency and memory allow.

        The order is that of `_start_order`, in which a scheduler chooses among the tenants.
        """
        running = len(self.in_flight.running)
        blocked_on_calls = len(self.in_flight.awaiting_call) + len(self.in_flight.calling)
        max_new_runs = int(self.concurrency.ceiling(self.now_us)) - blocked_on_calls - running
        slots = min(int(self.concurrency.limit) - running, max_new_runs)
        scheduler = self._scheduler
        borrowable = scheduler.borrowable_runs() if scheduler else 0
        if slots + borrowable <= 0 or max_new_runs <= 0:
            return
        order = sorted(self.in_flight.held.values(), key=self._start_order())
        if scheduler is None:
            self._start_in_order(order[:slots])
        else:
            self._start_by_tenant(scheduler, order, slots, borrowable, max_new_runs)

    def _start_order(self) -> Callable[[InFlightRequest], tuple[bool, float, int]]:
        """Return the sort key of held requests.

        Those that can meet their objective come first; then the higher priority, then the earlier objective.
        """
        can_meet_objective, now_us = self.run_times.can_meet_objective, self.now_us
        return lambda in_flight: (
            not can_meet_objective(in_flight, now_us),
            -in_flight.request_class.priority_weight,
            in_flight.objective_us,
        )

    def _start_in_order(self, order: list[InFlightRequest]) -> None:
        for in_flight in order:
            if not self._has_memory_to_run(in_flight):
                break
            self._run(in_flight)

    def _start_by_tenant(
        self,
        scheduler: TenantScheduler,
        order: list[InFlightRequest],
        slots: int,
        borrowable: int,
        max_new_runs: int,
    ) -> None:
        """Start the requests that tenants are entitled to run.

        Slots borrowed from long runs may be used beyond `slots`, but `max_new_runs` is never exceeded.
        """
        for in_flight in scheduler.order(order, self.now_us):
            if not self._has_memory_to_run(in_flight) or slots + borrowable <= 0 or max_new_runs <= 0:
                break
            tenant = in_flight.request.tenant
            if slots <= 0 and slots + scheduler.borrowable_runs(tenant) <= 0:
                continue
            slots, max_new_runs = slots - 1, max_new_runs - 1
            scheduler.run_started(in_flight.request, self.now_us)
            self._run(in_flight)

    def _has_memory_to_run(self, in_flight: InFlightRequest) -> bool:
        extra_kb = in_flight.request.held_kb * (self.settings.running_memory_factor - 1)
        return self.memory_kb() + extra_kb <= MAX_RUN_MEMORY_FRACTION * self.settings.memory_kb

    def memory_kb(self) -> float:
        """Return the memory that requests in flight and remembered keys take, in kB."""
        return len(self.remembered_keys) * self.settings.key_entry_kb + self.in_flight.memory_kb

    def _run(self, in_flight: InFlightRequest) -> None:
        self.in_flight.move(in_flight, RequestState.RUNNING)
        in_flight.started = True
        self.actions.append(Run(in_flight.request.id))

    def _on_run_ended(self, event: RunEnded) -> None:
        """Remove a request whose run, or whose wait for its original, has ended."""
        in_flight = self.in_flight.by_id.get(event.id)
        if in_flight is None:
            return
        request, state = in_flight.request, in_flight.state
        self.in_flight.remove(in_flight)
        if self._scheduler and in_flight.started:
            self._scheduler.run_ended(request, event.duration_us, self.now_us)
        if state is RequestState.CALLING:
            self.dependency.call_abandoned(self.now_us)
        if event.outcome is Outcome.OK and state is not RequestState.ATTACHED:
            self.run_times.observe(request, event.duration_us)

    def _on_warm_start_data(self, event: WarmStartData) -> None:
        self.run_times.warm_start(event.run_time_ratios)
        self.dependency.warm_start(event.call_duration_us)

    # Downstream calls

    def _on_call_needed(self, event: CallNeeded) -> None:
        in_flight = self.in_flight.by_id.get(event.id)
        if in_flight is None:
            return
        self.in_flight.move(in_flight, RequestState.AWAITING_CALL)
        in_flight.call_not_before_us = 0
        degraded = self.utilization.degrades(in_flight.request)
        if degraded and in_flight.calls_are_optional and not in_flight.answered:
            self._skip_call(in_flight)

    def _skip_call(self, in_flight: InFlightRequest) -> None:
        self.in_flight.move(in_flight, RequestState.RUNNING)
        self.actions.append(SkipCall(in_flight.request.id))

    def _on_call_ended(self, event: CallEnded) -> None:
        """Continue the run after a successful call, or decide what to do about a failed one."""
        in_flight = self.in_flight.by_id.get(event.id)
        if in_flight is None or in_flight.state is not RequestState.CALLING:
            return
        succeeded = event.outcome is Outcome.OK
        self.in_flight.move(in_flight, RequestState.RUNNING if succeeded else RequestState.AWAITING_CALL)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            self.dependency.observe(event.duration_us)
        if event.outcome is Outcome.TIMEOUT:
            self.dependency.call_abandoned(self.now_us)
        if not succeeded and not in_flight.answered:
            self._continue_after_failed_call(in_flight, event.outcome)

    def _continue_after_failed_call(self, in_flight: InFlightRequest, outcome: Outcome) -> None:
        """Retry a failed call only if it provably never ran; otherwise skip it or fail the request."""
        rejected = outcome is Outcome.REJECTED
        if in_flight.calls_are_optional:
            retries_left = in_flight.call_retries < MAX_CALL_RETRIES
            can_meet_objective = self.run_times.can_meet_objective(in_flight, self.now_us)
            if rejected and retries_left and can_meet_objective:
                in_flight.call_retries += 1
                in_flight.call_not_before_us = self.now_us + PERIOD_US
            else:
                self._skip_call(in_flight)
        elif rejected or outcome is Outcome.UNREACHABLE:
            in_flight.call_not_before_us = self.now_us + PERIOD_US
        else:
            self._reject_or_fail(in_flight)

    def _make_calls(self) -> None:
        """Make the calls that the quota and the time left allow: mandatory ones first, then by priority.

        Optional calls that are not allowed are skipped; mandatory ones go on waiting.
        """
        waiting = [waiter for waiter in self.in_flight.awaiting_call.values() if not waiter.answered]
        if not waiting:
            return
        waiting.sort(key=_call_order)
        spare_us = self.dependency.spare_us(self.now_us, self.in_flight.calling.values())
        for in_flight in waiting:
            if in_flight.call_not_before_us > self.now_us:
                continue
            time_left_us = in_flight.due_us - self._reply_margin_us - self.now_us
            duration_us = self.dependency.max_duration_us(spare_us, time_left_us)
            if duration_us is not None:
                spare_us -= self.dependency.reserved_us(duration_us)
                self._call(in_flight, self.now_us + duration_us)
            elif in_flight.calls_are_optional:
                self._skip_call(in_flight)

    def _call(self, in_flight: InFlightRequest, until_us: int) -> None:
        in_flight.call_until_us = until_us
        self.in_flight.move(in_flight, RequestState.CALLING)
        self.actions.append(Call(in_flight.request.id, until_us))

    # Draining

    def _on_drain(self, event: Drain) -> None:
        """Report the worker unhealthy, and make every request due before the process is stopped."""
        self._stop_us = self.now_us + event.time_left_us
        grace_end_us = self.now_us - event.elapsed_us + self.settings.drain_grace_us
        self._arrival_cutoff_us = min(self._arrival_cutoff_us, grace_end_us)
        self.actions.append(ReportHealth(False, True))
        latest_us = self._stop_us - self._reply_margin_us
        for in_flight in self.in_flight.by_id.values():
            in_flight.due_us = min(in_flight.due_us, latest_us)
        self._answer_out_of_time()


def finite(reading: float | None) -> float | None:
    """Return a gauge reading, or None if it is missing or not a finite number."""
    return reading if reading is not None and math.isfinite(reading) else None


def _call_order(in_flight: InFlightRequest) -> tuple[bool, float, int]:
    return in_flight.calls_are_optional, -in_flight.request_class.priority_weight, in_flight.due_us
