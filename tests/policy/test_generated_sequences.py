"""Generated event sequences under each deployment option, checked by a model.

The model checks that each request gets one answer in time, that nothing runs twice, that requests which
arrive after the grace period of a drain do not run, and that each action is legal.
"""

from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from reelusher.policy.actions import (
    Action,
    AdvertiseCapacity,
    AttachToOriginal,
    Call,
    FailRequest,
    ForgetKey,
    Preempt,
    Reject,
    RememberKey,
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
)
from reelusher.policy.in_flight import RequestState
from reelusher.policy.settings import CapacityHint, Idempotency, PreemptionMode, RequestClass, Settings
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.quota import Quota

CLASSES = [
    RequestClass(
        deadline_us=3_000_000, latency_objective_us=1_000_000, makes_calls=True, degraded_value_fraction=0.5
    ),
    RequestClass(
        deadline_us=2_000_000,
        latency_objective_us=900_000,
        priority_weight=3,
        late_value_fraction=0.2,
        makes_calls=True,
    ),
    RequestClass(
        deadline_us=2_500_000,
        latency_objective_us=800_000,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        idempotency_window_us=4_000_000,
        priority_weight=5,
    ),
    RequestClass(deadline_us=2_500_000, idempotency=Idempotency.NON_IDEMPOTENT, makes_calls=True),
]


QUOTAS = [
    Quota(),
    Quota(weight=3, guarantee=0.3),
    Quota(ceiling=0.4, held=3, class_weights={0: 2, 1: 1}),
    Quota(running=1, keys=2, memory_kb=400),
]
UNFINISHED_STATES = ("held", "running", "joined", "calling", "at call")


