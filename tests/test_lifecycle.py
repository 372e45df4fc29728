"""Removal of tenants: its steps, and its races with everything else under a controlled clock."""

import random
from collections import Counter

import pytest
from core_harness import Backend
from helpers import KEYED, SAFE, settings

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


def test_tenant_is_removed_once_it_has_no_open_requests_or_no_time() -> None:
    lifecycle = Lifecycle()
    first, _ = lifecycle.put(tenant("a"))
    assert lifecycle.admits(first.number)
    assert not lifecycle.admits(first.number + 1)
    lifecycle.remove("a", 1_000, 500)
    assert not lifecycle.admits(first.number)
    assert lifecycle.tick(1_400, lambda number: 2) == []
    lifecycle.remove("a", 1_400, 5_000)  # a second removal does not postpone it
    assert [
        (removed.entry.number, removed.in_hand) for removed in lifecycle.tick(1_500, lambda number: 2)
    ] == [(1, 2)]
    again, new = lifecycle.put(tenant("a"))
    assert new
    assert again.number == 2
    assert not lifecycle.draining()
    lifecycle.remove("a", 2_000, 10_000)
    assert len(lifecycle.tick(2_000, lambda number: 0)) == 1


def test_tenant_that_is_being_removed_accepts_no_other_changes() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.move("a", TenantState.ACTIVE) is None
    assert lifecycle.remove("a", 0) is None
    entry, _ = lifecycle.put(tenant("a"))
    suspended = lifecycle.move("a", TenantState.SUSPENDED)
    assert suspended
    assert suspended.number == entry.number
    assert not lifecycle.admits(entry.number)
    assert (
        lifecycle.put(tenant("a"))[0].state is TenantState.SUSPENDED
    )  # a change of its entry does not activate it
    lifecycle.remove("a", 0)
    for change in (lambda: lifecycle.put(tenant("a")), lambda: lifecycle.move("a", TenantState.ACTIVE)):
        with pytest.raises(TenantStateError, match="is being removed"):
            change()


class Race:
    """Random requests, ends of runs, removals and additions of two tenants, some in one batch."""

    def __init__(self, seed: int) -> None:
        self.random, self.now = random.Random(seed), 1_000_000_000_000
        node_settings = settings(SAFE, KEYED, cores=2, memory_kb=5_000.0)
        shares = self.shares = FairQueue(node_settings.cores, node_settings.memory_kb)
        self.backend = Backend()
        self.core = Core(
            node_settings,
            [],
            seed,
            self.backend,
            clock=Clock(*[lambda: self.now * 1000] * 2),
            scheduler=shares,
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
        self.requests: dict[str, IncomingRequest] = {}
        self.ended: set[str] = set()
        self.core.process_batch([])

    def request(self) -> RequestArrived:
        match = self.random.choice([*self.tenants.entries(), None])
        name, number = (
            (match.tenant.name, match.number) if match else ("a", 1)
        )  # read before the tenant was removed
        run_id, class_index = f"c{len(self.requests)}", self.random.randrange(2)
        self.answers[run_id] = []
        request = self.requests[run_id] = IncomingRequest(
            run_id,
            class_index,
            b"x",
            self.now,
            self.answers[run_id].append,
            name,
            number,
            held_kb=20.0,
            idempotency_key=f"k{self.random.randrange(6)}" if class_index else "",
        )
        return RequestArrived(request)

    def end(self) -> RunFinished | None:
        running = sorted(
            {run_id for command, run_id, *_ in self.backend.said if command == "start"} - self.ended
        )
        if not running:
            return None
        run_id = self.random.choice(running)
        self.ended.add(run_id)
        outcome = self.random.choice([Outcome.OK, Outcome.OK, Outcome.ERROR])
        return RunFinished(
            run_id, outcome, 40_000, Result(run_id.encode()) if outcome is Outcome.OK else None
        )

    def change(self) -> EventLoopTask:
        name = self.random.choice("ab")
        if self.random.random() < 0.5:
            return EventLoopTask(
                lambda: self.tenants.delete(name, self.random.choice([0, 60_000, 2_000_000]))
            )
        return EventLoopTask(lambda: None if self.tenants.entry(name) else self.tenants.put(tenant(name)))

    def step(self) -> None:
        self.now += self.random.choice([0, 1_000, 30_000, 120_000])
        batch: list[RequestArrived | RunFinished | EventLoopTask] = []
        for _ in range(self.random.randint(1, 4)):
            message = self.random.choice([self.request, self.request, self.end, self.change])()
            if message is not None:
                batch.append(message)
        self.core.process_batch(list(batch))


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_each_request_has_one_answer_and_no_key_runs_twice_during_removals(first: int) -> None:
    removed = 0
    for seed in range(first, first + 20):
        race = Race(seed)
        for _ in range(60):
            race.step()
            for run_id, answers in race.answers.items():
                assert len(answers) <= 1
                existing = {entry.number for entry in race.tenants.entries()}
                if race.requests[run_id].tenant_number not in existing:
                    assert answers, "a tenant was removed, and a request of it has no answer"
        while (over := race.end()) is not None:
            race.core.process_batch([over])
        for _ in range(120):
            race.now += 100_000
            race.core.process_batch([])
        assert all(len(answers) == 1 for answers in race.answers.values())
        started = [race.requests[run_id] for command, run_id, *_ in race.backend.said if command == "start"]
        runs = Counter(
            (request.tenant, request.idempotency_key) for request in started if request.idempotency_key
        )
        # the whole race is shorter than the window of a key
        assert max(runs.values(), default=1) == 1
        served = [
            (run_id, answers[0])
            for run_id, answers in race.answers.items()
            if answers[0].verdict is Verdict.SERVED
        ]
        for run_id, answer in served:
            original = race.requests[answer.result.body.decode()] if answer.result else None
            assert original
            assert (original.tenant, original.class_index, original.idempotency_key) == (
                race.requests[run_id].tenant,
                race.requests[run_id].class_index,
                race.requests[run_id].idempotency_key,
            )
        existing = {entry.number for entry in race.tenants.entries()} | {0}
        race.now += 2 * WINDOW_US  # past the window of every key
        for _ in range(2):
            race.now += 100_000
            race.core.process_batch([])
        assert set(race.shares._flows) <= existing, "a removed tenant still has a flow"
        removed += race.core.counters.snapshot().get("tenants.removed", 0)
    assert removed > 20
    assert WINDOW_US > 60 * 120_000
