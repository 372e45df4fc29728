"""The adapter: hosts one controller an instance and translates between its interface and the wire's frames.

It decides nothing. A malformed frame ends it with one line on standard error and a non-zero status.
"""

import struct
import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

from reelusher import interface as io
from reelusher.choice import Controller
from reelusher.settings import SettingsError, settings_of

BATCH = struct.Struct("<IQII")  # number, clock, bytes after the length field, records
REPLY = struct.Struct("<III")  # number, records, bytes after this header
EVENT_SIZE, ACTION_SIZE = 56, 24

CREATE = struct.Struct("<BIQII")
KNOCK = struct.Struct("<BIQBHQIIffBHIQ")
REF = struct.Struct("<BIQ")
DONE = struct.Struct("<BIQHI")
DRAIN = struct.Struct("<BII")
CAME_BACK = struct.Struct("<BIQIH")
DUE = struct.Struct("<BIQB")
INSTANCE = struct.Struct("<BI")

CALL = struct.Struct("<BIQQ3x")
ID_ONLY = struct.Struct("<BIQ11x")
SPAN = struct.Struct("<BII15x")
TEXT = struct.Struct("<BIII11x")
HEALTH = struct.Struct("<BIBB17x")
DECLINE = struct.Struct("<BIQIB6x")
ARM = struct.Struct("<BIIQ7x")
PIN = struct.Struct("<BIQI7x")
SIGNAL = struct.Struct("<BIf15x")

OUTCOMES = {
    100: io.Outcome.OK,
    301: io.Outcome.ERROR,
    302: io.Outcome.REJECTED,
    303: io.Outcome.TIMEOUT,
    304: io.Outcome.UNREACHABLE,
    305: io.Outcome.CUT_OFF,
    306: io.Outcome.CANCELLED,
    307: io.Outcome.MOOT,
}
SIMPLE = {io.Run: 3, io.Pause: 12, io.Skip: 4, io.Fail: 2, io.Join: 14, io.Forget: 6}


class MalformedFrameError(Exception):
    """The input is not what the wire page describes."""


