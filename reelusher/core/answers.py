"""Final answers: each attempt gets exactly one, unless its caller has disconnected."""

from reelusher.core.attempts import Attempt
from reelusher.core.context import CoreContext
from reelusher.core.messages import Answer, IncomingRequest, Result, Verdict


class Answers:
    """Sends the final answers to callers and counts them, on the event loop thread only."""

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
        """Give an attempt its final answer. A second answer violates an invariant and is not sent."""
        context = self._context
        if not context.counters.must(not attempt.answered, "one answer a request"):
            return
        context.attempts.mark_answered(attempt)
        context.counters.add("answers." + verdict.value)
        context.stats.request_answered(context.class_name_of(attempt), verdict)
        attempt.request.reply(self._build_answer(verdict, result, retry_after_us, no_retry))

    def give_untracked(self, request: IncomingRequest, verdict: Verdict) -> None:
        """Answer a request that does not become an attempt and is not reported to the controller."""
        context = self._context
        context.stats.request_answered(context.class_name(request.class_index), verdict)
        request.reply(self._build_answer(verdict))

    def drop(self, attempt: Attempt) -> None:
        """Record that the caller of an attempt has disconnected. The statistics count it as failed."""
        context = self._context
        context.attempts.mark_answered(attempt)
        context.stats.request_answered(context.class_name_of(attempt), Verdict.FAILED)

    def _build_answer(
        self, verdict: Verdict, result: Result | None = None, retry_after_us: int = 0, no_retry: bool = False
    ) -> Answer:
        return Answer(verdict, result, retry_after_us, no_retry, self._context.notices.advertised_capacity)
