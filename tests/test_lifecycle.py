"""Removal of tenants: its steps, and races of it with all else on a clock of the test's own."""

import random
from collections import Counter

import pytest
from helpers import KEYED, SAFE, settings
from test_core import Backend

from reelusher.config.operator import Tenant
from reelusher.core.clock import Clock
from reelusher.core.event_loop import Core
from reelusher.core.messages import (
    Answer,
    EventLoopTask,
    IncomingRequest,
    RequestArrived,
    Result,
    RunFinished,
    Verdict,
)
from reelusher.policy.events import Outcome
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.lifecycle import Lifecycle, TenantState, TenantStateError
from reelusher.tenancy.registry import TenantRegistry

WINDOW_US = KEYED.idempotency_window_us


def tenant(name: str) -> Tenant:
    return Tenant(name, "runtime", (), "/", "x-request-key", "", 0, 16.0, ())


def test_a_tenant_goes_once_it_has_nothing_in_hand_or_no_time() -> None:
    life = Lifecycle()
    first, _ = life.put(tenant("a"))
    assert life.admits(first.number)
    assert not life.admits(first.number + 1)
    life.remove("a", 1_000, 500)
    assert not life.admits(first.number)
    assert life.tick(1_400, lambda number: 2) == []
    life.remove("a", 1_400, 5_000)  # a second order does not put it off
    assert [(gone.entry.number, gone.in_hand) for gone in life.tick(1_500, lambda number: 2)] == [(1, 2)]
    again, new = life.put(tenant("a"))
    assert new
    assert again.number == 2
    assert not life.draining()
    life.remove("a", 2_000, 10_000)
    assert len(life.tick(2_000, lambda number: 0)) == 1


def test_a_tenant_that_is_removed_takes_no_other_orders() -> None:
    life = Lifecycle()
    assert life.move("a", TenantState.ACTIVE) is None
    assert life.remove("a", 0) is None
    entry, _ = life.put(tenant("a"))
    suspended = life.move("a", TenantState.SUSPENDED)
    assert suspended
    assert suspended.number == entry.number
    assert not life.admits(entry.number)
    assert life.put(tenant("a"))[0].state is TenantState.SUSPENDED  # what is said of it does not wake it
    life.remove("a", 0)
    for order in (lambda: life.put(tenant("a")), lambda: life.move("a", TenantState.ACTIVE)):
        with pytest.raises(TenantStateError, match="is being removed"):
            order()


class Race:
    """Random requests, ends of runs, removals and additions of two tenants, some in one batch."""

    def __init__(self, seed: int) -> None:
        self.chance, self.now = random.Random(seed), 1_000_000_000_000
        told = settings(SAFE, KEYED, cores=2, memory_kb=5_000.0)
        shares = self.shares = FairQueue(told.cores, told.memory_kb)
        self.backend = Backend()
        self.core = Core(
            told, [], seed, self.backend, clock=Clock(*[lambda: self.now * 1000] * 2), scheduler=shares
        )
        self.tenants = TenantRegistry(
            [(tenant("a"), TenantState.ACTIVE), (tenant("b"), TenantState.ACTIVE)],
            ("safe", "keyed"),
            lambda backend: None,
            self.core,
            shares,
            frozenset({"runtime"}),
        )
        self.answers: dict[str, list[Answer]] = {}
        self.asked: dict[str, IncomingRequest] = {}
        self.ended: set[str] = set()
        self.core.process_batch([])

    def request(self) -> RequestArrived:
        match = self.chance.choice([*self.tenants.entries(), None])
        name, number = (match.tenant.name, match.number) if match else ("a", 1)  # one read before it went
        call, kind = f"c{len(self.asked)}", self.chance.randrange(2)
        self.answers[call] = []
        made = self.asked[call] = IncomingRequest(
            call,
            kind,
            b"x",
            self.now,
            self.answers[call].append,
            name,
            number,
            held_kb=20.0,
            idempotency_key=f"k{self.chance.randrange(6)}" if kind else "",
        )
        return RequestArrived(made)

    def end(self) -> RunFinished | None:
        running = sorted({call for word, call, *_ in self.backend.said if word == "start"} - self.ended)
        if not running:
            return None
        call = self.chance.choice(running)
        self.ended.add(call)
        outcome = self.chance.choice([Outcome.OK, Outcome.OK, Outcome.ERROR])
        return RunFinished(call, outcome, 40_000, Result(call.encode()) if outcome is Outcome.OK else None)

    def order(self) -> EventLoopTask:
        name = self.chance.choice("ab")
        if self.chance.random() < 0.5:
            return EventLoopTask(
                lambda: self.tenants.delete(name, self.chance.choice([0, 60_000, 2_000_000]))
            )
        return EventLoopTask(lambda: None if self.tenants.entry(name) else self.tenants.put(tenant(name)))

    def step(self) -> None:
        self.now += self.chance.choice([0, 1_000, 30_000, 120_000])
        batch: list[RequestArrived | RunFinished | EventLoopTask] = []
        for _ in range(self.chance.randint(1, 4)):
            what = self.chance.choice([self.request, self.request, self.end, self.order])()
            if what is not None:
                batch.append(what)
        self.core.process_batch(list(batch))


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_whatever_races_with_a_removal_each_request_has_one_answer_and_no_key_runs_twice(first: int) -> None:
    removed = 0
    for seed in range(first, first + 20):
        race = Race(seed)
        for _ in range(60):
            race.step()
            for call, answers in race.answers.items():
                assert len(answers) <= 1
                alive = {entry.number for entry in race.tenants.entries()}
                if race.asked[call].tenant_number not in alive:
                    assert answers, "a tenant is gone, and a request of it has no answer"
        while (over := race.end()) is not None:
            race.core.process_batch([over])
        for _ in range(120):
            race.now += 100_000
            race.core.process_batch([])
        assert all(len(answers) == 1 for answers in race.answers.values())
        started = [race.asked[call] for word, call, *_ in race.backend.said if word == "start"]
        runs = Counter(
            (request.tenant, request.idempotency_key) for request in started if request.idempotency_key
        )
        # the whole race is shorter than the window of a key
        assert max(runs.values(), default=1) == 1
        served = [
            (call, answers[0])
            for call, answers in race.answers.items()
            if answers[0].verdict is Verdict.SERVED
        ]
        for call, answer in served:
            maker = race.asked[answer.result.body.decode()] if answer.result else None
            assert maker
            assert (maker.tenant, maker.class_index, maker.idempotency_key) == (
                race.asked[call].tenant,
                race.asked[call].class_index,
                race.asked[call].idempotency_key,
            )
        live = {entry.number for entry in race.tenants.entries()} | {0}
        race.now += 2 * WINDOW_US  # past the window of every key
        for _ in range(2):
            race.now += 100_000
            race.core.process_batch([])
        assert set(race.shares._flows) <= live, "a tenant that is gone still has a standing"
        removed += race.core.counters.snapshot().get("tenants.removed", 0)
    assert removed > 20
    assert WINDOW_US > 60 * 120_000