class Host:
    """The instances of one process."""

    def __init__(self) -> None:
        """Start with no instance."""
        self.controllers: dict[int, Controller] = {}
        self.gauges: dict[int, list[str]] = {}

    def reply(self, head: bytes, body: bytes) -> bytes:  # noqa: C901  # it is split when it moves to simulator/
        """Answer one batch, given its header and what follows it."""
        number, now, _, count = BATCH.unpack(head)
        tail = count * EVENT_SIZE
        events: dict[int, list[io.Event]] = {}
        failed: dict[int, str] = {}
        for start in range(0, tail, EVENT_SIZE):
            where = f"batch {number}, record {start // EVENT_SIZE}"
            code, instance = INSTANCE.unpack_from(body, start)
            if code == 2:
                for table in (self.controllers, self.gauges, events, failed):
                    table.pop(instance, None)
            elif code == 4:
                _, _, seed, offset, length = CREATE.unpack_from(body, start)
                if tail + offset + length > len(body):
                    raise MalformedFrameError(f"{where}: settings reach past the end of the frame")
                events[instance] = []
                try:
                    settings, names = settings_of(body[tail + offset : tail + offset + length])
                    self.controllers[instance], self.gauges[instance] = Controller(settings, seed), names
                except (SettingsError, ValueError, TypeError, AttributeError) as error:
                    failed[instance] = str(error)
            elif code not in READERS:
                raise MalformedFrameError(f"{where}: unknown event code {code}")
            elif instance in self.controllers:
                events.setdefault(instance, []).append(READERS[code](body, start, self.gauges[instance]))
            elif instance not in failed:
                raise MalformedFrameError(f"{where}: instance {instance} was never created")
        records, texts = bytearray(), bytearray()
        for instance, batch in events.items():
            if instance not in failed:
                try:
                    for action in self.controllers[instance].handle(now, batch):
                        records += write(instance, action)
                except Exception:  # the wire wants any failure of the module reported as such
                    failed[instance] = traceback.format_exc()
            if instance in failed:
                text = failed[instance].encode()
                records += TEXT.pack(11, instance, len(texts), len(text))
                texts += text
        return REPLY.pack(number, len(records) // ACTION_SIZE, len(records) + len(texts)) + records + texts


def read_knock(body: bytes, start: int, _names: list[str]) -> io.Event:
    """Translate a request."""
    (_, _, ref, kind, tenant, subject, left, hint, held_kb, _rank, bits, caller, waited, original) = (
        KNOCK.unpack_from(body, start)
    )
    return io.Request(
        ref,
        kind,
        caller,
        subject,
        tenant,
        held_kb,
        hint if bits & 1 else 0,
        left,
        waited,
        original,
        bool(bits & 2),
    )


def read_done(body: bytes, start: int, _names: list[str]) -> io.Event:
    """Translate the end of a run."""
    _, _, ref, result, took = DONE.unpack_from(body, start)
    return io.RunEnded(ref, outcome(result), took)


def read_came_back(body: bytes, start: int, _names: list[str]) -> io.Event:
    """Translate the end of a call."""
    _, _, ref, took, result = CAME_BACK.unpack_from(body, start)
    return io.CallEnded(ref, outcome(result), took)


def outcome(result: int) -> io.Outcome:
    """Translate an outcome code."""
    if result not in OUTCOMES:
        raise MalformedFrameError(f"unknown outcome {result}")
    return OUTCOMES[result]


def read_due(body: bytes, start: int, names: list[str]) -> io.Event:
    """Translate a timer with its gauges, which are found by name."""
    _, _, label, count = DUE.unpack_from(body, start)
    if DUE.size + 4 * count > EVENT_SIZE:
        raise MalformedFrameError(f"{count} gauges do not fit a record")
    values = struct.unpack_from(f"<{count}f", body, start + DUE.size)
    known = {name: value for name, value in zip(names, values, strict=False) if name}
    return io.Tick(label, io.Gauges(**known))


READERS: dict[int, Callable[[bytes, int, list[str]], io.Event]] = {
    1: read_done,
    3: lambda body, start, _: io.Drain(DRAIN.unpack_from(body, start)[2]),
    5: read_knock,
    6: read_came_back,
    7: lambda body, start, _: io.CallNeeded(REF.unpack_from(body, start)[2]),
    8: lambda body, start, _: io.Gone(REF.unpack_from(body, start)[2]),
    9: read_due,
}


def write(instance: int, action: io.Action) -> bytes:
    """Translate one action into its record."""
    match action:
        case io.Call():
            return CALL.pack(1, instance, action.id, action.until_us)
        case io.Decline():
            return DECLINE.pack(9, instance, action.id, action.away_us, action.no_retry)
        case io.Timer():
            return ARM.pack(10, instance, action.in_us, action.label)
        case io.Keep():
            return PIN.pack(13, instance, action.id, action.span_us)
        case io.Health():
            return HEALTH.pack(8, instance, action.good, action.stored)
        case io.Advise():
            return SIGNAL.pack(15, instance, action.value)
        case io.CloseIdle():
            return SPAN.pack(5, instance, action.after_us)
        case _:
            return ID_ONLY.pack(SIMPLE[type(action)], instance, action.id)


def read_exactly(source: BinaryIO, size: int, what: str) -> bytes:
    """Read so many bytes or say what was cut short."""
    data = source.read(size)
    if len(data) < size:
        raise MalformedFrameError(f"{what} cut short: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while head := source.read(BATCH.size):
        if len(head) < BATCH.size:
            raise MalformedFrameError(f"header cut short: {len(head)} of {BATCH.size} bytes")
        number, _, size, count = BATCH.unpack(head)
        if size < 4 + count * EVENT_SIZE:
            raise MalformedFrameError(f"batch {number}: length {size} is too small for {count} records")
        try:
            reply = host.reply(head, read_exactly(source, size - 4, f"batch {number}"))
        except MalformedFrameError as error:
            text = str(error)
            raise MalformedFrameError(
                text if text.startswith("batch") else f"batch {number}: {text}"
            ) from None
        sink.write(reply)
        sink.flush()


def main() -> int:
    """Run the adapter on standard input and output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedFrameError as error:
        print(f"reelusher: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
