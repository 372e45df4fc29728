"""Generated event sequences under every site option; a ledger checks the four rules and legal actions."""

from hypothesis import given, seed
from hypothesis import settings as effort
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

KINDS = [
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


SHARES = [
    Quota(),
    Quota(weight=3, guarantee=0.3),
    Quota(ceiling=0.4, held=3, class_weights={0: 2, 1: 1}),
    Quota(running=1, keys=2, memory_kb=400),
]
WAITING = ("held", "running", "joined", "calling", "at call")


class Ledger:
    """What the worker knows of its requests; raises where an action is not allowed."""

    def __init__(self, site: Settings, tenants: int = 0) -> None:
        """Of several tenants, each has a share of its own; one tenant changes nothing of what is decided."""
        self.site = site
        self.tenants = max(1, tenants)
        self.shares = FairQueue(site.cores, site.memory_kb) if tenants else None
        for tenant in range(tenants):
            assert self.shares is not None
            self.shares.set_quota(tenant, SHARES[tenant % len(SHARES)] if tenants > 1 else Quota())
        self.controller = Controller(site, 1, self.shares)
        self.twin = Controller(site, 1) if tenants == 1 else None
        self.now = 0
        self.state: dict[int, str] = {}
        self.due: dict[int, int] = {}
        self.kind: dict[int, int] = {}
        self.arrived: dict[int, int] = {}
        self.kept: set[int] = set()
        self.ran: set[int] = set()
        self.called: set[int] = set()
        self.original: dict[int, int] = {}
        self.answered: set[int] = set()
        self.gone: set[int] = set()
        self.drained_us: int | None = None
        self.stop_us = 1 << 62
        self.timers: list[int] = []
        self.apply([])

    def apply(self, events: list[Event]) -> None:
        """Hand over events and check the actions."""
        actions = self.controller.handle(self.now, events)
        assert self.twin is None or self.twin.handle(self.now, events) == actions
        for action in actions:
            self.check(action)
        self.recount()
        for request_id in self.state.keys() - self.answered - self.gone:
            assert self.now <= min(self.due[request_id] + self.site.answer_slack_us, self.stop_us), "lost"

    def recount(self) -> None:
        """Count all work anew: the running counts must say the same."""
        controller = self.controller
        for state in RequestState:
            assert controller.in_flight.by_state[state] == {
                request_id: w for request_id, w in controller.in_flight.by_id.items() if w.state is state
            }
        held = (RequestState.HELD, RequestState.ATTACHED)
        sizes = (
            w.request.held_kb * (1 if w.state in held else self.site.running_memory_factor)
            for w in controller.in_flight.by_id.values()
        )
        assert abs(controller.in_flight.memory_kb - sum(sizes)) < 1e-6
        for tenant in range(self.tenants if self.shares else 0):
            assert self.shares is not None
            usage = self.shares.usage(tenant, self.now)
            own = [w for w in controller.in_flight.by_id.values() if w.request.tenant == tenant]
            assert usage.held == sum(w.state is RequestState.HELD for w in own)
            assert usage.running == sum(w.started for w in own)

    def check(self, action: Action) -> None:
        """Carry out one action."""
        match action:
            case SetTimer():
                self.timers.append(self.now + action.delay_us)
            case AdvertiseCapacity():
                assert self.site.capacity_hint is not CapacityHint.NONE
                assert action.value >= 0
            case Run(request_id):
                assert self.state[request_id] == "held"
                assert request_id not in self.ran
                late = self.drained_us is not None and (
                    self.arrived[request_id] > self.drained_us + self.site.drain_grace_us
                )
                assert not late, "drain"
                if self.effect(request_id) is Idempotency.IDEMPOTENCY_KEY:
                    assert request_id in self.kept, "duplicate"
                    assert request_id not in self.original, "duplicate"
                self.state[request_id] = "running"
                self.ran.add(request_id)
            case RememberKey(request_id, span):
                assert (
                    self.arrived[request_id] + self.site.classes[self.kind[request_id]].idempotency_window_us
                    <= self.now + span
                )
                self.kept.add(request_id)
            case ForgetKey(request_id):
                assert request_id not in self.ran
                self.kept.discard(request_id)
            case AttachToOriginal(request_id):
                assert request_id in self.original
                self.state[request_id] = "joined"
            case SkipCall(request_id):
                assert self.state[request_id] == "at call"
                assert self.site.classes[self.kind[request_id]].degraded_value_fraction > 0
                self.state[request_id] = "running"
            case Call(request_id, until):
                assert self.state[request_id] == "at call", "duplicate"
                assert request_id not in self.called, "duplicate"
                assert self.now < until <= self.due[request_id]
                self.state[request_id] = "calling"
                self.called.add(request_id)
            case Preempt(request_id):
                assert self.site.preemption is not PreemptionMode.NONE
                assert request_id in self.answered | self.gone
            case Reject(request_id) | FailRequest(request_id):
                assert request_id not in self.answered, "answered twice"
                if isinstance(action, Reject) and self.effect(request_id) is not Idempotency.IDEMPOTENT:
                    assert request_id not in self.ran, "duplicate"
                    assert self.original.get(request_id) not in self.ran, "duplicate"
                self.answered.add(request_id)
                if self.state[request_id] in ("held", "joined"):
                    self.state[request_id] = "over"
            case _:
                pass

    def effect(self, request_id: int) -> Idempotency:
        """Return the effect of a request."""
        return self.site.classes[self.kind[request_id]].idempotency

    def pick(self, number: int, *states: str) -> int | None:
        """Pick one of the requests in some states."""
        found = sorted(request_id for request_id, state in self.state.items() if state in states)
        return found[number % len(found)] if found else None

    def step(self, what: str, number: int) -> None:
        """Let one thing happen."""
        event: Event | None = None
        if what == "request":
            request_id = len(self.state) + 1
            kind, waited = number % len(KINDS), number * 7_919 % 1_500_000
            self.kind[request_id], self.arrived[request_id], self.state[request_id] = (
                kind,
                self.now - waited,
                "held",
            )
            self.due[request_id] = max(self.now, self.now - waited + KINDS[kind].deadline_us)
            keys = sorted(self.kept)
            original = keys[number % len(keys)] if kind == 2 and number % 3 == 0 and keys else 0
            if original:
                self.original[request_id] = original
            event = Request(
                request_id,
                kind,
                number % 5,
                number % 7,
                number % self.tenants,
                5.0,
                1_000 * (number % 300),
                0,
                waited,
                original,
            )
        elif what == "gone" and (chosen := self.pick(number, *WAITING)):
            if chosen not in self.answered:
                self.gone.add(chosen)
                if self.state[chosen] in ("held", "joined"):
                    self.state[chosen] = "over"
                event = ClientDisconnected(chosen)
        elif (
            what == "need"
            and (chosen := self.pick(number, "running"))
            and KINDS[self.kind[chosen]].makes_calls
        ):
            self.state[chosen] = "at call"
            self.called.discard(chosen)
            event = CallNeeded(chosen)
        elif what == "call ended" and (chosen := self.pick(number, "calling")):
            outcome = list(Outcome)[number % 6]
            self.state[chosen] = "running" if outcome is Outcome.OK else "at call"
            if outcome in (Outcome.REJECTED, Outcome.UNREACHABLE):
                self.called.discard(chosen)
            event = CallEnded(chosen, outcome, 50_000)
        elif what == "run ended" and (chosen := self.pick(number, "running", "joined")):
            done = chosen in self.answered | self.gone
            self.answered.add(chosen)
            self.state[chosen] = "over"
            event = RunEnded(chosen, Outcome.CANCELLED if done else Outcome.OK, 100_000)
        elif what == "drain" and self.drained_us is None and number % 4 == 0:
            self.drained_us, self.stop_us = self.now, self.now + 1_500_000
            event = Drain(1_500_000)
        if event is not None:
            self.apply([event])

    def pass_time(self, span_us: int, busy: float) -> None:
        """Let time pass, with the timers that fall due."""
        end = self.now + span_us
        while self.timers and min(self.timers) <= end:
            self.now = min(self.timers)
            self.timers.remove(self.now)
            for request_id, state in list(self.state.items()):  # a run at its call ends once it is answered
                if state in ("at call", "calling") and request_id in self.answered | self.gone:
                    self.state[request_id] = "over"
                    self.apply([RunEnded(request_id, Outcome.CANCELLED)])
            self.apply([Tick(0, Gauges(busy, busy * 9))])
        self.now = end


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
@effort(max_examples=150, derandomize=True, deadline=None, database=None)
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
    halt: PreemptionMode,
    say: CapacityHint,
    fresh: bool,
    share: float,
    tenants: int,
) -> None:
    ledger = Ledger(
        Settings(
            classes=KINDS,
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
            preemption=halt,
            capacity_hint=say,
            cold_start=fresh,
            dependency_concurrency_quota=share,
            dependency_window_us=5_000_000,
            abandoned_call_us=200_000,
            caller_count=3,
        ),
        tenants,
    )
    for what, number, span_us, busy in steps:
        ledger.step(what, number)
        ledger.pass_time(span_us, busy)
    ledger.pass_time(4_000_000, 0.5)
    assert not ledger.state.keys() - ledger.answered - ledger.gone
