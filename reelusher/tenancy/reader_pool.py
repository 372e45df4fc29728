"""Threads that read the table of tenants from the disk, for others that wait so long and no longer."""

import queue
from collections.abc import Callable
from concurrent.futures import Future
from threading import BoundedSemaphore
from typing import Any, TypeVar

from reelusher.core.counters import Counters
from reelusher.net.threads import start_thread
from reelusher.tenancy.tenant_cache import TenantUnavailableError

T = TypeVar("T")
READERS = 3  # threads, as many as a copy has connections to read by
MOST_WAITING = 64  # requests that wait for the disk at once; further ones are refused
WAIT_S = 0.5  # within which what a request waits for has been read, or it is refused


class ReaderPool:
    """Reads for threads of fronts. A disk that hangs holds up these threads, and no request."""

    def __init__(self, counters: Counters, wait_s: float = WAIT_S, most_waiting: int = MOST_WAITING) -> None:
        self._counters = counters
        self._wait_s = wait_s
        self._places = BoundedSemaphore(most_waiting)
        self._jobs: queue.SimpleQueue[tuple[Future[Any], Callable[[], Any]] | None] = queue.SimpleQueue()
        for number in range(READERS):
            start_thread(f"tenant-reader-{number}", self._run)

    def read(self, action: Callable[[], T]) -> T:
        """Return what an action reads. Raises `TenantUnavailableError` where it fails or takes too long."""
        if not self._places.acquire(blocking=False):
            self._counters.add("tenants.refused_waiting")
            raise TenantUnavailableError("too many requests wait for the table of tenants")
        try:
            done: Future[T] = Future()
            self._jobs.put((done, action))
            try:
                return done.result(self._wait_s)
            except TimeoutError:
                done.cancel()  # where it has not begun, it never will
                self._counters.add("tenants.refused_late")
                raise TenantUnavailableError("the table of tenants was not read in time") from None
            except Exception as error:
                self._counters.warn("tenants.refused_unread", "tenants: the table can't be read: {}", error)
                raise TenantUnavailableError(str(error)) from None
        finally:
            self._places.release()

    def close(self) -> None:
        """End the threads after what they read now."""
        for _ in range(READERS):
            self._jobs.put(None)

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            done, action = job
            if not done.set_running_or_notify_cancel():
                continue
            try:
                done.set_result(action())
            except Exception as error:  # belongs to whoever waits
                done.set_exception(error)
