"""Calls from runs to the dependency, the downstream service, from the request of a call to its end."""

from functools import partial

from reelusher.core.attempts import Attempt, AttemptState
from reelusher.core.context import CoreContext
from reelusher.core.messages import CallFinished, CallReply, CallRequested, Dependency
from reelusher.policy.actions import Call, SkipCall
from reelusher.policy.events import CallEnded, CallNeeded, Outcome

# a call is abandoned if its end has not been reported this long after its timeout
CALL_END_MARGIN_US = 60_000


class DependencyCalls:
    """Makes or skips calls as the controller decides, and reports the ends of calls to it.

    All methods must be called on the event loop thread.
    """

    def __init__(self, context: CoreContext, dependency: Dependency | None) -> None:
        """Initialize without calls. If `dependency` is None, each call ends as unreachable."""
        self._context = context
        self._dependency = dependency
        self._last_ticket = 0
        self.last_success_s: float | None = None  # Unix time of the last successful call

    def on_call_requested(self, message: CallRequested) -> None:
        """Let the controller decide on the call that a run waits for."""
        context = self._context
        attempt = context.attempts.by_run_id(message.run_id)
        if attempt is None or not attempt.started:
            context.counters.add("runs.unknown_call")
            return
        self.cancel(attempt)
        attempt.state = AttemptState.AWAITING_CALL
        attempt.call_body, attempt.call_serial = message.body, message.serial
        context.pending_events.append(CallNeeded(attempt.id))

    def on_call_finished(self, message: CallFinished) -> None:
        """Deliver the reply to the run, if there is one, and report the end of the call to the controller."""
        context = self._context
        attempt = context.attempts.by_run_id(message.run_id)
        if attempt is None or not attempt.is_calling(message.ticket):
            context.counters.add("calls.late_reply")
            return
        context.counters.add("calls." + message.outcome.value)
        if message.outcome is Outcome.OK:
            self.last_success_s = context.now_us / 1e6
            reply = CallReply(attempt.call_serial, message.body, self._is_optional(attempt))
            attempt.runner.deliver_reply(message.run_id, reply)
            attempt.state = AttemptState.RUNNING
        else:
            attempt.state = AttemptState.AWAITING_CALL
        duration_us = max(0, context.now_us - attempt.call_started_us)
        context.pending_events.append(CallEnded(attempt.id, message.outcome, duration_us))

    def _is_optional(self, attempt: Attempt) -> bool:
        request_class = self._context.settings.classes[attempt.request.class_index]
        return request_class.degraded_value_fraction > 0

    def make(self, action: Call) -> None:
        """Make the call that a run waits for."""
        context = self._context
        attempt = context.attempts.get(action.id)
        if attempt is None or attempt.state is not AttemptState.AWAITING_CALL or attempt.answered:
            return
        self._last_ticket += 1
        ticket = attempt.call_ticket = self._last_ticket
        attempt.state, attempt.call_started_us = AttemptState.CALLING, context.now_us
        run_id = attempt.request.run_id
        if self._dependency is None:
            context.post(CallFinished(run_id, ticket, Outcome.UNREACHABLE))
            return
        self._dependency.call(run_id, ticket, action.until_us, attempt.call_body)
        context.timers.call_at(
            action.until_us + CALL_END_MARGIN_US, partial(self._on_overdue, action.id, ticket)
        )

    def skip(self, action: SkipCall) -> None:
        """Let a run continue without its call."""
        attempt = self._context.attempts.get(action.id)
        if attempt and attempt.state is AttemptState.AWAITING_CALL:
            attempt.state = AttemptState.RUNNING
            self._context.counters.add("calls.skipped")
            attempt.runner.skip_call(attempt.request.run_id, attempt.call_serial)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the call of an attempt, if one is being made."""
        if attempt.state is AttemptState.CALLING and self._dependency is not None:
            self._dependency.cancel(attempt.request.run_id, attempt.call_ticket)

    def _on_overdue(self, attempt_id: int, ticket: int) -> None:
        """Abandon a call whose end has not been reported in time."""
        context = self._context
        attempt = context.attempts.get(attempt_id)
        if attempt is None or not attempt.is_calling(ticket):
            return
        context.counters.add("calls.given_up")
        self.cancel(attempt)
        attempt.state = AttemptState.AWAITING_CALL
        duration_us = context.now_us - attempt.call_started_us
        context.pending_events.append(CallEnded(attempt.id, Outcome.TIMEOUT, duration_us))