class WorkerModel:
    """Tracks the requests of a worker, and fails where an action of the controller is not allowed."""

    def __init__(self, settings: Settings, tenants: int = 0) -> None:
        """Give each of several `tenants` a quota from `QUOTAS`; 0 means no scheduler.

        A single tenant has the default quota, and must get the same decisions as without a scheduler.
        """
        self.settings = settings
        self.tenants = max(1, tenants)
        self.scheduler = FairQueue(settings.cores, settings.memory_kb) if tenants else None
        for tenant in range(tenants):
            assert self.scheduler is not None
            self.scheduler.set_quota(tenant, QUOTAS[tenant % len(QUOTAS)] if tenants > 1 else Quota())
        self.controller = Controller(settings, 1, self.scheduler)
        self.controller_without_scheduler = Controller(settings, 1) if tenants == 1 else None
        self.now_us = 0
        self.state: dict[int, str] = {}
        self.due_us: dict[int, int] = {}
        self.class_indexes: dict[int, int] = {}
        self.arrived_us: dict[int, int] = {}
        self.remembered_keys: set[int] = set()
        self.ran: set[int] = set()
        self.called: set[int] = set()
        self.original_ids: dict[int, int] = {}
        self.answered: set[int] = set()
        self.disconnected: set[int] = set()
        self.drained_us: int | None = None
        self.stop_us = 1 << 62
        self.timers_us: list[int] = []
        self.apply([])

    def apply(self, events: list[Event]) -> None:
        """Give events to the controller and check the actions that it returns."""
        actions = self.controller.handle(self.now_us, events)
        assert (
            self.controller_without_scheduler is None
            or self.controller_without_scheduler.handle(self.now_us, events) == actions
        )
        for action in actions:
            self.check(action)
        self.check_counts()
        for request_id in self.state.keys() - self.answered - self.disconnected:
            assert self.now_us <= min(
                self.due_us[request_id] + self.settings.answer_slack_us, self.stop_us
            ), "lost"

    def check_counts(self) -> None:
        """Check that the counts kept by the controller and the scheduler equal a count from scratch."""
        controller = self.controller
        for state in RequestState:
            assert controller.in_flight.by_state[state] == {
                request_id: in_flight
                for request_id, in_flight in controller.in_flight.by_id.items()
                if in_flight.state is state
            }
        held = (RequestState.HELD, RequestState.ATTACHED)
        memory_kb = (
            in_flight.request.held_kb
            * (1 if in_flight.state in held else self.settings.running_memory_factor)
            for in_flight in controller.in_flight.by_id.values()
        )
        assert abs(controller.in_flight.memory_kb - sum(memory_kb)) < 1e-6
        for tenant in range(self.tenants if self.scheduler else 0):
            assert self.scheduler is not None
            usage = self.scheduler.usage(tenant, self.now_us)
            of_tenant = [
                in_flight
                for in_flight in controller.in_flight.by_id.values()
                if in_flight.request.tenant == tenant
            ]
            assert usage.held == sum(in_flight.state is RequestState.HELD for in_flight in of_tenant)
            assert usage.running == sum(in_flight.started for in_flight in of_tenant)

    def check(self, action: Action) -> None:
        """Check that an action is allowed, and apply it to the model."""
        match action:
            case SetTimer():
                self.timers_us.append(self.now_us + action.delay_us)
            case AdvertiseCapacity():
                assert self.settings.capacity_hint is not CapacityHint.NONE
                assert action.value >= 0
            case Run(request_id):
                assert self.state[request_id] == "held"
                assert request_id not in self.ran
                too_late = self.drained_us is not None and (
                    self.arrived_us[request_id] > self.drained_us + self.settings.drain_grace_us
                )
                assert not too_late, "drain"
                if self.idempotency(request_id) is Idempotency.IDEMPOTENCY_KEY:
                    assert request_id in self.remembered_keys, "duplicate"
                    assert request_id not in self.original_ids, "duplicate"
                self.state[request_id] = "running"
                self.ran.add(request_id)
            case RememberKey(request_id, ttl_us):
                assert (
                    self.arrived_us[request_id]
                    + self.settings.classes[self.class_indexes[request_id]].idempotency_window_us
                    <= self.now_us + ttl_us
                )
                self.remembered_keys.add(request_id)
            case ForgetKey(request_id):
                assert request_id not in self.ran
                self.remembered_keys.discard(request_id)
            case AttachToOriginal(request_id):
                assert request_id in self.original_ids
                self.state[request_id] = "joined"
            case SkipCall(request_id):
                assert self.state[request_id] == "at call"
                assert self.settings.classes[self.class_indexes[request_id]].degraded_value_fraction > 0
                self.state[request_id] = "running"
            case Call(request_id, until_us):
                assert self.state[request_id] == "at call", "duplicate"
                assert request_id not in self.called, "duplicate"
                assert self.now_us < until_us <= self.due_us[request_id]
                self.state[request_id] = "calling"
                self.called.add(request_id)
            case Preempt(request_id):
                assert self.settings.preemption is not PreemptionMode.NONE
                assert request_id in self.answered | self.disconnected
            case Reject(request_id) | FailRequest(request_id):
                assert request_id not in self.answered, "answered twice"
                if isinstance(action, Reject) and self.idempotency(request_id) is not Idempotency.IDEMPOTENT:
                    assert request_id not in self.ran, "duplicate"
                    assert self.original_ids.get(request_id) not in self.ran, "duplicate"
                self.answered.add(request_id)
                if self.state[request_id] in ("held", "joined"):
                    self.state[request_id] = "over"
            case _:
                pass

    def idempotency(self, request_id: int) -> Idempotency:
        """Return the idempotency of the class of a request."""
        return self.settings.classes[self.class_indexes[request_id]].idempotency

    def pick(self, draw: int, *states: str) -> int | None:
        """Return a request in one of these states, chosen by `draw`, or None if there is none."""
        candidates = sorted(request_id for request_id, state in self.state.items() if state in states)
        return candidates[draw % len(candidates)] if candidates else None

    def step(self, event_name: str, draw: int) -> None:
        """Report one event of this kind, chosen by `draw`, if any is possible."""
        event: Event | None = None
        if event_name == "request":
            request_id = len(self.state) + 1
            class_index, waited_us = draw % len(CLASSES), draw * 7_919 % 1_500_000
            self.class_indexes[request_id], self.arrived_us[request_id], self.state[request_id] = (
                class_index,
                self.now_us - waited_us,
                "held",
            )
            self.due_us[request_id] = max(
                self.now_us, self.now_us - waited_us + CLASSES[class_index].deadline_us
            )
            remembered = sorted(self.remembered_keys)
            original_id = (
                remembered[draw % len(remembered)] if class_index == 2 and draw % 3 == 0 and remembered else 0
            )
            if original_id:
                self.original_ids[request_id] = original_id
            event = Request(
                request_id,
                class_index,
                draw % 5,
                draw % 7,
                draw % self.tenants,
                5.0,
                1_000 * (draw % 300),
                0,
                waited_us,
                original_id,
            )
        elif event_name == "gone" and (chosen_id := self.pick(draw, *UNFINISHED_STATES)):
            if chosen_id not in self.answered:
                self.disconnected.add(chosen_id)
                if self.state[chosen_id] in ("held", "joined"):
                    self.state[chosen_id] = "over"
                event = ClientDisconnected(chosen_id)
        elif (
            event_name == "need"
            and (chosen_id := self.pick(draw, "running"))
            and CLASSES[self.class_indexes[chosen_id]].makes_calls
        ):
            self.state[chosen_id] = "at call"
            self.called.discard(chosen_id)
            event = CallNeeded(chosen_id)
        elif event_name == "call ended" and (chosen_id := self.pick(draw, "calling")):
            outcome = list(Outcome)[draw % 6]
            self.state[chosen_id] = "running" if outcome is Outcome.OK else "at call"
            if outcome in (Outcome.REJECTED, Outcome.UNREACHABLE):
                self.called.discard(chosen_id)
            event = CallEnded(chosen_id, outcome, 50_000)
        elif event_name == "run ended" and (chosen_id := self.pick(draw, "running", "joined")):
            was_answered = chosen_id in self.answered | self.disconnected
            self.answered.add(chosen_id)
            self.state[chosen_id] = "over"
            event = RunEnded(chosen_id, Outcome.CANCELLED if was_answered else Outcome.OK, 100_000)
        elif event_name == "drain" and self.drained_us is None and draw % 4 == 0:
            self.drained_us, self.stop_us = self.now_us, self.now_us + 1_500_000
            event = Drain(1_500_000)
        if event is not None:
            self.apply([event])

    def pass_time(self, duration_us: int, busy_fraction: float) -> None:
        """Let time pass, with a tick for each timer that expires."""
        end_us = self.now_us + duration_us
        while self.timers_us and min(self.timers_us) <= end_us:
            self.now_us = min(self.timers_us)
            self.timers_us.remove(self.now_us)
            # a run that waits for its call ends once its request is answered
            for request_id, state in list(self.state.items()):
                if state in ("at call", "calling") and request_id in self.answered | self.disconnected:
                    self.state[request_id] = "over"
                    self.apply([RunEnded(request_id, Outcome.CANCELLED)])
            self.apply([Tick(0, Gauges(busy_fraction, busy_fraction * 9))])
        self.now_us = end_us


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["request", "request", "request", "need", "call ended", "run ended", "gone", "drain"]
        ),
        st.integers(0, 10_000),
        st.sampled_from([0, 0, 1_000, 60_000, 250_000]),
        st.sampled_from([0.0, 0.5, 1.0, float("nan")]),
    ),
    max_size=120,
)


