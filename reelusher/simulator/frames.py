"""Records of the simulator's wire format, and their conversion to events and from actions of the policy.

Frames are little-endian without padding: a header, records of a fixed size, and a tail with the data of
variable size. All times and durations are in microseconds. The names of records and fields on the wire
(knock, dispatch, pin, …) are mapped to those of the policy in this module only.
"""

import struct
from collections.abc import Callable, Sequence
from typing import NamedTuple

from reelusher.policy.actions import (
    Action,
    AdvertiseCapacity,
    AttachToOriginal,
    Call,
    CloseIdleConnections,
    FailRequest,
    ForgetKey,
    Preempt,
    Reject,
    RememberKey,
    ReportHealth,
    Run,
    SetTimer,
    SkipCall,
)
from reelusher.policy.events import (
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Drain,
    Event,
    Gauges,
    Outcome,
    Request,
    RunEnded,
    Tick,
)

EVENT_SIZE = 56  # bytes of an event record
ACTION_SIZE = 24  # bytes of an action record

# headers
BATCH_HEADER = struct.Struct("<IQII")  # batch number, clock, bytes after the length field, number of records
REPLY_HEADER = struct.Struct("<III")  # batch number, number of records, bytes after this header
BYTES_AFTER_LENGTH_FIELD = 4  # bytes of the batch header that follow its length field

# event codes
DONE, DRAIN, KNOCK, CAME_BACK, CALL_NEEDED, ABORTED, DUE = 1, 3, 5, 6, 7, 8, 9
HALT, CREATE = 2, 4

# event records: code, instance, fields
INSTANCE = struct.Struct("<BI")
CREATE_RECORD = struct.Struct("<BIQII")  # seed, offset and length of the settings in the tail
KNOCK_RECORD = struct.Struct("<BIQBHQIIffBHIQ")
REQUEST_RECORD = struct.Struct("<BIQ")  # id
DONE_RECORD = struct.Struct("<BIQHI")  # id, outcome, duration
DRAIN_RECORD = struct.Struct("<BII")  # time left
CAME_BACK_RECORD = struct.Struct("<BIQIH")  # id, duration, outcome
DUE_RECORD = struct.Struct("<BIQB")  # label, number of gauges
WORK_KNOWN_BIT, RETRY_BIT = 1, 2  # flags in the bits field of a knock record

# action codes
CALL, FAIL, DISPATCH, SKIP, CLOSE_IDLE, FORGET, HEALTH, DECLINE, ARM = 1, 2, 3, 4, 5, 6, 8, 9, 10
FATAL, PAUSE, PIN, JOIN, SIGNAL = 11, 12, 13, 14, 15

# action records: code, instance, fields
REQUEST_ACTION = struct.Struct("<BIQ11x")  # id
CALL_ACTION = struct.Struct("<BIQQ3x")  # id, until
CLOSE_IDLE_ACTION = struct.Struct("<BII15x")  # idle time-out
HEALTH_ACTION = struct.Struct("<BIBB17x")  # healthy, cached
DECLINE_ACTION = struct.Struct("<BIQIB6x")  # id, retry after, no retry
ARM_ACTION = struct.Struct("<BIIQ7x")  # delay, label
PIN_ACTION = struct.Struct("<BIQI7x")  # id, time to live
SIGNAL_ACTION = struct.Struct("<BIf15x")  # value
FATAL_ACTION = struct.Struct("<BIII11x")  # offset and length of a text in the tail

OUTCOMES = {
    100: Outcome.OK,
    301: Outcome.ERROR,
    302: Outcome.REJECTED,
    303: Outcome.TIMEOUT,
    304: Outcome.UNREACHABLE,
    305: Outcome.CONNECTION_LOST,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_STARTED,
}
REQUEST_ACTION_CODES: dict[type, int] = {
    Run: DISPATCH,
    Preempt: PAUSE,
    SkipCall: SKIP,
    FailRequest: FAIL,
    AttachToOriginal: JOIN,
    ForgetKey: FORGET,
}


class MalformedFrameError(Exception):
    """The input does not follow the simulator's wire format."""


class BatchHeader(NamedTuple):
    """The header of a batch of events."""

    number: int
    now_us: int
    size: int  # bytes after the length field
    record_count: int

    @property
    def records_size(self) -> int:
        """Return the size of all records in bytes; the tail follows them."""
        return self.record_count * EVENT_SIZE

    @property
    def body_size(self) -> int:
        """Return the number of bytes after the header."""
        return self.size - BYTES_AFTER_LENGTH_FIELD


class CreateRecord(NamedTuple):
    """A record that starts an instance."""

    seed: int
    offset: int  # offset of the settings in the tail, in bytes
    length: int  # length of the settings in bytes


def read_header(data: bytes) -> BatchHeader:
    """Read the header of a batch. Raises `MalformedFrameError`."""
    if len(data) < BATCH_HEADER.size:
        raise MalformedFrameError(f"header cut short: {len(data)} of {BATCH_HEADER.size} bytes")
    header = BatchHeader(*BATCH_HEADER.unpack(data))
    if header.body_size < header.records_size:
        raise MalformedFrameError(
            f"batch {header.number}: length {header.size} is too small for {header.record_count} records"
        )
    return header


