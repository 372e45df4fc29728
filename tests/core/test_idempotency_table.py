"""The table of idempotency keys."""

from reelusher.core.idempotency_table import IdempotencyTable
from reelusher.core.messages import IdempotencyKey, Result


def test_entry_names_the_original_by_arrival_time_however_late_a_retry_is_read() -> None:
    table = IdempotencyTable(retention_us=100)
    key = IdempotencyKey("t", "visits", "k")
    table.put(key, 7, expires_us=50)
    assert table.original_id(key, 50) == 7
    assert table.original_id(key, 51) == 0
    table.remove_expired(140, lambda original_id: False)
    # a retry that was received before the entry expired, and is read long after that
    assert table.original_id(key, 40) == 7
    table.remove_expired(151, lambda original_id: True)
    assert len(table) == 1  # the original is still open
    table.remove_expired(151, lambda original_id: False)
    assert len(table) == 0
    assert table.original_id(key, 40) == 0


def test_newer_original_takes_a_key_over_and_keeps_it_when_the_older_is_removed() -> None:
    table = IdempotencyTable(retention_us=0)
    key = IdempotencyKey("t", "visits", "k")
    table.put(key, 1, 10)
    table.put(key, 2, 90)
    table.remove(1)
    assert table.original_id(key, 50) == 2


def test_stored_results_stay_within_their_memory_and_the_oldest_are_dropped_first() -> None:
    table = IdempotencyTable(retention_us=0, max_result_bytes=25)
    for original_id in (1, 2, 3):
        table.put(IdempotencyKey("t", "visits", str(original_id)), original_id, 99)
    dropped = [table.store_result(entry, Result(b"x" * 10)) for entry in list(table)]
    assert dropped == [0, 0, 1]
    assert [entry.result is None for entry in table] == [True, False, False]
    assert all(entry.finished for entry in table)
