"""The platform's fields: their names on the wire, and the terms that the rest of the program uses."""

import math
from typing import Any, NamedTuple

from reelusher.frontends.hashing import subject_id

# methods, notices and errors
HEALTH_METHOD = "health"
LAST_CALL_NOTICE = "lastCall"
REJECTED_ERROR = "Full"
FAILED_ERROR = "Error"
BAD_REQUEST_ERROR = "Bad"

# fields of a request
RUN_ID = "txn"
IDEMPOTENCY_KEY = "unique"
SUBJECT = "item"  # what a read is about
RECEIVED_MS = "door"  # when the request reached the machine, Unix time
CALLER = "lb"
EXPECTED_WORK_MS = "cpu"
HELD_KB = "ram"
RANK = "standing"  # of the caller; checked, but the policy ranks by class alone

# fields of an answer
ADVERTISED_CAPACITY = "feedback"
RETRY_AFTER_MS = "later"
NO_RETRY = "giveup"
REASON = "why"

MAX_RUN_ID_CHARS = 64
MAX_KEY_CHARS = 128
MAX_SUBJECT_CHARS = 128
MAX_CALLER = 1 << 53  # callers that restart get new numbers, without end
MAX_EXPECTED_WORK_MS = 3.6e6
MAX_HELD_KB = 2000.0
MAX_CLOCK_AHEAD_US = 2_000_000  # a time of receipt later than the clock by more than that is wrong
MAX_CLOCK_BEHIND_US = 10_000_000  # one older by more than that, beyond the longest deadline, is wrong


class BadRequestError(Exception):
    """A request that gets an error answer and never reaches the core; the text names what is wrong."""


class RequestFields(NamedTuple):
    """The checked fields of one request."""

    run_id: str
    idempotency_key: str
    subject: int  # 0: none
    received_unix_us: int
    caller: int
    held_kb: float
    expected_work_us: int


def read_fields(
    fields: dict[Any, Any], needs_key: bool, now_unix_us: int, longest_deadline_us: int
) -> RequestFields:
    """Check the fields of a request; raise `BadRequestError` for those that can't be used."""
    run_id, key, subject = fields.get(RUN_ID), fields.get(IDEMPOTENCY_KEY, ""), fields.get(SUBJECT, "")
    if not isinstance(run_id, str) or not _is_run_id(run_id):
        raise BadRequestError("txn is missing or malformed")
    if not _is_text(key, MAX_KEY_CHARS) or not _is_text(subject, MAX_SUBJECT_CHARS):
        raise BadRequestError("unique or item is malformed")
    if needs_key and not key:
        raise BadRequestError("unique is missing")
    _read_number(fields, RANK, 0, 1, 0)
    # a time far from the clock would set timers and keys that outlive everything else
    received_ms = _read_number(
        fields,
        RECEIVED_MS,
        (now_unix_us - MAX_CLOCK_BEHIND_US - longest_deadline_us) / 1000,
        (now_unix_us + MAX_CLOCK_AHEAD_US) / 1000,
        now_unix_us / 1000,
    )
    return RequestFields(
        run_id=run_id,
        idempotency_key=key,
        subject=subject_id(subject) if subject else 0,
        received_unix_us=int(received_ms * 1000),
        caller=int(_read_number(fields, CALLER, 0, MAX_CALLER, 0)),
        held_kb=_read_number(fields, HELD_KB, 0, MAX_HELD_KB, 0.0),
        expected_work_us=int(_read_number(fields, EXPECTED_WORK_MS, 0, MAX_EXPECTED_WORK_MS, 0) * 1000),
    )


def capacity_fields(advertised_capacity: float | None) -> dict[str, str]:
    """Return the fields that every answer carries."""
    return {} if advertised_capacity is None else {ADVERTISED_CAPACITY: f"{advertised_capacity:.4f}"}


def _is_run_id(text: str) -> bool:
    return 0 < len(text) <= MAX_RUN_ID_CHARS and text.isascii() and text.isalnum()


def _is_text(value: Any, max_chars: int) -> bool:
    return isinstance(value, str) and len(value) <= max_chars


def _read_number(fields: dict[Any, Any], name: str, least: float, most: float, default: float) -> float:
    text = fields.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except (TypeError, ValueError):
        raise BadRequestError(f"{name} is no number") from None
    if not (math.isfinite(value) and least <= value <= most):
        raise BadRequestError(f"{name} is out of range")
    return value
