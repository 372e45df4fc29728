"""Locks on idempotency keys between the processes of one node, so that only one process runs each key.

A key is locked before its run starts, and its file later records the result. Another process that receives
the same key finds the lock, waits for the end of the run, and serves the result; if there is no result in
time, the request fails, since it may have run. A separate thread accesses the files, so that the event loop
never blocks.
"""

import heapq
import queue
import time
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from reelusher.core.messages import IdempotencyKey, KeyLockRequest, Result
from reelusher.net.threads import start_thread
from reelusher.upgrade.key_lock_directory import KeyLock, KeyLockDirectory, KeyLockError, RunState
from reelusher.upgrade.process_registry import file_name_of

POLL_INTERVAL_S = 0.05  # time between two reads of another process's lock while its run has not ended
EXPIRY_INTERVAL_S = 5.0  # time between two searches for expired locks
EXPIRY_FILES_PER_STEP = 32  # files that such a search reads between two tasks
# an expired lock is kept this long, since a request may be read that long after it was received
RETENTION_US = 20_000_000


class KeyLockFiles:
    """The key locks of all processes of a node. Its public methods do not block."""

    def __init__(
        self, folder: Path, name: str, now_us: Callable[[], int] = lambda: time.time_ns() // 1000
    ) -> None:
        """Open the locks of the node of that name. Raises OSError if the folder can't be used.

        `now_us` returns the Unix time.
        """
        self._now_us = now_us
        self.directory = KeyLockDirectory(folder / f"{file_name_of(name)}.keys")
        # None ends the thread
        self._tasks: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._polls: list[tuple[float, int, KeyLockRequest]] = []  # heap; due time and sequence number first
        self._last_sequence = 0
        self._next_expiry_s = time.monotonic() + EXPIRY_INTERVAL_S
        self._unchecked_paths: list[Path] = []  # files that the current search for expired locks has not read

    # Methods that the event loop and the threads that start and stop the node call; they do not block

    def acquire(self, request: KeyLockRequest) -> None:
        """Lock a key, or wait for the result of its run in another process; see `KeyLockRequest`."""
        self._tasks.put(lambda: self._acquire(request))

    def complete(self, key: IdempotencyKey, result: Result | None) -> None:
        """Publish the result of the run of a locked key to other processes; None if the run failed."""
        self._tasks.put(lambda: self.directory.finish(key, result))

    def release(self, key: IdempotencyKey) -> None:
        """Release the lock of a key that never ran."""
        self._tasks.put(lambda: self.directory.remove(key))

    def start(self) -> None:
        """Start the thread that accesses the files."""
        start_thread("key-locks", self._run)

    def close(self) -> None:
        """End the thread once the tasks that are queued now are done."""
        self._tasks.put(None)

    # Methods that run on the thread that accesses the files

    def _run(self) -> None:
        """Run tasks, and between them the polls and the search for expired locks that are due."""
        while True:
            try:
                task = self._tasks.get(timeout=self._wait_s())
            except queue.Empty:
                pass
            else:
                if task is None:
                    return
                self._run_step(task)
            self._run_step(self._poll_due_requests)
            self._run_step(self._remove_expired)

    @staticmethod
    def _run_step(step: Callable[[], None]) -> None:
        try:
            step()
        except (OSError, KeyLockError) as error:
            logger.error("upgrade: key locks can't be written: {}", error)

    def _wait_s(self) -> float:
        """Return the seconds until the next poll or search is due."""
        if self._unchecked_paths:
            return 0.0
        due_s = min(self._polls[0][0], self._next_expiry_s) if self._polls else self._next_expiry_s
        return max(0.0, due_s - time.monotonic())

    def _acquire(self, request: KeyLockRequest) -> None:
        lock = KeyLock(request.expires_us, request.digest)
        try:
            existing = self.directory.create(request.key, lock, request.received_us)
        except KeyLockError as error:
            self._fail(request, error)
        except OSError as error:  # such as a full disk: the key is not locked, so it must not run
            logger.error("upgrade: a key can't be locked, its request is rejected: {}", error)
            request.on_decided(False)
        else:
            if existing is None:
                request.on_decided(True)
            else:
                self._on_locked_elsewhere(request, existing)

    def _on_locked_elsewhere(self, request: KeyLockRequest, lock: KeyLock) -> None:
        """Report the result of the run in another process, or wait for it."""
        if lock.digest != request.digest or self._now_us() >= request.due_us:  # another body, or overdue
            request.on_result_elsewhere(None)
        elif lock.state is RunState.RUNNING:
            self._last_sequence += 1
            due_s = time.monotonic() + POLL_INTERVAL_S
            heapq.heappush(self._polls, (due_s, self._last_sequence, request))
        else:
            request.on_result_elsewhere(lock.result)

    def _fail(self, request: KeyLockRequest, error: Exception) -> None:
        """Fail a request whose lock can't be read: it may have run already, and it must be answered."""
        logger.error("upgrade: a key lock can't be read, its request fails: {}", error)
        request.on_result_elsewhere(None)

    def _poll_due_requests(self) -> None:
        """Read the locks whose next poll is due."""
        now_s = time.monotonic()
        while self._polls and self._polls[0][0] <= now_s:
            self._poll_request(heapq.heappop(self._polls)[2])

    def _remove_expired(self) -> None:
        """Remove expired locks, a few files at a time, so that no task waits for a whole search."""
        now_s = time.monotonic()
        if not self._unchecked_paths and now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
            self._unchecked_paths = self.directory.paths()
        for _ in range(min(EXPIRY_FILES_PER_STEP, len(self._unchecked_paths))):
            self.directory.remove_if_expired(self._unchecked_paths.pop(), self._now_us() - RETENTION_US)

    def _poll_request(self, request: KeyLockRequest) -> None:
        try:
            lock = self.directory.read(request.key, request.received_us)
        except (OSError, KeyLockError) as error:
            self._fail(request, error)
            return
        if lock is None:  # the other process released it, so the key never ran
            self._acquire(request)
        else:
            self._on_locked_elsewhere(request, lock)
