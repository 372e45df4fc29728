"""Key locks that two processes share."""

import contextlib
import threading
import time
from collections.abc import Iterator
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import Any

import pytest
from core_harness import CoreHarness
from helpers import KEYED, SAFE, wait_until
from storage.faulty_directory import FaultyDirectory

from reelusher.core.deduplication import DIGEST_BYTES
from reelusher.core.messages import IdempotencyKey, KeyLockRequest, Result, RunFinished, Verdict
from reelusher.policy.events import Outcome
from reelusher.storage.key_log import KeyLog
from reelusher.upgrade import key_locks
from reelusher.upgrade.key_lock_directory import KeyLock
from reelusher.upgrade.key_locks import KeyLockFiles

KEY = IdempotencyKey("platform", "2", "k1")
SECOND_US = 1_000_000


class TwoProcesses:
    """The key locks of two processes in one folder, with a common clock."""

    def __init__(self, folder: Path) -> None:
        self.now_us = 100 * SECOND_US
        self.locks = [KeyLockFiles(folder, "n3", lambda: self.now_us) for _ in range(2)]
        for locks in self.locks:
            locks.start()

    def acquire(
        self, process_index: int, digest: str = "b", received_s: float = 0.0, due_s: float = 60.0
    ) -> list[Any]:
        """Request the lock in one of the two processes, and return the list that receives the outcome.

        The outcome is True if the key may run there, False if its request is rejected, and otherwise the
        result of the run in the other process, or None if the request fails.
        """
        outcomes: list[Any] = []
        self.locks[process_index].acquire(
            KeyLockRequest(
                KEY,
                self.now_us + int(received_s * 1e6),
                self.now_us + 20 * SECOND_US,
                self.now_us + int(due_s * 1e6),
                digest,
                outcomes.append,
                outcomes.append,
            )
        )
        return outcomes

    def close(self) -> None:
        for locks in self.locks:
            locks.close()


@pytest.fixture
def processes(tmp_path: Path) -> Any:
    two_processes = TwoProcesses(tmp_path)
    yield two_processes
    two_processes.close()


def test_one_process_runs_a_key_and_the_other_receives_its_result(processes: TwoProcesses) -> None:
    first = processes.acquire(0)
    assert receives(first, True)
    second = processes.acquire(1)
    assert not receives_anything(second)
    processes.locks[0].complete(KEY, Result(b"made", 201, (("a", "b"),)))
    assert receives(second, Result(b"made", 201, (("a", "b"),)))
    other_body = processes.acquire(1, digest="c")
    assert receives(other_body, None)  # another body must not receive the result


def receives(outcomes: list[Any], expected: Any) -> bool:
    return wait_until(lambda: outcomes == [expected])


def receives_anything(outcomes: list[Any]) -> bool:
    time.sleep(0.2)
    return bool(outcomes)


def test_key_whose_run_failed_or_never_ended_fails_in_the_other_process(processes: TwoProcesses) -> None:
    assert receives(processes.acquire(0), True)
    waiting = processes.acquire(1, due_s=3)
    assert not receives_anything(waiting)
    processes.now_us += 4 * SECOND_US  # past the due time; the other process may have run the key
    assert receives(waiting, None)
    processes.locks[0].complete(KEY, None)
    assert receives(processes.acquire(1), None)


def test_released_or_expired_lock_is_acquired_again(processes: TwoProcesses) -> None:
    assert receives(processes.acquire(0), True)
    waiting = processes.acquire(1)
    processes.locks[0].release(KEY)
    assert receives(waiting, True)
    processes.now_us += 21 * SECOND_US
    late_read = processes.acquire(0, received_s=-2.0)  # received before the lock expired, read afterwards
    assert not receives_anything(late_read)
    assert receives(processes.acquire(0), True)


@pytest.mark.parametrize("malformed", [b"", b"{", b"[]", b'{"until_us": "x"}'])
def test_malformed_lock_fails_its_key_and_no_other(processes: TwoProcesses, malformed: bytes) -> None:
    locks = processes.locks[0]
    locks.directory.path(KEY).write_bytes(malformed)
    assert receives(processes.acquire(0), None)  # the key may have run: it is neither run again nor rejected
    outcomes: list[Any] = []
    locks.acquire(
        KeyLockRequest(
            IdempotencyKey("platform", "2", "k2"),
            0,
            processes.now_us,
            processes.now_us,
            "b",
            outcomes.append,
            outcomes.append,
        )
    )
    assert receives(outcomes, True)


@pytest.mark.parametrize("malformed", [b"", b'{"until_us": 9000000000000000}'])
def test_lock_that_becomes_malformed_while_polled_fails_its_request(
    processes: TwoProcesses, malformed: bytes
) -> None:
    assert receives(processes.acquire(0), True)
    waiting = processes.acquire(1)
    assert not receives_anything(waiting)
    processes.locks[0].directory.path(KEY).write_bytes(malformed)
    assert receives(waiting, None)


def test_key_that_can_not_be_locked_is_rejected(
    processes: TwoProcesses, monkeypatch: pytest.MonkeyPatch
) -> None:
    def full_disk(key: IdempotencyKey, lock: KeyLock) -> None:
        raise OSError(28, "no space left")

    monkeypatch.setattr(processes.locks[0].directory, "write", full_disk)
    assert receives(processes.acquire(0), False)


