"""Deduplication of retries by idempotency key.

The first attempt with a key is the original. Its run serves all retries, which stay attached to it until it
ends. Keys can be locked against other processes of the node and made durable before their runs start.
"""

from hashlib import blake2b

from reelusher.core.answers import Answers
from reelusher.core.attempts import Attempt, AttemptState
from reelusher.core.context import CoreContext
from reelusher.core.idempotency_table import IdempotencyEntry, IdempotencyTable
from reelusher.core.messages import (
    DurableKeyLog,
    IdempotencyKey,
    IncomingRequest,
    KeyLockRequest,
    KeyLocks,
    KeyPersisted,
    Result,
    RunFinished,
    Verdict,
)
from reelusher.policy.actions import AttachToOriginal, ForgetKey, RememberKey
from reelusher.policy.events import Outcome, RunEnded
from reelusher.policy.settings import Idempotency

DIGEST_BYTES = 16


class Deduplication:
    """Ensures that a request with an idempotency key runs at most once over all its attempts."""

    def __init__(self, context: CoreContext, answers: Answers, table: IdempotencyTable) -> None:
        self._context = context
        self._answers = answers
        self._table = table
        self.key_log: DurableKeyLog | None = None  # makes keys durable; None if not configured
        self.key_locks: KeyLocks | None = None  # locks keys against other processes of this node

    def key_of(self, request: IncomingRequest) -> IdempotencyKey | None:
        """Return the idempotency key of a request; None if it has none or its class does not use keys."""
        request_class = self._context.settings.classes[request.class_index]
        if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY or not request.idempotency_key:
            return None
        return self._table_key(request)

    def has_other_body(self, key: IdempotencyKey, request: IncomingRequest) -> bool:
        """Return whether the key was first used by a request with another body.

        A caller that knows the key but not the body must not receive the result of the original.
        """
        return self._table.has_other_body(key, request.received_us, _digest(request))

    def original_id_of(self, key: IdempotencyKey, request: IncomingRequest) -> int:
        """Return the id of the original attempt that a request retries, or 0 if there is none."""
        return self._table.original_id(key, request.received_us)

    def entry_of(self, attempt: Attempt) -> IdempotencyEntry | None:
        """Return the table entry whose original is this attempt; None if it is no original."""
        return self._table.entry_of(attempt.id)

    # Actions of the controller

    def remember_key(self, action: RememberKey) -> None:
        """Add the key of an attempt to the table, with this attempt as the original."""
        attempt = self._context.attempts.get(action.id)
        if attempt and attempt.request.idempotency_key:
            key, expires_us = self._table_key(attempt.request), self._context.now_us + action.ttl_us
            self._table.put(key, action.id, expires_us, _digest(attempt.request))

    def forget_key(self, action: ForgetKey) -> None:
        """Remove the key of an original that never ran; retries attached to it fail."""
        if self._table.entry_of(action.id):
            self.finish_attached(action.id)
            self._table.remove(action.id)

    def attach(self, action: AttachToOriginal) -> None:
        """Attach an attempt to its original, or answer it at once if the original has finished."""
        attempt = self._context.attempts.get(action.id)
        if attempt is None:
            return
        attempt.state = AttemptState.ATTACHED
        original_id = self._table.original_id(self._table_key(attempt.request), attempt.request.received_us)
        entry = self._table.entry_of(original_id)
        self._context.counters.add("keys.joined")
        if not self._context.counters.must(entry is not None, "a join has an original") or entry is None:
            self._finish_attached_attempt(attempt, None)
            return
        entry.attached.append(attempt.id)
        if entry.finished:
            self.finish_attached(original_id)

    # Attached retries

    def finish_attached(self, original_id: int) -> None:
        """Answer the attempts attached to an original with its result, or as failed if it has none."""
        entry = self._table.entry_of(original_id)
        if entry is None:
            return
        attached, entry.attached = entry.attached, []
        for attempt_id in attached:
            attempt = self._context.attempts.get(attempt_id)
            if attempt:
                self._finish_attached_attempt(attempt, entry.result)

    def _finish_attached_attempt(self, attempt: Attempt, result: Result | None) -> None:
        if not attempt.answered:
            self._answers.give(attempt, Verdict.SERVED if result else Verdict.FAILED, result)
        outcome = Outcome.OK if result else Outcome.ERROR
        self._context.pending_events.append(RunEnded(attempt.id, outcome, 0))
        self._context.attempts.remove(attempt)

    def has_waiting_retries(self, attempt: Attempt) -> bool:
        """Return whether retries that have no answer yet are attached to an attempt."""
        entry = self._table.entry_of(attempt.id)
        attached = () if entry is None else map(self._context.attempts.get, entry.attached)
        return any(retry is not None and not retry.answered for retry in attached)

    def original_of(self, retry: Attempt) -> Attempt | None:
        """Return the open original that a retry is attached to, if there is one."""
        if retry.state is not AttemptState.ATTACHED:
            return None
        original_id = self._table.original_id(self._table_key(retry.request), retry.request.received_us)
        return self._context.attempts.get(original_id)

    # Runs of originals

    def must_lock_or_persist_keys(self) -> bool:
        """Return whether a key must be locked or made durable before its run starts."""
        return self.key_locks is not None or self.key_log is not None

    def lock_and_persist(self, attempt: Attempt, entry: IdempotencyEntry) -> None:
        """Lock a key and make it durable before the run of its original starts.

        The outcome arrives as a message: `KeyPersisted`, or `RunFinished` if another process has locked the
        key or its lock can't be read, since the key may then have run.
        """
        attempt.awaiting_key = True
        unix_ahead_us = self._context.clock.unix_ahead_us()  # other processes and incarnations use Unix time
        if self.key_locks is None:
            self._persist(attempt.id, entry, unix_ahead_us)
        else:
            self.key_locks.acquire(self._lock_request(attempt, entry, unix_ahead_us))

    def _lock_request(self, attempt: Attempt, entry: IdempotencyEntry, unix_ahead_us: int) -> KeyLockRequest:
        context, attempt_id, request = self._context, attempt.id, attempt.request
        started_us = context.now_us

        def on_decided(locked: bool) -> None:
            context.counters.add("keys.locked" if locked else "keys.lock_failed")
            if locked:
                self._persist(attempt_id, entry, unix_ahead_us)
            else:
                context.post(KeyPersisted(attempt_id, False))

        def on_result_elsewhere(result: Result | None) -> None:
            context.counters.add("keys.locked_elsewhere")
            outcome = Outcome.ERROR if result is None else Outcome.OK
            duration_us = max(0, context.clock.now() - started_us)
            context.post(RunFinished(request.run_id, outcome, duration_us, result))

        return KeyLockRequest(
            entry.key,
            request.received_us + unix_ahead_us,
            entry.expires_us + unix_ahead_us,
            attempt.due_us + unix_ahead_us,
            entry.digest.hex(),
            on_decided,
            on_result_elsewhere,
        )

    def _persist(self, attempt_id: int, entry: IdempotencyEntry, unix_ahead_us: int) -> None:
        """Make a key durable if that is configured, and post `KeyPersisted`. Any thread may call this.

        If it can't be made durable, it never runs here, so its lock is released for other processes.
        """
        if self.key_log is None:
            self._context.post(KeyPersisted(attempt_id, True))
            return

        def on_persisted(succeeded: bool) -> None:
            if not succeeded and self.key_locks is not None:
                self.key_locks.release(entry.key)
            self._context.post(KeyPersisted(attempt_id, succeeded))

        self.key_log.persist(entry.key, entry.expires_us + unix_ahead_us, entry.digest, on_persisted)

    def withdraw_key(self, attempt: Attempt) -> None:
        """Withdraw a durable key whose run was never started."""
        entry = self.entry_of(attempt)
        if self.key_log is not None and entry is not None:
            self.key_log.forget(entry.key)

    def record_end(self, attempt: Attempt, message: RunFinished) -> None:
        """Store the result of an original and publish it to other processes, before the answer is given.

        If the key never ran, its lock is released instead.
        """
        entry = self.entry_of(attempt)
        if entry is None:
            return
        if self.key_locks is not None and not attempt.awaiting_key:  # this process holds the lock
            self._unlock(self.key_locks, entry, message)
        dropped = self._table.store_result(entry, message.result)
        if dropped:
            self._context.counters.add("keys.results_dropped", dropped)

    def _unlock(self, key_locks: KeyLocks, entry: IdempotencyEntry, message: RunFinished) -> None:
        if message.outcome is Outcome.NOT_STARTED:
            key_locks.release(entry.key)
        else:
            key_locks.complete(entry.key, message.result)

    def finish_original(self, attempt: Attempt, outcome: Outcome) -> None:
        """Answer the retries of an original that has ended, and remove its key if it never ran."""
        if self.entry_of(attempt) is None:
            return
        self.finish_attached(attempt.id)
        if outcome is Outcome.NOT_STARTED:
            self._table.remove(attempt.id)

    def _table_key(self, request: IncomingRequest) -> IdempotencyKey:
        class_name = self._context.class_name(request.class_index)
        return IdempotencyKey(request.tenant, class_name, request.idempotency_key)


def _digest(request: IncomingRequest) -> bytes:
    """Return a digest of the body. It need not cover the class, which is part of the key."""
    return blake2b(request.body, digest_size=DIGEST_BYTES).digest()
