"""Adapter for the simulator: hosts one controller for each instance, and makes no decision of its own.

It reads batches of events from standard input and writes a reply to each batch to standard output. A
malformed frame ends the process with one line on standard error and a non-zero exit status.
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
    """A controller, and the `Gauges` fields of its gauges in the order in which they are sent."""

    def __init__(self, settings_text: bytes, seed: int) -> None:
        """Create a controller from settings in JSON.

        Raises `SettingsError`, ValueError, TypeError or AttributeError if the settings can't be used.
        """
        settings, self.gauge_fields = settings_from_json(settings_text)
        self.controller = Controller(settings, seed)


class ControllerHost:
    """The instances that one adapter process hosts, by their numbers."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def reply(self, header: BatchHeader, body: bytes) -> bytes:
        """Return the reply to a batch. Raises `MalformedFrameError`."""
        events, failures = self._read_batch(header, body)
        writer = ReplyWriter()
        for instance_number, instance_events in events.items():
            if instance_number not in failures:
                self._handle(instance_number, header.now_us, instance_events, writer, failures)
            if instance_number in failures:
                writer.add_failure(instance_number, failures[instance_number])
        return writer.finish(header.number)

    def _handle(
        self,
        instance_number: int,
        now_us: int,
        instance_events: list[Event],
        writer: ReplyWriter,
        failures: dict[int, str],
    ) -> None:
        try:
            for action in self.instances[instance_number].controller.handle(now_us, instance_events):
                writer.add(instance_number, action)
        except Exception:  # the wire protocol requires a report of every failure of the policy
            failures[instance_number] = traceback.format_exc()

    def _read_batch(self, header: BatchHeader, body: bytes) -> tuple[dict[int, list[Event]], dict[int, str]]:
        """Return the events of each instance, and the error of each instance that could not be created."""
        events: dict[int, list[Event]] = {}
        failures: dict[int, str] = {}
        for start in range(0, header.records_size, EVENT_SIZE):
            location = f"batch {header.number}, record {start // EVENT_SIZE}"
            code, instance_number = INSTANCE.unpack_from(body, start)
            if code == HALT:
                for table in (self.instances, events, failures):
                    table.pop(instance_number, None)
            elif code == CREATE:
                events[instance_number] = []
                failure = self._create(instance_number, body, start, header.records_size, location)
                if failure is not None:
                    failures[instance_number] = failure
            elif not is_event(code):
                raise MalformedFrameError(f"{location}: unknown event code {code}")
            elif instance_number in self.instances:
                fields = self.instances[instance_number].gauge_fields
                events.setdefault(instance_number, []).append(read_event(code, body, start, fields))
            elif instance_number not in failures:
                raise MalformedFrameError(f"{location}: instance {instance_number} was never created")
        return events, failures

    def _create(
        self, instance_number: int, body: bytes, start: int, tail_start: int, location: str
    ) -> str | None:
        """Create an instance; return None, or the error if its settings can't be used.

        Raises `MalformedFrameError` if the settings do not lie within the frame.
        """
        record = read_create(body, start)
        settings_start, settings_end = tail_start + record.offset, tail_start + record.offset + record.length
        if settings_end > len(body):
            raise MalformedFrameError(f"{location}: settings reach past the end of the frame")
        try:
            self.instances[instance_number] = Instance(body[settings_start:settings_end], record.seed)
        except (SettingsError, ValueError, TypeError, AttributeError) as error:
            return str(error)
        return None


def read_exactly(source: BinaryIO, size: int, part_name: str) -> bytes:
    """Read `size` bytes. Raises `MalformedFrameError`, which names the part, if the input ends earlier."""
    data = source.read(size)
    if len(data) < size:
        raise MalformedFrameError(f"{part_name} cut short: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends. Raises `MalformedFrameError`."""
    host = ControllerHost()
    while data := source.read(BATCH_HEADER.size):
        header = read_header(data)
        batch_name = f"batch {header.number}"
        try:
            reply = host.reply(header, read_exactly(source, header.body_size, batch_name))
        except MalformedFrameError as error:
            message = str(error)
            raise MalformedFrameError(
                message if message.startswith("batch") else f"{batch_name}: {message}"
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
