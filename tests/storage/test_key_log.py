"""Durable idempotency keys: runs start only after their keys are on the disk."""

import random

import pytest
from core_harness import CoreHarness
from helpers import KEYED, SAFE

from reelusher.core.messages import IdempotencyKey, KeyPersisted, Verdict
from reelusher.storage import frames, journal
from reelusher.storage.key_log import KeyLog
from storage.faulty_directory import FaultyDirectory


def core_with(log: KeyLog, class_names: tuple[str, ...] = ("a", "b", "visits")) -> CoreHarness:
    """Return a core with durable keys, restored from a log; only requests of `visits` are keyed."""
    harness = CoreHarness([KEYED if name == "visits" else SAFE for name in class_names], class_names)
    for number, record in enumerate(log.unexpired()):
        harness.core.keys.restore(
            record.idempotency_key, (1 << 40) + number, record.expires_us, bytes.fromhex(record.body_digest)
        )
    harness.core.deduplication.key_log = log
    return harness


def test_keyed_run_starts_after_its_key_is_durable_and_not_again_after_a_restart() -> None:
    now_us = [CoreHarness().time]
    disk = FaultyDirectory()
    log = KeyLog(disk, lambda: now_us[0])
    harness = core_with(log)
    harness.process(harness.request("a", 2, "k"), harness.request("b", 2, "other"))
    assert not [command for command in harness.backend.commands if command[0] == "start"]
    log.close()
    log.run()  # writes the pending keys, in place of the thread
    harness.core.process_batch(list(harness.core.next_batch()))  # type: ignore[arg-type]
    assert {command[1] for command in harness.backend.commands if command[0] == "start"} == {"a", "b"}
    # the process crashes during the runs and restarts
    restarted = core_with(KeyLog(disk.restart(random.Random(1)), lambda: now_us[0]))
    restarted.process(restarted.request("c", 2, "k"), restarted.request("d", 2, "new"))
    restarted.process(later_us=100_000)
    assert restarted.verdicts("c") == [Verdict.FAILED]
    assert not restarted.verdicts("d")
    assert not [command for command in restarted.backend.commands if command[0] == "start"]
    now_us[0] += 40_000_000
    assert KeyLog(disk.restart(random.Random(1)), lambda: now_us[0]).unexpired() == []


@pytest.mark.parametrize("succeeded", [True, False])
def test_keyed_request_answered_before_its_key_is_durable_never_ran(succeeded: bool) -> None:
    harness = core_with(KeyLog(FaultyDirectory(), lambda: 0))
    harness.process(harness.request("a", 2, "k"))
    if succeeded:
        harness.process(later_us=9_000_000)  # past its due time
    attempt_id = next(iter(harness.core.attempts)).id
    harness.process(KeyPersisted(attempt_id, succeeded))
    assert len(harness.verdicts("a")) == 1
    assert not [command for command in harness.backend.commands if command[0] == "start"]
    assert not succeeded or harness.verdicts("a") == [Verdict.FAILED]
    assert succeeded or harness.verdicts("a") == [Verdict.REJECTED]
    assert len(harness.core.attempts) == 0
    assert len(harness.core.keys) == 0


def test_key_log_goes_on_after_a_snapshot_that_can_not_be_encoded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against the end of the log's thread: later keyed requests waited for their deadline."""
    monkeypatch.setattr(journal, "COMPACT_AFTER_BYTES", 1)
    log, results = KeyLog(FaultyDirectory(), lambda: 0), list[bool]()
    for number in range(3):
        log.persist(IdempotencyKey("t", "visits", f"k{number}"), 1_000_000, b"digest", results.append)
        log.close()
        monkeypatch.setattr(frames, "MAX_PAYLOAD_BYTES", 100)  # one key, and no snapshot of several
        log.run()
    assert results == [True, True, True]


@pytest.mark.parametrize("class_names", [("a", "new", "b", "visits"), ("b", "visits"), ("visits", "b", "a")])
def test_durable_key_is_found_after_a_restart_with_other_classes(class_names: tuple[str, ...]) -> None:
    """Guard against a second run after a restart: a key was stored with the index that its class had then."""
    now_us, disk = CoreHarness().time, FaultyDirectory()
    log = KeyLog(disk, lambda: now_us)
    harness = core_with(log)
    harness.process(harness.request("first", 2, "k"))
    log.close()
    log.run()
    harness.process(*harness.core.queued_messages())
    assert [command[:2] for command in harness.backend.commands] == [("start", "first")]
    restarted = core_with(KeyLog(disk.restart(random.Random(1)), lambda: now_us), class_names)
    restarted.process(restarted.request("retry", class_names.index("visits"), "k"))
    restarted.process(later_us=100_000)
    assert restarted.verdicts("retry") == [Verdict.FAILED]
    assert restarted.backend.commands == []
