"""Answers: each request gets exactly one, unless its caller has disconnected."""

from reelusher.core.attempts import Attempt
from reelusher.core.context import CoreContext
from reelusher.core.messages import Answer, IncomingRequest, Result, Verdict


class Answers:
    """Gives the final answers of the node and counts them."""

    def __init__(self, context: CoreContext) -> None:
        self._context = context

    def give(
        self,
        attempt: Attempt,
        verdict: Verdict,
        result: Result | None = None,
        retry_after_us: int = 0,
        no_retry: bool = False,
    ) -> None:
        """Give the one final answer to an attempt."""
        context = self._context
        if not context.counters.must(not attempt.answered, "one answer a request"):
            return
        context.attempts.mark_answered(attempt)
        context.counters.add("answers." + verdict.value)
        context.stats.request_answered(context.class_name_of(attempt), verdict)
        attempt.request.reply(self._build_answer(verdict, result, retry_after_us, no_retry))

    def give_untracked(self, request: IncomingRequest, verdict: Verdict) -> None:
        """Answer a request that never became an attempt, so that the controller does not see it."""
        context = self._context
        context.stats.request_answered(context.class_name(request.class_index), verdict)
        request.reply(self._build_answer(verdict))

    def drop(self, attempt: Attempt) -> None:
        """Record that an attempt needs no answer any more: its caller has disconnected."""
        context = self._context
        context.attempts.mark_answered(attempt)
        context.stats.request_answered(context.class_name_of(attempt), Verdict.FAILED)

    def _build_answer(
        self, verdict: Verdict, result: Result | None = None, retry_after_us: int = 0, no_retry: bool = False
    ) -> Answer:
        return Answer(verdict, result, retry_after_us, no_retry, self._context.notices.advertised_capacity)
