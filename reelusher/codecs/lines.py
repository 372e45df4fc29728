"""The two line protocols: JSON objects of the runtime, and calls to the downstream service.

On the wire, a call to the downstream service is `ask`, and its cancellation is `unask`.
"""

import base64
import binascii
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from reelusher.codecs.errors import MalformedError

MAX_LINE_BYTES = 1 << 20  # size limit of a line with a JSON object
MAX_REPLY_BYTES = 1 << 18  # size limit of the body of a reply
MAX_REPLY_LINE_BYTES = 256  # size limit of the line that starts a reply
WITH_BODY = "yes"  # the status after which a reply must have a length and a body


class JsonLineDecoder:
    """Decodes one JSON object per line."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """Add received bytes and yield the objects that are complete. Raises `MalformedError`."""
        self._buffer += data
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            if line.strip():
                yield self._object(line)
        if len(self._buffer) > MAX_LINE_BYTES:
            raise MalformedError(f"a line of more than {MAX_LINE_BYTES} bytes")

    @staticmethod
    def _object(line: bytes) -> dict[str, Any]:
        try:
            value = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise MalformedError(f"a line that is not JSON: {error}") from None
        if not isinstance(value, dict):
            raise MalformedError("a line that is not a JSON object")
        return value


def encode_json_line(message: dict[str, Any]) -> bytes:
    """Encode an object as a line of JSON."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def encode_body(data: bytes) -> str:
    """Encode bytes as base64 for a JSON line."""
    return base64.b64encode(data).decode()


def decode_body(text: Any) -> bytes:
    """Decode base64 from a JSON line. Raises `MalformedError`."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError):
        raise MalformedError("a body that is not base64") from None


@dataclass(slots=True, frozen=True)
class DownstreamReply:
    """A reply to a downstream call; the body is empty if it has none."""

    run_id: str
    status: str
    body: bytes = b""


class DownstreamReplyDecoder:
    """Decodes replies: a line each, and a body if that line has a length, which the status `yes` needs."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[DownstreamReply]:
        """Add received bytes and yield the replies that are complete. Raises `MalformedError`."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n")) >= 0:
            if end > MAX_REPLY_LINE_BYTES:
                break
            words = bytes(self._buffer[:end]).decode("latin-1").split(" ")
            if len(words) == 2 and words[1] != WITH_BODY:
                del self._buffer[: end + 2]
                yield DownstreamReply(words[0], words[1])
                continue
            if len(words) != 3 or not words[2].isascii() or not words[2].isdigit() or len(words[2]) > 9:
                raise MalformedError("a reply that is neither ID STATUS nor ID STATUS LENGTH")
            size = int(words[2])
            if size > MAX_REPLY_BYTES:
                raise MalformedError(f"a reply of {size} bytes, {MAX_REPLY_BYTES} at most")
            stop = end + 2 + size
            if len(self._buffer) < stop + 2:
                return
            if self._buffer[stop : stop + 2] != b"\r\n":
                raise MalformedError("a reply whose body is longer than its length says")
            body = bytes(self._buffer[end + 2 : stop])
            del self._buffer[: stop + 2]
            yield DownstreamReply(words[0], words[1], body)
        if len(self._buffer) > MAX_REPLY_LINE_BYTES:
            raise MalformedError(f"a line of more than {MAX_REPLY_LINE_BYTES} bytes")


def encode_call(run_id: str, timeout_ms: int, body: bytes) -> bytes:
    """Encode the call of a run; it is abandoned after `timeout_ms` milliseconds."""
    return f"ask {run_id} {timeout_ms} {len(body)}\r\n".encode() + body + b"\r\n"


def encode_cancel(run_id: str) -> bytes:
    """Encode the cancellation of a run's call."""
    return f"unask {run_id}\r\n".encode()
