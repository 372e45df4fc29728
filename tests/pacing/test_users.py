"""Registry reports and worker probes, which are paced."""

import socket
import time
from random import Random
from typing import Any

import pytest

from reelusher.backends.ajp.worker import PooledWorker
from reelusher.backends.ajp.worker_pool import WorkerPool
from reelusher.backends.service_registry import RegistryUnavailableError, ServiceRegistryClient
from reelusher.config.operator.file import parse as parse_operator
from reelusher.core.counters import Counters
from reelusher.pacing.report_schedule import ReportSchedule


def registry_with(
    monkeypatch: pytest.MonkeyPatch, *errors: OSError | None
) -> tuple[ServiceRegistryClient, list[float]]:
    """Return one on an open connection whose exchanges raise these errors in turn, and their times."""
    made: list[float] = []

    def exchange(self: ServiceRegistryClient, *args: Any) -> None:
        made.append(time.monotonic())
        error = errors[len(made) - 1] if len(made) <= len(errors) else None
        if error:
            raise error

    monkeypatch.setattr(ServiceRegistryClient, "_exchange", exchange)
    monkeypatch.setattr(ServiceRegistryClient, "_disconnect", lambda self: None)
    registry = ServiceRegistryClient(("127.0.0.1", 1), "n1", lambda: True, Counters(), Random(1))
    vars(registry).update(_sock=socket.socket(), _connected_to=("127.0.0.1", 1))
    return registry, made


def test_report_is_retried_at_once_on_a_stale_connection_but_not_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stale = ConnectionResetError("stale")
    registry, made = registry_with(
        monkeypatch, RegistryUnavailableError("500", 0.0), TimeoutError(), stale, None, stale
    )
    for wanted in (1, 2, 4, 5):  # the last: one such retry is all until reports have earned another
        raised: OSError | None = None
        try:
            registry._put()
        except OSError as error:
            raised = error
        assert raised is None or wanted != 4, raised
        assert len(made) == wanted


def test_change_is_reported_before_the_next_report_is_due(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ReportSchedule, "on_success", lambda self, sent_s, now_s: 1000.0)
    registry, made = registry_with(monkeypatch)
    registry.start()
    try:
        for number in (1, 2):
            until = time.monotonic() + 10
            while len(made) < number and time.monotonic() < until:
                time.sleep(0.005)
            assert len(made) == number
            registry.health_changed()
    finally:
        registry.stop()


def test_one_request_at_a_time_probes_an_unreachable_worker_and_less_often_with_time() -> None:
    own = parse_operator(
        {
            "node": {"name": "h"},
            "capacity": {"cores": 2, "memory_kb": 1000},
            "classes": [{"name": "s", "deadline_ms": 1000}],
            "workers": [{"name": "w", "recover_ms": 1000}],
        }
    )
    pool = WorkerPool(own.workers, (), 2, lambda message: None, Counters(), 1024, lambda: 0, Random(1))
    member: PooledWorker = pool.workers["w"]

    def pick() -> PooledWorker | None:
        return pool.load_balancer.acquire([member], set(), "", "requests")

    assert pick()
    assert pick()
    member.record_unreachable()
    first = member.down_until
    member.record_unreachable()
    assert member.down_until == first
    assert pick() is None
    waits = []
    for _ in range(6):
        member.down_until = 0.0
        assert pick() is member
        assert pick() is None
        failed_s = time.monotonic()
        member.record_unreachable()
        waits.append(member.down_until - failed_s)
    assert max(waits) <= 4.1
    assert sum(waits[3:]) > 1.5 * waits[0]
    member.down_until = 0.0
    assert pick() is member
    member.record_reached()
    assert pick()
    assert pick()
