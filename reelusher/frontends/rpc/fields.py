"""The fields of the platform's protocol: their names on the wire, and the checks of their values."""

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
SUBJECT = "item"  # the subject that a read is about
RECEIVED_MS = "door"  # Unix time when the request reached the machine
CALLER = "lb"
EXPECTED_WORK_MS = "cpu"
HELD_KB = "ram"
RANK = "standing"  # rank of the caller; it is checked but not used, since the policy ranks by class alone

# fields of an answer
ADVERTISED_CAPACITY = "feedback"
RETRY_AFTER_MS = "later"
NO_RETRY = "giveup"
REASON = "why"

MAX_RUN_ID_CHARS = 64
MAX_KEY_CHARS = 128
MAX_SUBJECT_CHARS = 128
MAX_CALLER = 1 << 53  # this large, since a caller gets a new number at each restart
MAX_EXPECTED_WORK_MS = 3.6e6
MAX_HELD_KB = 2000.0
MAX_CLOCK_AHEAD_US = 2_000_000  # a received time further ahead of the clock is invalid
MAX_CLOCK_BEHIND_US = 10_000_000  # so is one older than the longest deadline plus this


class BadRequestError(Exception):
    """The request is invalid: it gets an error reply with this text, and never reaches the core."""


class RequestFields(NamedTuple):
    """The checked fields of one request."""

    run_id: str
    idempotency_key: str
    subject: int  # 0: the request names none
    received_unix_us: int
    caller: int
    held_kb: float
    expected_work_us: int


def read_fields(
    fields: dict[Any, Any], needs_key: bool, now_unix_us: int, longest_deadline_us: int
) -> RequestFields:
    """Check the fields of a request; raise `BadRequestError` if one is missing or invalid."""
    run_id, key, subject = fields.get(RUN_ID), fields.get(IDEMPOTENCY_KEY, ""), fields.get(SUBJECT, "")
    if not isinstance(run_id, str) or not _is_run_id(run_id):
        raise BadRequestError("txn is missing or malformed")
    if not _is_text(key, MAX_KEY_CHARS) or not _is_text(subject, MAX_SUBJECT_CHARS):
        raise BadRequestError("unique or item is malformed")
    if needs_key and not key:
        raise BadRequestError("unique is missing")
    _read_number(fields, RANK, 0, 1, 0)
    # a time far from the clock would make timers and idempotency keys last far longer than all others
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
    """Return the fields that every reply carries."""
    return {} if advertised_capacity is None else {ADVERTISED_CAPACITY: f"{advertised_capacity:.4f}"}


def _is_run_id(text: str) -> bool:
    return 0 < len(text) <= MAX_RUN_ID_CHARS and text.isascii() and text.isalnum()


def _is_text(value: Any, max_chars: int) -> bool:
    return isinstance(value, str) and len(value) <= max_chars


def _read_number(fields: dict[Any, Any], name: str, minimum: float, maximum: float, default: float) -> float:
    text = fields.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except (TypeError, ValueError):
        raise BadRequestError(f"{name} is no number") from None
    if not (math.isfinite(value) and minimum <= value <= maximum):
        raise BadRequestError(f"{name} is out of range")
    return value
