"""Paced work: reports to the service registry and probes of workers."""

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
    """Return a registry client with an open connection, and the list of the times of its exchanges.

    Its exchanges raise these errors in turn; None is a success, and so are all further exchanges.
    """
    exchange_times_s: list[float] = []

    def exchange(self: ServiceRegistryClient, *args: Any) -> None:
        exchange_times_s.append(time.monotonic())
        error = errors[len(exchange_times_s) - 1] if len(exchange_times_s) <= len(errors) else None
        if error:
            raise error

    monkeypatch.setattr(ServiceRegistryClient, "_exchange", exchange)
    monkeypatch.setattr(ServiceRegistryClient, "_disconnect", lambda self: None)
    registry = ServiceRegistryClient(("127.0.0.1", 1), "n1", lambda: True, Counters(), Random(1))
    vars(registry).update(_sock=socket.socket(), _connected_to=("127.0.0.1", 1))
    return registry, exchange_times_s


def test_report_is_retried_at_once_on_a_stale_connection_but_not_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stale = ConnectionResetError("stale")
    registry, exchange_times_s = registry_with(
        monkeypatch, RegistryUnavailableError("500", 0.0), TimeoutError(), stale, None, stale
    )
    # the last report is not retried: the budget allows one such retry until reports have earned another
    for exchange_count in (1, 2, 4, 5):
        raised: OSError | None = None
        try:
            registry._put()
        except OSError as error:
            raised = error
        assert raised is None or exchange_count != 4, raised
        assert len(exchange_times_s) == exchange_count


def test_change_is_reported_before_the_next_report_is_due(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ReportSchedule, "on_success", lambda self, sent_s, now_s: 1000.0)
    registry, exchange_times_s = registry_with(monkeypatch)
    registry.start()
    try:
        for number in (1, 2):
            deadline_s = time.monotonic() + 10
            while len(exchange_times_s) < number and time.monotonic() < deadline_s:
                time.sleep(0.005)
            assert len(exchange_times_s) == number
            registry.health_changed()
    finally:
        registry.stop()


def test_one_request_at_a_time_probes_an_unreachable_worker_and_less_often_with_time() -> None:
    operator_config = parse_operator(
        {
            "node": {"name": "h"},
            "capacity": {"cores": 2, "memory_kb": 1000},
            "classes": [{"name": "s", "deadline_ms": 1000}],
            "workers": [{"name": "w", "recover_ms": 1000}],
        }
    )
    pool = WorkerPool(
        operator_config.workers, (), 2, lambda message: None, Counters(), 1024, lambda: 0, Random(1)
    )
    probed_worker: PooledWorker = pool.workers["w"]

    def acquire_worker() -> PooledWorker | None:
        return pool.load_balancer.acquire([probed_worker], set(), "", "requests")

    assert acquire_worker()
    assert acquire_worker()
    probed_worker.record_unreachable()
    first_down_until = probed_worker.down_until
    probed_worker.record_unreachable()
    assert probed_worker.down_until == first_down_until
    assert acquire_worker() is None
    down_times_s = []
    for _ in range(6):
        probed_worker.down_until = 0.0
        assert acquire_worker() is probed_worker
        assert acquire_worker() is None
        failed_s = time.monotonic()
        probed_worker.record_unreachable()
        down_times_s.append(probed_worker.down_until - failed_s)
    assert max(down_times_s) <= 4.1
    assert sum(down_times_s[3:]) > 1.5 * down_times_s[0]
    probed_worker.down_until = 0.0
    assert acquire_worker() is probed_worker
    probed_worker.record_reached()
    assert acquire_worker()
    assert acquire_worker()
