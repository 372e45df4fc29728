"""The adapter of the simulator: hosts one controller for each instance, and decides nothing.

It reads batches of events from standard input and writes a reply to each to standard output. A malformed
frame ends it with one line on standard error and a non-zero status.
"""

import sys
import traceback
from typing import BinaryIO

from reelusher.config.platform_settings import SettingsError, settings_from_json
from reelusher.policy.controller import Controller
from reelusher.policy.events import Event
from reelusher.simulator.frames import (
    BATCH_HEADER,
    CREATE,
    EVENT_SIZE,
    HALT,
    INSTANCE,
    BatchHeader,
    MalformedFrameError,
    ReplyWriter,
    is_event,
    read_create,
    read_event,
    read_header,
)


class Instance:
    """A controller and the fields of its gauges in the order of the wire."""

    def __init__(self, settings_text: bytes, seed: int) -> None:
        """Raise `SettingsError`, ValueError, TypeError or AttributeError for settings that can't be used."""
        settings, self.gauge_fields = settings_from_json(settings_text)
        self.controller = Controller(settings, seed)


class ControllerHost:
    """The instances of one process."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def reply(self, header: BatchHeader, body: bytes) -> bytes:
        """Return the reply to a batch. Raises `MalformedFrameError`."""
        events, failures = self._read_batch(header, body)
        writer = ReplyWriter()
        for number, batch in events.items():
            if number not in failures:
                self._handle(number, header.now_us, batch, writer, failures)
            if number in failures:
                writer.add_failure(number, failures[number])
        return writer.finish(header.number)

    def _handle(
        self, number: int, now_us: int, batch: list[Event], writer: ReplyWriter, failures: dict[int, str]
    ) -> None:
        try:
            for action in self.instances[number].controller.handle(now_us, batch):
                writer.add(number, action)
        except Exception:  # the wire wants any failure of the policy reported as such
            failures[number] = traceback.format_exc()

    def _read_batch(self, header: BatchHeader, body: bytes) -> tuple[dict[int, list[Event]], dict[int, str]]:
        """Return the events of each instance, and the failure of each that could not be created."""
        events: dict[int, list[Event]] = {}
        failures: dict[int, str] = {}
        for start in range(0, header.records_size, EVENT_SIZE):
            place = f"batch {header.number}, record {start // EVENT_SIZE}"
            code, number = INSTANCE.unpack_from(body, start)
            if code == HALT:
                for table in (self.instances, events, failures):
                    table.pop(number, None)
            elif code == CREATE:
                events[number] = []
                failure = self._create(number, body, start, header.records_size, place)
                if failure is not None:
                    failures[number] = failure
            elif not is_event(code):
                raise MalformedFrameError(f"{place}: unknown event code {code}")
            elif number in self.instances:
                fields = self.instances[number].gauge_fields
                events.setdefault(number, []).append(read_event(code, body, start, fields))
            elif number not in failures:
                raise MalformedFrameError(f"{place}: instance {number} was never created")
        return events, failures

    def _create(self, number: int, body: bytes, start: int, tail: int, place: str) -> str | None:
        """Create an instance; return why it could not be."""
        record = read_create(body, start)
        begin, end = tail + record.offset, tail + record.offset + record.length
        if end > len(body):
            raise MalformedFrameError(f"{place}: settings reach past the end of the frame")
        try:
            self.instances[number] = Instance(body[begin:end], record.seed)
        except (SettingsError, ValueError, TypeError, AttributeError) as error:
            return str(error)
        return None


def read_exactly(source: BinaryIO, size: int, what: str) -> bytes:
    """Read so many bytes. Raises `MalformedFrameError` where the input ends before."""
    data = source.read(size)
    if len(data) < size:
        raise MalformedFrameError(f"{what} cut short: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends. Raises `MalformedFrameError`."""
    host = ControllerHost()
    while data := source.read(BATCH_HEADER.size):
        header = read_header(data)
        where = f"batch {header.number}"
        try:
            reply = host.reply(header, read_exactly(source, header.body_size, where))
        except MalformedFrameError as error:
            text = str(error)
            raise MalformedFrameError(text if text.startswith("batch") else f"{where}: {text}") from None
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
