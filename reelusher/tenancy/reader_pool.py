"""Threads that read the table of tenants from the disk, for callers that wait for a limited time."""

import queue
from collections.abc import Callable
from concurrent.futures import Future
from threading import BoundedSemaphore
from typing import Any, TypeVar

from reelusher.core.counters import Counters
from reelusher.net.threads import start_thread
from reelusher.tenancy.tenant_source import TenantUnavailableError

T = TypeVar("T")
READER_THREADS = 3  # equals `LOOKUP_CONNECTIONS` of the replica, which API calls and checks use as well
MAX_WAITING_READS = 64  # limit of concurrently waiting requests; further ones are rejected
READ_TIMEOUT_S = 0.5  # a request that waits longer for its read is rejected


class ReaderPool:
    """Reads for front ends. If the disk hangs, only the threads of the pool block; callers time out."""

    def __init__(
        self, counters: Counters, timeout_s: float = READ_TIMEOUT_S, max_waiting: int = MAX_WAITING_READS
    ) -> None:
        self._counters = counters
        self._timeout_s = timeout_s
        self._waiting_slots = BoundedSemaphore(max_waiting)
        self._jobs: queue.SimpleQueue[tuple[Future[Any], Callable[[], Any]] | None] = queue.SimpleQueue()
        for number in range(READER_THREADS):
            start_thread(f"tenant-reader-{number}", self._run)

    def read(self, action: Callable[[], T]) -> T:
        """Run an action in the pool and return its result. Any thread may call.

        Raises `TenantUnavailableError` where the action fails or takes too long, or too many callers wait.
        """
        if not self._waiting_slots.acquire(blocking=False):
            self._counters.add("tenants.refused_waiting")
            raise TenantUnavailableError("too many requests wait for the table of tenants")
        try:
            future: Future[T] = Future()
            self._jobs.put((future, action))
            try:
                return future.result(self._timeout_s)
            except TimeoutError:
                future.cancel()  # an action that has not started is skipped
                self._counters.add("tenants.refused_late")
                raise TenantUnavailableError("the table of tenants was not read in time") from None
            except Exception as error:
                self._counters.warn("tenants.refused_unread", "tenants: the table can't be read: {}", error)
                raise TenantUnavailableError(str(error)) from None
        finally:
            self._waiting_slots.release()

    def close(self) -> None:
        """Stop the threads once the queued reads have ended; does not wait for that."""
        for _ in range(READER_THREADS):
            self._jobs.put(None)

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            future, action = job
            if not future.set_running_or_notify_cancel():
                continue
            try:
                future.set_result(action())
            except Exception as error:  # the waiting caller handles it
                future.set_exception(error)
