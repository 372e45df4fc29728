"""Translates messages of the platform's callers to requests for the core, and its answers to replies."""

from collections.abc import Callable
from typing import Any, NamedTuple

from reelusher.core.event_loop import Core
from reelusher.core.messages import Answer, IncomingRequest, Verdict
from reelusher.frontends.rpc.fields import (
    BAD_REQUEST_ERROR,
    FAILED_ERROR,
    NO_RETRY,
    REASON,
    REJECTED_ERROR,
    RETRY_AFTER_MS,
    BadRequestError,
    capacity_fields,
    read_fields,
)
from reelusher.policy.settings import Idempotency

MAX_BODY_BYTES = 2048
MAX_OPEN_REQUESTS = 32 + 8  # per connection: the protocol's 32, and some whose answers cross new requests
EARLY_RETRY_AFTER_MS = 100  # for requests that the front end itself rejects: the shortest time of the policy


class Reply(NamedTuple):
    """The error or the result that a response of MessagePack-RPC carries."""

    error: list[Any] | None
    result: list[Any] | None


class RequestParser:
    """Checks and translates requests by the classes and settings in use."""

    def __init__(self, core: Core, tenant: str) -> None:
        self._core = core
        self._tenant = tenant

    def parse(
        self, method: str, params: list[Any], open_requests: int, reply: Callable[[Answer], None]
    ) -> IncomingRequest:
        """Check and translate a request; raise `BadRequestError` if it is invalid.

        `open_requests` is the number of requests open on its connection; `reply` is called with the answer.
        """
        class_index = self._core.current_classes.index_of(method)
        if class_index is None:
            raise BadRequestError("no such class")
        match params:
            case [dict(fields), bytes(body)]:
                pass
            case _:
                raise BadRequestError("the parameters are not fields and a body")
        if len(body) > MAX_BODY_BYTES:
            raise BadRequestError(f"a body of more than {MAX_BODY_BYTES} bytes")
        if open_requests >= MAX_OPEN_REQUESTS:
            raise BadRequestError("too many open requests on this connection")
        idempotency = self._core.settings.classes[class_index].idempotency
        unix_ahead_us = self._core.clock.unix_ahead_us()
        checked = read_fields(
            fields,
            idempotency is Idempotency.IDEMPOTENCY_KEY,
            self._core.clock.now() + unix_ahead_us,
            self._core.current_classes.longest_deadline_us,
        )
        return IncomingRequest(
            run_id=checked.run_id,
            class_index=class_index,
            body=body,
            received_us=checked.received_unix_us - unix_ahead_us,
            reply=reply,
            tenant=self._tenant,
            caller=checked.caller,
            subject=checked.subject,
            held_kb=checked.held_kb,
            expected_work_us=checked.expected_work_us,
            idempotency_key=checked.idempotency_key,
        )


def reply_of(answer: Answer) -> Reply:
    """Return the reply that carries the core's answer."""
    fields = capacity_fields(answer.advertised_capacity)
    if answer.verdict is Verdict.SERVED and answer.result is not None:
        return Reply(None, [answer.result.body, fields])
    if answer.verdict is not Verdict.REJECTED:
        return Reply([FAILED_ERROR, fields], None)
    if answer.retry_after_us:
        fields[RETRY_AFTER_MS] = str(answer.retry_after_us // 1000)
    if answer.no_retry:
        fields[NO_RETRY] = "1"
    return Reply([REJECTED_ERROR, fields], None)


def health_reply(advertised_capacity: float | None, healthy: bool) -> Reply:
    """Return the reply to a health check."""
    return Reply(None, [healthy, capacity_fields(advertised_capacity)])


def failed_reply(advertised_capacity: float | None) -> Reply:
    """Return the error reply to a request whose outcome can't be awaited any more."""
    return Reply([FAILED_ERROR, capacity_fields(advertised_capacity)], None)


def bad_request_reply(advertised_capacity: float | None, reason: str) -> Reply:
    """Return the error reply to an invalid request."""
    return Reply([BAD_REQUEST_ERROR, {**capacity_fields(advertised_capacity), REASON: reason}], None)


def early_rejection(advertised_capacity: float | None, max_retry_after_us: int) -> Reply:
    """Return the reply to a request that the front end rejects without the core."""
    fields = capacity_fields(advertised_capacity)
    if max_retry_after_us:
        fields[RETRY_AFTER_MS] = str(min(EARLY_RETRY_AFTER_MS, max_retry_after_us // 1000))
    return Reply([REJECTED_ERROR, fields], None)
