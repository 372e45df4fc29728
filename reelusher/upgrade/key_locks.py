"""Keys that a process of this node has claimed, as files, so that no other process runs them too.

A key is claimed before its run begins, under a lock that all processes of the node share, and its file says
what the run came to. Another process that is asked for the same key finds the claim, waits for its end, and
serves what it came to; where that stays out, the request fails, since it may have run. The owner is never
held up: all of this is done by a thread of its own.
"""

import base64
import contextlib
import fcntl
import heapq
import json
import os
import queue
import time
from collections.abc import Callable, Iterator
from hashlib import blake2b
from pathlib import Path
from typing import Any

from loguru import logger

from reelusher.core.messages import IdempotencyKey, KeyLockRequest, Result
from reelusher.net.threads import start_thread
from reelusher.upgrade.process_registry import safe

LOOK_S = 0.05  # between looks at a claim of another process whose run is not over
SWEEP_S = 5.0  # between looks for claims whose window is over
TAIL_US = 20_000_000  # a claim stays so long after its window: a try may be read that much after it came
RUNS, WELL, FAILED = "runs", "ok", "failed"


class KeyLockFiles:
    """The claims of all processes of a node. What is asked of it never blocks."""

    def __init__(
        self, folder: Path, name: str, now_us: Callable[[], int] = lambda: time.time_ns() // 1000
    ) -> None:
        """Raises OSError where the folder does not allow it."""
        self._now_us = now_us
        self._folder = folder / f"{safe(name)}.keys"
        self._folder.mkdir(mode=0o700, exist_ok=True)
        self._lock = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self._asked: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._waiting: list[
            tuple[float, int, KeyLockRequest]
        ] = []  # claims of others, by when they are looked at
        self._order = 0
        self._swept_s = time.monotonic()

    # Called by the owner

    def acquire(self, claim: KeyLockRequest) -> None:
        """Claim a key; see `KeyLockRequest`."""
        self._asked.put(lambda: self._claim(claim))

    def complete(self, key: IdempotencyKey, result: Result | None) -> None:
        """Say what the run of a claimed key came to."""
        self._asked.put(lambda: self._end(key, result))

    def release(self, key: IdempotencyKey) -> None:
        """Take a claim back: it never ran."""
        self._asked.put(lambda: self._path(key).unlink(missing_ok=True))

    def start(self) -> None:
        """Start the thread."""
        start_thread("claims", self._work)

    def close(self) -> None:
        """Let the thread end after what it was asked by now."""
        self._asked.put(None)

    # The thread

    def _work(self) -> None:
        while True:
            wait_s = self._waiting[0][0] - time.monotonic() if self._waiting else SWEEP_S
            try:
                work = self._asked.get(timeout=max(0.0, wait_s))
            except queue.Empty:
                work = self._look
            if work is None:
                return
            try:
                work()
            except (OSError, ValueError, KeyError) as error:
                logger.error("upgrade: claims of keys can't be written: {}", error)

    def _path(self, key: IdempotencyKey) -> Path:
        name = json.dumps(key).encode()
        return self._folder / blake2b(name, digest_size=16).hexdigest()

    @staticmethod
    def _read(path: Path, at_us: int) -> dict[str, Any] | None:
        """Return a claim whose window was not over at a time; ValueError where it is none."""
        try:
            made: dict[str, Any] = json.loads(path.read_bytes())
        except FileNotFoundError:
            return None
        if not isinstance(made, dict) or not isinstance(made.get("until_us"), int):
            raise ValueError(f"{path.name} is no claim")
        return made if made["until_us"] >= at_us else None

    @contextlib.contextmanager
    def _alone(self) -> Iterator[None]:
        """Keep other processes out; held for as long as a file takes, and no longer."""
        fcntl.flock(self._lock, fcntl.LOCK_EX)
        try:
            yield
        finally:
            fcntl.flock(self._lock, fcntl.LOCK_UN)

    @staticmethod
    def _write(path: Path, value: dict[str, Any]) -> None:
        """Write a claim whole or not at all: another process may read it at any moment."""
        fresh = path.with_suffix(f".{os.getpid()}")
        fresh.write_text(json.dumps(value, separators=(",", ":")))
        fresh.rename(path)

    def _claim(self, claim: KeyLockRequest) -> None:
        path, found = self._path(claim.key), None
        try:
            with self._alone():
                try:
                    found = self._read(path, claim.received_us)
                except (OSError, ValueError):
                    found = {}  # something is there: it may have been run
                if found is None:
                    self._write(path, {"until_us": claim.expires_us, "digest": claim.digest, "state": RUNS})
        except OSError as error:  # a full disk, say: nothing was claimed, so nothing is run
            logger.error("upgrade: a key can't be claimed, its request is turned away: {}", error)
            claim.on_decided(False)
            return
        if found is None:
            claim.on_decided(True)
        else:
            self._found(claim, found)

    def _found(self, claim: KeyLockRequest, found: dict[str, Any]) -> None:
        """Say what a claim of another process came to, or wait for its end.

        Whatever is wrong with it, the try gets its end: one that got none would hold its place for good.
        """
        try:
            self._tell(claim, found)
        except (ValueError, KeyError, TypeError) as error:
            logger.error("upgrade: a claim can't be read, its request fails: {}", error)
            claim.on_result_elsewhere(None)

    def _tell(self, claim: KeyLockRequest, found: dict[str, Any]) -> None:
        if found["digest"] != claim.digest or self._now_us() >= claim.due_us:  # another body, or too late
            claim.on_result_elsewhere(None)
        elif found["state"] != RUNS:
            body = found.get("body")
            claim.on_result_elsewhere(
                None
                if body is None
                else Result(base64.b64decode(body), found["status"], tuple(map(tuple, found["headers"])))
            )
        else:
            self._order += 1
            heapq.heappush(self._waiting, (time.monotonic() + LOOK_S, self._order, claim))

    def _look(self) -> None:
        """Look at claims that others run, and now and then for those that are over."""
        now = time.monotonic()
        while self._waiting and self._waiting[0][0] <= now:
            claim = heapq.heappop(self._waiting)[2]
            try:
                found = self._read(self._path(claim.key), claim.received_us)
            except (OSError, ValueError):
                found = {}
            if found is None:  # taken back there: it never ran
                self._claim(claim)
            else:
                self._found(claim, found)
        if now - self._swept_s >= SWEEP_S:
            self._swept_s = now
            self._sweep()

    def _sweep(self) -> None:
        old_us = self._now_us() - TAIL_US
        for path in self._folder.iterdir():
            if path.name != "lock":
                with contextlib.suppress(OSError, ValueError, KeyError), self._alone():
                    if self._read(path, old_us) is None:
                        path.unlink(missing_ok=True)

    def _end(self, key: IdempotencyKey, result: Result | None) -> None:
        path = self._path(key)
        found = self._read(path, 0)
        if found is None or found["state"] != RUNS:
            return
        if result is None:
            self._write(path, found | {"state": FAILED})
        else:
            body = base64.b64encode(result.body).decode()
            self._write(
                path,
                found
                | {"state": WELL, "body": body, "status": result.status, "headers": list(result.headers)},
            )