def test_key_locked_by_two_processes_at_once_is_run_by_one(tmp_path: Path) -> None:
    for _ in range(20):
        processes = TwoProcesses(tmp_path)
        barrier = threading.Barrier(2)
        outcomes: list[list[Any]] = []

        def acquire_lock(
            process_index: int, processes: TwoProcesses, barrier: threading.Barrier, outcomes: list[list[Any]]
        ) -> None:
            barrier.wait()
            outcomes.append(processes.acquire(process_index, due_s=0.0))

        threads = [
            threading.Thread(target=acquire_lock, args=(process_index, processes, barrier, outcomes))
            for process_index in range(2)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert wait_until(partial(all, outcomes))
        assert sum(outcome == [True] for outcome in outcomes) == 1
        processes.locks[0].release(KEY)
        processes.close()
        assert wait_until(
            lambda: not [path for path in (tmp_path / "n3.keys").iterdir() if path.name != "lock"]
        )


def test_key_that_can_not_be_made_durable_is_unlocked_for_other_processes(processes: TwoProcesses) -> None:
    """Guard against a lock that stays: a retry elsewhere waited for the end of a run that never began."""
    harness, disk = CoreHarness(), FaultyDirectory()
    harness.core.deduplication.key_locks = processes.locks[0]
    harness.core.deduplication.key_log = log = KeyLog(disk)
    disk.fail_at = disk.steps  # the next write
    harness.process(harness.request("a", 2, KEY.key, tenant=KEY.tenant))
    assert wait_until(lambda: not log._pending.empty())
    log.close()
    log.run()
    harness.process(*harness.core.queued_messages())
    assert harness.verdicts("a") == [Verdict.REJECTED]
    assert receives(processes.acquire(1, digest=blake2b(b"", digest_size=DIGEST_BYTES).hexdigest()), True)


def test_lock_that_can_not_be_written_leaves_no_file(
    processes: TwoProcesses, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a file for each keyed request while the disk is full: none of them ever expired."""

    def full_disk(path: Path, text: str) -> int:
        path.write_bytes(text.encode()[:10])
        raise OSError(28, "no space left")

    monkeypatch.setattr(Path, "write_text", full_disk)
    assert receives(processes.acquire(0), False)
    assert processes.locks[0].directory.paths() == []


@contextlib.contextmanager
def never_idle(locks: KeyLockFiles) -> Iterator[None]:
    """Keep a task in the queue at all times, as frequent keyed requests do."""
    stop = threading.Event()

    def task() -> None:
        if not stop.is_set():
            locks._tasks.put(task)

    locks._tasks.put(task)
    locks._tasks.put(task)
    try:
        yield
    finally:
        stop.set()


def test_expired_locks_are_removed_while_keyed_requests_keep_coming(
    processes: TwoProcesses, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against files that grow without bound: locks expired only when the queue was empty."""
    monkeypatch.setattr(key_locks, "EXPIRY_INTERVAL_S", 0.1)
    locks = processes.locks[0]
    processes.locks[1].close()
    expired, valid = ([IdempotencyKey("platform", "2", f"{kind}{n}") for n in range(100)] for kind in "ev")
    for key in expired:
        locks.directory.write(key, KeyLock(processes.now_us, "b"))
    for key in valid:
        locks.directory.write(key, KeyLock(processes.now_us + 60 * SECOND_US, "b"))
    processes.now_us += 21 * SECOND_US
    with never_idle(locks):
        assert wait_until(lambda: not any(locks.directory.path(key).exists() for key in expired))
    assert all(locks.directory.path(key).exists() for key in valid)


def test_request_that_waits_for_another_process_is_answered_while_others_keep_coming(
    processes: TwoProcesses,
) -> None:
    """Guard against an answer at the deadline: waiting requests were polled only when the queue was empty."""
    assert receives(processes.acquire(0), True)
    waiting = processes.acquire(1)
    assert not receives_anything(waiting)
    with never_idle(processes.locks[1]):
        processes.locks[0].complete(KEY, Result(b"made"))
        assert receives(waiting, Result(b"made"))


OTHER_CLASSES = {  # the classes of the second process, where those of the first are a, b and VISITS
    "added": ("a", "new", "b", "visits"),
    "dropped": ("b", "visits"),
    "reordered": ("visits", "b", "a"),
}


def core_with_classes(class_names: tuple[str, ...], locks: KeyLockFiles) -> CoreHarness:
    """Return a core with these classes, of which only `visits` is keyed."""
    classes = [KEYED if name == "visits" else SAFE for name in class_names]
    harness = CoreHarness(classes, class_names)
    harness.core.deduplication.key_locks = locks
    return harness


def send_keyed(harness: CoreHarness, class_names: tuple[str, ...]) -> None:
    """Send a try of one key, and let its core process what its key locks decide."""
    harness.process(harness.request("try", class_names.index("visits"), "k"))
    assert wait_until(harness.core.has_queued_messages)
    harness.process(*harness.core.queued_messages())


@pytest.mark.parametrize("change", OTHER_CLASSES)
def test_key_is_locked_for_a_process_with_other_classes(processes: TwoProcesses, change: str) -> None:
    """Guard against two runs of one key: its lock was named by the index of its class in one process."""
    processes.now_us = CoreHarness().time
    first = core_with_classes(("a", "b", "visits"), processes.locks[0])
    send_keyed(first, ("a", "b", "visits"))
    assert ("start", "try") in first.backend.commands
    first.process(RunFinished("try", Outcome.OK, 1000, Result(b"made")))
    second = core_with_classes(OTHER_CLASSES[change], processes.locks[1])
    send_keyed(second, OTHER_CLASSES[change])
    assert second.backend.commands == []
    assert [answer.result for answer in second.answers["try"]] == [Result(b"made")]
