"""Tests of the removal of tenants: state changes, and races with requests on a simulated clock."""

import random
from collections import Counter

import pytest
from core_harness import Backend
from helpers import KEYED, SAFE, small_node_settings

from reelusher.config.operator.tenants import Tenant
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


def test_draining_tenant_is_removed_without_requests_in_flight_or_at_its_deadline() -> None:
    lifecycle = Lifecycle()
    first, _ = lifecycle.put(tenant("a"))
    assert lifecycle.admits(first.number)
    assert not lifecycle.admits(first.number + 1)
    lifecycle.remove("a", 1_000, 500)
    assert not lifecycle.admits(first.number)
    assert lifecycle.remove_drained(1_400, lambda number: 2) == []
    lifecycle.remove("a", 1_400, 5_000)  # a second removal does not postpone it
    assert [
        (removed.record.number, removed.in_flight)
        for removed in lifecycle.remove_drained(1_500, lambda number: 2)
    ] == [(1, 2)]
    again, new = lifecycle.put(tenant("a"))
    assert new
    assert again.number == 2
    assert not lifecycle.is_draining()
    lifecycle.remove("a", 2_000, 10_000)
    assert len(lifecycle.remove_drained(2_000, lambda number: 0)) == 1


def test_draining_tenant_rejects_other_operations() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.set_state("a", TenantState.ACTIVE) is None
    assert lifecycle.remove("a", 0) is None
    record, _ = lifecycle.put(tenant("a"))
    suspended = lifecycle.set_state("a", TenantState.SUSPENDED)
    assert suspended
    assert suspended.number == record.number
    assert not lifecycle.admits(record.number)
    assert lifecycle.put(tenant("a"))[0].state is TenantState.SUSPENDED  # replacing it does not resume it
    lifecycle.remove("a", 0)
    for operation in (
        lambda: lifecycle.put(tenant("a")),
        lambda: lifecycle.set_state("a", TenantState.ACTIVE),
    ):
        with pytest.raises(TenantStateError, match="is being removed"):
            operation()


class Race:
    """Random requests, ends of runs, removals and additions of two tenants, some of them in one batch."""

    def __init__(self, seed: int) -> None:
        self.random, self.now_us = random.Random(seed), 1_000_000_000_000
        node_settings = small_node_settings(SAFE, KEYED, cores=2, memory_kb=5_000.0)
        fair_queue = self.fair_queue = FairQueue(node_settings.cores, node_settings.memory_kb)
        self.backend = Backend()
        self.core = Core(
            node_settings,
            [],
            seed,
            self.backend,
            clock=Clock(*[lambda: self.now_us * 1000] * 2),
            scheduler=fair_queue,
        )
        self.tenants = TenantRegistry(
            [(tenant("a"), TenantState.ACTIVE), (tenant("b"), TenantState.ACTIVE)],
            ("safe", "keyed"),
            lambda backend: None,
            self.core,
            fair_queue,
            frozenset({"runtime"}),
        )
        self.answers: dict[str, list[Answer]] = {}
        self.requests: dict[str, IncomingRequest] = {}
        self.ended: set[str] = set()
        self.core.process_batch([])

    def request(self) -> RequestArrived:
        record = self.random.choice([*self.tenants.records(), None])
        # without a record: a request that was read while tenant 1 existed, which may be removed by now
        name, number = (record.tenant.name, record.number) if record else ("a", 1)
        request_id, class_index = f"c{len(self.requests)}", self.random.randrange(2)
        self.answers[request_id] = []
        request = self.requests[request_id] = IncomingRequest(
            request_id,
            class_index,
            b"x",
            self.now_us,
            self.answers[request_id].append,
            name,
            number,
            held_kb=20.0,
            idempotency_key=f"k{self.random.randrange(6)}" if class_index else "",
        )
        return RequestArrived(request)

    def end(self) -> RunFinished | None:
        running = sorted(
            {run_id for command, run_id, *_ in self.backend.commands if command == "start"} - self.ended
        )
        if not running:
            return None
        request_id = self.random.choice(running)
        self.ended.add(request_id)
        outcome = self.random.choice([Outcome.OK, Outcome.OK, Outcome.ERROR])
        return RunFinished(
            request_id, outcome, 40_000, Result(request_id.encode()) if outcome is Outcome.OK else None
        )

    def change_tenants(self) -> EventLoopTask:
        name = self.random.choice("ab")
        if self.random.random() < 0.5:
            return EventLoopTask(
                lambda: self.tenants.remove(name, self.random.choice([0, 60_000, 2_000_000]))
            )
        return EventLoopTask(lambda: None if self.tenants.record(name) else self.tenants.put(tenant(name)))

    def step(self) -> None:
        self.now_us += self.random.choice([0, 1_000, 30_000, 120_000])
        batch: list[RequestArrived | RunFinished | EventLoopTask] = []
        for _ in range(self.random.randint(1, 4)):
            message = self.random.choice([self.request, self.request, self.end, self.change_tenants])()
            if message is not None:
                batch.append(message)
        self.core.process_batch(list(batch))


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_races_with_removals_give_each_request_one_answer_and_run_no_key_twice(first: int) -> None:
    removed = 0
    for seed in range(first, first + 20):
        race = Race(seed)
        for _ in range(60):
            race.step()
            for request_id, answers in race.answers.items():
                assert len(answers) <= 1
                present = {record.number for record in race.tenants.records()}
                if race.requests[request_id].tenant_number not in present:
                    assert answers, "a tenant was removed, and a request of it has no answer"
        while (run_finished := race.end()) is not None:
            race.core.process_batch([run_finished])
        for _ in range(120):
            race.now_us += 100_000
            race.core.process_batch([])
        assert all(len(answers) == 1 for answers in race.answers.values())
        started = [
            race.requests[run_id] for command, run_id, *_ in race.backend.commands if command == "start"
        ]
        runs = Counter(
            (request.tenant, request.idempotency_key) for request in started if request.idempotency_key
        )
        # the whole race is shorter than the idempotency window, so that no key may run twice
        assert max(runs.values(), default=1) == 1
        served = [
            (request_id, answers[0])
            for request_id, answers in race.answers.items()
            if answers[0].verdict is Verdict.SERVED
        ]
        for request_id, answer in served:
            origin = race.requests[answer.result.body.decode()] if answer.result else None
            assert origin
            assert (origin.tenant, origin.class_index, origin.idempotency_key) == (
                race.requests[request_id].tenant,
                race.requests[request_id].class_index,
                race.requests[request_id].idempotency_key,
            )
        allowed = {record.number for record in race.tenants.records()} | {0}
        race.now_us += 2 * WINDOW_US  # past the window of every key
        for _ in range(2):
            race.now_us += 100_000
            race.core.process_batch([])
        assert set(race.fair_queue.flows) <= allowed, "a removed tenant still has accounts"
        removed += race.core.counters.snapshot().get("tenants.removed", 0)
    assert removed > 20
    assert WINDOW_US > 60 * 120_000
