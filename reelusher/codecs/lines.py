"""Splitting a stream into lines, and the two line protocols: JSON objects and the vault's replies."""

import base64
import binascii
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from reelusher.codecs.errors import MalformedError

MOST_LINE = 1 << 20
MOST_REPLY = 1 << 18
MOST_REPLY_LINE = 256  # of the line that begins a reply


class JsonLines:
    """Decodes one JSON object a line."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """Take more bytes and yield the objects that are whole by now."""
        self._buffer += data
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            if line.strip():
                yield self._object(line)
        if len(self._buffer) > MOST_LINE:
            raise MalformedError(f"a line of more than {MOST_LINE} bytes")

    @staticmethod
    def _object(line: bytes) -> dict[str, Any]:
        try:
            value = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise MalformedError(f"a line that is not JSON: {error}") from None
        if not isinstance(value, dict):
            raise MalformedError("a line that is not a JSON object")
        return value


def json_line(message: dict[str, Any]) -> bytes:
    """Write one object as a line."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def blob(data: bytes) -> str:
    """Write bytes for a JSON line."""
    return base64.b64encode(data).decode()


def unblob(text: Any) -> bytes:
    """Read bytes from a JSON line."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError):
        raise MalformedError("a body that is not base64") from None


@dataclass(slots=True, frozen=True)
class VaultReply:
    """A line from the vault; the body is there with `yes`."""

    call: str
    word: str
    body: bytes = b""


class VaultReplies:
    """Decodes the vault's replies: lines, with a counted body after `yes`."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[VaultReply]:
        """Take more bytes and yield the replies that are whole by now."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n")) >= 0:
            if end > MOST_REPLY_LINE:
                break
            words = bytes(self._buffer[:end]).decode("latin-1").split(" ")
            if len(words) == 2 and words[1] != "yes":
                del self._buffer[: end + 2]
                yield VaultReply(words[0], words[1])
                continue
            if len(words) != 3 or not words[2].isascii() or not words[2].isdigit() or len(words[2]) > 9:
                raise MalformedError("a reply that is not ID WORD or ID WORD LENGTH")
            size = int(words[2])
            if size > MOST_REPLY:
                raise MalformedError(f"a reply of {size} bytes, {MOST_REPLY} at most")
            stop = end + 2 + size
            if len(self._buffer) < stop + 2:
                return
            if self._buffer[stop : stop + 2] != b"\r\n":
                raise MalformedError("a reply longer than it says")
            body = bytes(self._buffer[end + 2 : stop])
            del self._buffer[: stop + 2]
            yield VaultReply(words[0], words[1], body)
        if len(self._buffer) > MOST_REPLY_LINE:
            raise MalformedError(f"a line of more than {MOST_REPLY_LINE} bytes")


def vault_ask(call: str, wait_ms: int, body: bytes) -> bytes:
    """Write a call."""
    return f"ask {call} {wait_ms} {len(body)}\r\n".encode() + body + b"\r\n"


def vault_unask(call: str) -> bytes:
    """Write that a call is given up."""
    return f"unask {call}\r\n".encode()
