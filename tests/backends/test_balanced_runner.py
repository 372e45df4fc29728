"""Runs on AJP workers that are stopped at an inconvenient moment."""

import socket
from random import Random

import pytest

from reelusher.backends.ajp.worker import PooledWorker
from reelusher.backends.ajp.worker_pool import BalancedRunner, WorkerPool
from reelusher.config.operator.workers import Worker
from reelusher.core.counters import Counters
from reelusher.core.messages import IncomingRequest, Message, RunFinished
from reelusher.policy.events import Outcome

REQUEST = IncomingRequest("00000000000000aa", 0, b"body", 0, lambda answer: None)


@pytest.mark.parametrize("moment", ["before", "while connecting"])
def test_run_that_is_stopped_before_it_has_a_connection_sends_nothing(
    moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a run of a request that was given up: the stop took effect only after its end."""
    posted: list[Message] = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        worker = Worker(
            "w1", "127.0.0.1", server.getsockname()[1], "", "", 1, 1, 1000, 0, 1000, 100, "active"
        )
        pool = WorkerPool((worker,), (), 1, posted.append, Counters(), 1024, lambda: 0, Random(1))
        runner = pool.runner("w1")
        assert isinstance(runner, BalancedRunner)
        acquire = PooledWorker.acquire_connection

        def acquire_and_stop(pooled: PooledWorker) -> object:
            connection = acquire(pooled)
            runner.stop(REQUEST.run_id)
            return connection

        runner._runs[REQUEST.run_id] = None  # as `start` does before it starts a thread
        if moment == "before":
            runner.stop(REQUEST.run_id)
        else:
            monkeypatch.setattr(PooledWorker, "acquire_connection", acquire_and_stop)
        server.settimeout(1)
        runner._run(REQUEST, "day-view")
        if moment == "while connecting":
            near = server.accept()[0]
            assert near.recv(100) == b""
        else:
            with pytest.raises(TimeoutError):
                server.accept()
    assert [(message.run_id, message.outcome) for message in posted if isinstance(message, RunFinished)] == [
        (REQUEST.run_id, Outcome.CANCELLED)
    ]
    assert not runner._stopped
    assert not runner._runs
    pool.executor.shutdown()