@seed(1)
@hypothesis_settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(
    STEPS,
    st.sampled_from(list(PreemptionMode)),
    st.sampled_from(list(CapacityHint)),
    st.booleans(),
    st.sampled_from([0.4, 3.0]),
    st.sampled_from([0, 1, 4]),
)
def test_generated_sequences_keep_the_rules_and_yield_legal_actions(
    steps: list[tuple[str, int, int, float]],
    preemption: PreemptionMode,
    capacity_hint: CapacityHint,
    cold_start: bool,
    quota: float,
    tenants: int,
) -> None:
    model = WorkerModel(
        Settings(
            classes=CLASSES,
            cores=2,
            memory_kb=2_000,
            running_memory_factor=6,
            max_runnable_per_core=5,
            runnable_window_us=2_000_000,
            initial_speed=0.3,
            warm_up_us=5_000_000,
            drain_grace_us=500_000,
            answer_slack_us=80_000,
            tick_us=5_000,
            key_entry_kb=20,
            preemption=preemption,
            capacity_hint=capacity_hint,
            cold_start=cold_start,
            dependency_concurrency_quota=quota,
            dependency_window_us=5_000_000,
            abandoned_call_us=200_000,
            caller_count=3,
        ),
        tenants,
    )
    for event_name, draw, duration_us, busy_fraction in steps:
        model.step(event_name, draw)
        model.pass_time(duration_us, busy_fraction)
    model.pass_time(4_000_000, 0.5)
    assert not model.state.keys() - model.answered - model.disconnected
