"""The life cycle of a request: arrival, run, answer, and early ends by a disconnect, drain or deadline."""

from collections.abc import Callable

from reelusher.core.answers import Answers
from reelusher.core.attempts import Attempt, AttemptState
from reelusher.core.context import CoreContext
from reelusher.core.deadline_guard import DeadlineGuard
from reelusher.core.deduplication import Deduplication
from reelusher.core.dependency_calls import DependencyCalls
from reelusher.core.idempotency_table import IdempotencyEntry
from reelusher.core.messages import (
    CallersDisconnected,
    DrainRequested,
    IdempotencyKey,
    IncomingRequest,
    KeyPersisted,
    RequestArrived,
    RunFinished,
    Runner,
    RunsLost,
    Verdict,
)
from reelusher.policy.actions import FailRequest, Preempt, Reject, Run
from reelusher.policy.events import ClientDisconnected, Drain, Outcome, Request, RunEnded
from reelusher.policy.settings import Idempotency


class RequestLifecycle:
    """Moves attempts from arrival to answer, driven by actions of the controller and reports of the runners.

    All methods must be called on the event loop thread.
    """

    def __init__(
        self,
        context: CoreContext,
        answers: Answers,
        deduplication: Deduplication,
        calls: DependencyCalls,
        default_runner: Runner,
        flush: Callable[[], None],
    ) -> None:
        """Initialize without open requests.

        `default_runner` runs the requests of tenants without a runner of their own. `flush` passes the
        pending events to the controller at once.
        """
        self._context = context
        self._answers = answers
        self._deduplication = deduplication
        self._calls = calls
        self._default_runner = default_runner
        self._flush = flush
        self._guard = DeadlineGuard(context, self._on_overdue)
        # keys of the requests whose arrival the controller has not processed yet
        self._pending_keys: set[IdempotencyKey] = set()
        # end of the grace period of a drain: requests that reach the machine later are not run
        self._grace_end_us: int | None = None
        self.runners: dict[str, Runner] = {}  # by name of the tenant, for tenants that have their own runner
        self.stop_us: int | None = None  # when the process will be stopped; None until it drains
        # returns whether the tenant with this number may send requests; None admits all tenants
        self.admits_tenant: Callable[[int], bool] | None = None
        self.last_success_s: dict[str, float] = {}  # Unix time of the last successful run, by class name

    def runner_of(self, tenant: str) -> Runner:
        """Return the runner that executes the requests of a tenant."""
        return self.runners.get(tenant, self._default_runner)

    # Arrivals

    def on_request_arrived(self, message: RequestArrived) -> None:
        """Pass a request to the controller, or answer it at once if it must not become an attempt."""
        request, context = message.request, self._context
        context.counters.add("requests.read")
        context.stats.request_read()
        verdict = self._early_verdict(request)
        if verdict is not None:
            self._answers.give_untracked(request, verdict)
            return
        key = self._deduplication.key_of(request)
        if key is not None:
            self._flush_earlier_attempts(key)
            if self._deduplication.has_other_body(key, request):
                context.counters.warn(
                    "requests.key_taken",
                    "request failed: its idempotency key was used with another body: {}",
                    request.run_id,
                )
                self._answers.give_untracked(request, Verdict.FAILED)
                return
        self._add_attempt(request, self._deduplication.original_id_of(key, request) if key is not None else 0)

    def _early_verdict(self, request: IncomingRequest) -> Verdict | None:
        """Return the verdict on a request that must not become an attempt; None if it may become one."""
        context = self._context
        if context.attempts.by_run_id(request.run_id):  # two runs with the same id can't be told apart
            context.counters.warn(
                "requests.name_taken", "request failed: run id {} is in use already", request.run_id
            )
            return Verdict.FAILED
        if not self._admits_tenant_of(request):  # suspended or removed after the front end checked it
            context.counters.add("requests.tenant_gone")
            return Verdict.REJECTED
        return None

    def _admits_tenant_of(self, request: IncomingRequest) -> bool:
        if self.admits_tenant is None or not request.tenant_number:
            return True
        return self.admits_tenant(request.tenant_number)

    def _flush_earlier_attempts(self, key: IdempotencyKey) -> None:
        """Let the controller first decide on an attempt with the same key that arrived in the same batch."""
        if key in self._pending_keys:
            self._flush()
        self._pending_keys.add(key)

    def clear_pending_keys(self) -> None:
        """Forget the keys of pending requests; called when their events are passed to the controller."""
        self._pending_keys.clear()

    def _add_attempt(self, request: IncomingRequest, original_id: int) -> None:
        context = self._context
        deadline_us = context.settings.classes[request.class_index].deadline_us
        due_us = max(context.now_us, request.received_us + deadline_us)
        attempt = context.attempts.add(request, self.runner_of(request.tenant), due_us)
        self._guard.watch(attempt, self.stop_us)
        context.pending_events.append(
            Request(
                attempt.id,
                request.class_index,
                request.caller,
                request.subject,
                request.tenant_number,
                request.held_kb,
                request.expected_work_us,
                0,
                max(0, context.now_us - request.received_us),
                original_id,
            )
        )

    def on_callers_disconnected(self, message: CallersDisconnected) -> None:
        """Drop the answers to attempts whose callers have disconnected."""
        for request in message.requests:
            attempt = self._context.attempts.of_request(request)
            if attempt and not attempt.answered:
                self._context.counters.add("answers.undeliverable")
                attempt.abandoned = True
                original = self._deduplication.original_of(attempt)
                self._drop_unless_awaited(attempt)
                if original is not None:
                    self._drop_unless_awaited(original)

    def _drop_unless_awaited(self, attempt: Attempt) -> None:
        """Drop an abandoned attempt, unless retries of other callers wait for its run."""
        if (
            attempt.abandoned
            and not attempt.answered
            and not self._deduplication.has_waiting_retries(attempt)
        ):
            self._answers.drop(attempt)
            self._report_disconnected(attempt)

    # Runs

    def run(self, action: Run) -> None:
        """Start or resume the run of an attempt."""
        attempt = self._context.attempts.get(action.id)
        if attempt is None:
            return
        if attempt.state is AttemptState.PREEMPTED:
            attempt.state = AttemptState.RUNNING
            attempt.runner.resume(attempt.request.run_id)
            return
        if attempt.answered or attempt.state is not AttemptState.HELD:
            return
        entry = self._deduplication.entry_of(attempt)
        if not self._may_start(attempt, entry):
            return
        attempt.state, attempt.started = AttemptState.RUNNING, True
        if entry is not None and self._deduplication.must_lock_or_persist_keys():
            self._deduplication.lock_and_persist(attempt, entry)
        else:
            self._start_run(attempt)

    def _may_start(self, attempt: Attempt, entry: IdempotencyEntry | None) -> bool:
        """Check the invariants that must hold before a run starts, and return whether they do.

        An attempt with an idempotency key must be the original of its table entry, and a draining node must
        not run a request that was received after the grace period.
        """
        request, counters = attempt.request, self._context.counters
        request_class = self._context.settings.classes[request.class_index]
        keyed = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and request.idempotency_key
        if not counters.must(
            not keyed or entry is not None, "a keyed try runs only while it holds its entry"
        ):
            return False
        in_time = self._grace_end_us is None or request.received_us <= self._grace_end_us
        return counters.must(in_time, "a drain runs nothing that came after the grace")

    def _start_run(self, attempt: Attempt) -> None:
        self._context.counters.add("runs.started")
        self._context.stats.run_started()
        attempt.runner.start(attempt.request, self._context.class_name_of(attempt))

    def on_key_persisted(self, message: KeyPersisted) -> None:
        """Start a run whose key is locked and durable.

        If that failed, or if the attempt has been answered meanwhile, the run never starts.
        """
        attempt = self._context.attempts.get(message.attempt_id)
        if attempt is None or not attempt.awaiting_key:
            return
        # after a failure this process holds no lock: awaiting_key stays set, so that none is released
        attempt.awaiting_key = not message.succeeded
        if message.succeeded and not attempt.answered:
            self._start_run(attempt)
            return
        if message.succeeded:
            self._deduplication.withdraw_key(attempt)
        self.on_run_finished(RunFinished(attempt.request.run_id, Outcome.NOT_STARTED))

    def preempt(self, action: Preempt) -> None:
        """Stop a run; it may be resumed later unless its attempt has been answered."""
        attempt = self._context.attempts.get(action.id)
        if attempt and attempt.state is AttemptState.RUNNING and not attempt.awaiting_key:
            if not attempt.answered:
                attempt.state = AttemptState.PREEMPTED
            attempt.runner.stop(attempt.request.run_id)

    def on_run_finished(self, message: RunFinished) -> None:
        """Answer an attempt whose run has ended, and all retries attached to it."""
        context = self._context
        attempt = context.attempts.by_run_id(message.run_id)
        if attempt is None or not attempt.started:
            context.counters.add("runs.unknown_end")
            return
        self._calls.cancel(attempt)
        self._deduplication.record_end(attempt, message)
        if message.outcome is Outcome.OK and not attempt.awaiting_key:
            self.last_success_s[context.class_name_of(attempt)] = context.now_us / 1e6
        if not attempt.answered:
            self._answer_finished(attempt, message)
        context.counters.add("runs." + message.outcome.value)
        context.pending_events.append(RunEnded(attempt.id, message.outcome, message.duration_us))
        context.attempts.remove(attempt)
        self._deduplication.finish_original(attempt, message.outcome)

    def _answer_finished(self, attempt: Attempt, message: RunFinished) -> None:
        if message.outcome is Outcome.OK and message.result is not None:
            self._answers.give(attempt, Verdict.SERVED, message.result)
        elif message.outcome is Outcome.NOT_STARTED:
            self._answers.give(attempt, Verdict.REJECTED)
        else:
            self._answers.give(attempt, Verdict.FAILED)

    def on_runs_lost(self, message: RunsLost) -> None:
        """End the runs of a restarted runner as failed, since their ends will never be reported."""
        for attempt in self._context.attempts:
            if attempt.runner is message.runner and attempt.started and not attempt.awaiting_key:
                self.on_run_finished(RunFinished(attempt.request.run_id, Outcome.ERROR))

    # Answers without a result

    def reject(self, action: Reject) -> None:
        """Reject an attempt that never ran."""
        attempt = self._context.attempts.get(action.id)
        if attempt is None or attempt.answered:
            return
        if self._context.counters.must(not attempt.started, "a try that ran is not turned away"):
            self._answers.give(attempt, Verdict.REJECTED, None, action.retry_after_us, action.no_retry)
        else:
            self._answers.give(attempt, Verdict.FAILED)
        self._release(attempt)

    def fail(self, action: FailRequest) -> None:
        """Answer an attempt as failed, if it has no answer yet; its run may still be in progress."""
        attempt = self._context.attempts.get(action.id)
        if attempt and not attempt.answered:
            self._answers.give(attempt, Verdict.FAILED)
            self._release(attempt)

    def end_tenant_requests(self, tenant_number: int) -> None:
        """Answer all open requests of a tenant now.

        Runs continue to their end and their keys are kept, so that a retry does not run again.
        """
        for attempt in self._context.attempts:
            if attempt.request.tenant_number == tenant_number and not attempt.answered:
                never_ran = not attempt.started and attempt.state is AttemptState.HELD
                self._answer_early(attempt, Verdict.REJECTED if never_ran else Verdict.FAILED)
        self._flush()

    def on_drain(self, message: DrainRequested) -> None:
        """Start to drain: every open request becomes due before the stop.

        A repeated drain request can only move the stop to an earlier time.
        """
        context = self._context
        if self.stop_us is not None and message.stop_us >= self.stop_us:
            return
        if self._grace_end_us is None:
            self._grace_end_us = message.requested_us + context.settings.drain_grace_us
        self.stop_us, context.notices.draining = message.stop_us, True
        for attempt in context.attempts:
            self._guard.watch(attempt, self.stop_us)
        time_left_us = max(0, message.stop_us - context.now_us)
        elapsed_us = max(0, context.now_us - message.requested_us)
        context.pending_events.append(Drain(time_left_us, elapsed_us))

    def _on_overdue(self, attempt: Attempt) -> None:
        """Answer an attempt as failed that the controller has not answered in time."""
        self._context.counters.warn(
            "answers.by_guard",
            "request {} was due with no answer: answered as failed",
            attempt.request.run_id,
        )
        self._answer_early(attempt, Verdict.FAILED)

    def _answer_early(self, attempt: Attempt, verdict: Verdict) -> None:
        """Answer an attempt without a decision of the controller, and notify the controller afterwards."""
        self._answers.give(attempt, verdict)
        self._report_disconnected(attempt)

    def _report_disconnected(self, attempt: Attempt) -> None:
        """Report to the controller that no caller waits for an attempt any more."""
        self._context.pending_events.append(ClientDisconnected(attempt.id))
        self._release(attempt)

    def _release(self, attempt: Attempt) -> None:
        """Remove an answered attempt, or cancel its current call if its run has started.

        An attempt whose run has started is removed when the run ends.
        """
        if not attempt.started:
            self._context.attempts.remove(attempt)
            self._deduplication.finish_attached(attempt.id)
        elif attempt.state is AttemptState.CALLING:
            self._calls.cancel(attempt)
            attempt.state = AttemptState.AWAITING_CALL