def read_create(body: bytes, start: int) -> CreateRecord:
    """Read the record that starts an instance."""
    _, _, seed, offset, length = CREATE_RECORD.unpack_from(body, start)
    return CreateRecord(seed, offset, length)


def read_event(code: int, body: bytes, start: int, gauge_fields: Sequence[str]) -> Event:
    """Read the record of an event. Raises `MalformedFrameError`.

    `gauge_fields` names the fields of `Gauges` in the order in which their values are sent; it is "" for each
    gauge that is ignored.
    """
    reader = READERS.get(code)
    if reader is not None:
        return reader(body, start)
    return _read_due(body, start, gauge_fields)


def is_event(code: int) -> bool:
    """Return whether a code is that of an event for a controller; `CREATE` and `HALT` are not."""
    return code in READERS or code == DUE


def _read_knock(body: bytes, start: int) -> Event:
    (
        _,
        _,
        request_id,
        class_index,
        tenant,
        subject,
        time_left_us,
        work_us,
        held_kb,
        _rank,
        bits,
        caller,
        waited_us,
        original_id,
    ) = KNOCK_RECORD.unpack_from(body, start)
    return Request(
        id=request_id,
        class_index=class_index,
        caller=caller,
        subject=subject,
        tenant=tenant,
        held_kb=held_kb,
        expected_work_us=work_us if bits & WORK_KNOWN_BIT else 0,
        time_left_us=time_left_us,
        waited_us=waited_us,
        original_id=original_id,
        is_retry=bool(bits & RETRY_BIT),
    )


def _read_done(body: bytes, start: int) -> Event:
    _, _, request_id, outcome, duration_us = DONE_RECORD.unpack_from(body, start)
    return RunEnded(request_id, _outcome(outcome), duration_us)


def _read_came_back(body: bytes, start: int) -> Event:
    _, _, request_id, duration_us, outcome = CAME_BACK_RECORD.unpack_from(body, start)
    return CallEnded(request_id, _outcome(outcome), duration_us)


def _outcome(code: int) -> Outcome:
    if code not in OUTCOMES:
        raise MalformedFrameError(f"unknown outcome {code}")
    return OUTCOMES[code]


def _read_drain(body: bytes, start: int) -> Event:
    return Drain(DRAIN_RECORD.unpack_from(body, start)[2])


def _read_call_needed(body: bytes, start: int) -> Event:
    return CallNeeded(REQUEST_RECORD.unpack_from(body, start)[2])


def _read_aborted(body: bytes, start: int) -> Event:
    return ClientDisconnected(REQUEST_RECORD.unpack_from(body, start)[2])


def _read_due(body: bytes, start: int, gauge_fields: Sequence[str]) -> Event:
    _, _, label, count = DUE_RECORD.unpack_from(body, start)
    if DUE_RECORD.size + 4 * count > EVENT_SIZE:
        raise MalformedFrameError(f"{count} gauges do not fit a record")
    values = struct.unpack_from(f"<{count}f", body, start + DUE_RECORD.size)
    known = {name: value for name, value in zip(gauge_fields, values, strict=False) if name}
    return Tick(label, Gauges(**known))


READERS: dict[int, Callable[[bytes, int], Event]] = {
    DONE: _read_done,
    DRAIN: _read_drain,
    KNOCK: _read_knock,
    CAME_BACK: _read_came_back,
    CALL_NEEDED: _read_call_needed,
    ABORTED: _read_aborted,
}


def write_action(instance_number: int, action: Action) -> bytes:
    """Return the record of an action."""
    match action:
        case Call():
            return CALL_ACTION.pack(CALL, instance_number, action.id, action.until_us)
        case Reject():
            return DECLINE_ACTION.pack(
                DECLINE, instance_number, action.id, action.retry_after_us, action.no_retry
            )
        case SetTimer():
            return ARM_ACTION.pack(ARM, instance_number, action.delay_us, action.label)
        case RememberKey():
            return PIN_ACTION.pack(PIN, instance_number, action.id, action.ttl_us)
        case ReportHealth():
            return HEALTH_ACTION.pack(HEALTH, instance_number, action.healthy, action.cached)
        case AdvertiseCapacity():
            return SIGNAL_ACTION.pack(SIGNAL, instance_number, action.value)
        case CloseIdleConnections():
            return CLOSE_IDLE_ACTION.pack(CLOSE_IDLE, instance_number, action.idle_timeout_us)
        case _:
            return REQUEST_ACTION.pack(REQUEST_ACTION_CODES[type(action)], instance_number, action.id)


class ReplyWriter:
    """Collects the records and the tail of one reply."""

    def __init__(self) -> None:
        self._records = bytearray()
        self._tail = bytearray()

    def add(self, instance_number: int, action: Action) -> None:
        """Add the record of an action."""
        self._records += write_action(instance_number, action)

    def add_failure(self, instance_number: int, text: str) -> None:
        """Add a record of the failure of an instance's controller, and the text that describes it."""
        data = text.encode()
        self._records += FATAL_ACTION.pack(FATAL, instance_number, len(self._tail), len(data))
        self._tail += data

    def finish(self, number: int) -> bytes:
        """Return the reply to the batch with this number."""
        size = len(self._records) + len(self._tail)
        header = REPLY_HEADER.pack(number, len(self._records) // ACTION_SIZE, size)
        return header + self._records + self._tail
