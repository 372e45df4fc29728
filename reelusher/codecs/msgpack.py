"""MessagePack, as much as MessagePack-RPC needs: nil, booleans, numbers, strings, binaries, arrays, maps.

`Decoder` is fed bytes as they arrive and yields complete values. Lengths above the limits are rejected from
the header alone, before anything of that size is read or allocated.
"""

import struct
from collections.abc import Iterator
from typing import Any

from reelusher.codecs.errors import MalformedError

MAX_BYTES = 1 << 16  # of one string or binary
MAX_ITEMS = 256  # of one array or map
MAX_DEPTH = 8
MAX_FRAME_BYTES = 1 << 18  # of one complete value


class _IncompleteValueError(Exception):
    """The value is not complete yet."""


_FIXED = {
    0xCA: ">f",
    0xCB: ">d",
    0xCC: ">B",
    0xCD: ">H",
    0xCE: ">I",
    0xCF: ">Q",
    0xD0: ">b",
    0xD1: ">h",
    0xD2: ">i",
    0xD3: ">q",
}
_LENGTHS = {
    0xC4: ">B",
    0xC5: ">H",
    0xC6: ">I",
    0xD9: ">B",
    0xDA: ">H",
    0xDB: ">I",
    0xDC: ">H",
    0xDD: ">I",
    0xDE: ">H",
    0xDF: ">I",
}
_STRUCTS = {code: struct.Struct(text) for code, text in (_FIXED | _LENGTHS).items()}
_CONSTANTS = {0xC0: None, 0xC2: False, 0xC3: True}


class _OpenContainer:
    """An array or a map whose items are still being read."""

    __slots__ = ("is_map", "items", "remaining")

    def __init__(self, left: int, is_map: bool) -> None:
        self.remaining = 2 * left if is_map else left  # values still to come
        self.items: list[Any] = []
        self.is_map = is_map

    def value(self) -> Any:
        """Return the complete container."""
        return dict(zip(self.items[::2], self.items[1::2], strict=True)) if self.is_map else self.items


class Decoder:
    """Splits a stream into values. What has been read of a value is not read again when more bytes come."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._at = 0
        self._frame = 0  # bytes read of the value that is open
        self._open: list[_OpenContainer] = []

    @property
    def partial(self) -> bool:
        """Return whether a value has started and is not complete."""
        return bool(self._buffer or self._open)

    def feed(self, data: bytes) -> Iterator[Any]:
        """Add received bytes and yield the values that are complete. Raises `MalformedError`."""
        self._buffer += data
        self._at = 0
        try:
            while self._at < len(self._buffer):
                started_at = self._at
                try:
                    value = self._item()
                except _IncompleteValueError:
                    self._at = started_at
                    break
                finally:
                    self._frame += self._at - started_at
                if self._frame > self._max_frame_bytes:
                    raise MalformedError(f"a value of more than {self._max_frame_bytes} bytes")
                if not isinstance(value, _OpenContainer):
                    value = self._append(value)
                if not isinstance(value, _OpenContainer):
                    self._frame = 0
                    yield value
        finally:
            del self._buffer[: self._at]
            self._at = 0
        if self._frame + len(self._buffer) > self._max_frame_bytes:
            raise MalformedError(f"a value of more than {self._max_frame_bytes} bytes")

    def _append(self, value: Any) -> Any:
        """Append a value to the open container; return the outermost once complete, else the open one."""
        while self._open:
            top = self._open[-1]
            if top.is_map and top.remaining % 2 == 0 and not isinstance(value, (str, int, bytes)):
                raise MalformedError("a map key that is neither a string nor a number")
            top.items.append(value)
            top.remaining -= 1
            if top.remaining:
                return top
            value = self._open.pop().value()
        return value

    def _take_bytes(self, size: int) -> bytes:
        end = self._at + size
        if end > len(self._buffer):
            raise _IncompleteValueError
        data = bytes(self._buffer[self._at : end])
        self._at = end
        return data

    def _number(self, code: int) -> Any:
        form = _STRUCTS[code]
        if self._at + form.size > len(self._buffer):
            raise _IncompleteValueError
        (number,) = form.unpack_from(self._buffer, self._at)
        self._at += form.size
        return number

    def _item(self) -> Any:
        """Read one value, or the header of an array or a map that has items: that is then open."""
        code = self._buffer[self._at]
        self._at += 1
        if code < 0x80:
            return code
        if code >= 0xE0:
            return code - 0x100
        if 0xA0 <= code < 0xC0:
            return self._text(code & 0x1F)
        if code < 0x90:
            return self._opened(code & 0x0F, is_map=True)
        if code < 0xA0:
            return self._opened(code & 0x0F, is_map=False)
        if code in _CONSTANTS:
            return _CONSTANTS[code]
        if code in _FIXED:
            return self._number(code)
        if code not in _LENGTHS:
            raise MalformedError(f"type byte {code:#04x} is not supported")
        length = self._number(code)
        if code >= 0xDC:
            return self._opened(length, is_map=code >= 0xDE)
        return self._text(length) if code >= 0xD9 else self._take_bytes(self._checked(length, MAX_BYTES))

    @staticmethod
    def _checked(length: int, most: int) -> int:
        if length > most:
            raise MalformedError(f"a length of {length}, {most} at most")
        return length

    def _text(self, length: int) -> str:
        try:
            return self._take_bytes(self._checked(length, MAX_BYTES)).decode()
        except UnicodeDecodeError:
            raise MalformedError("a string that is not UTF-8") from None

    def _opened(self, length: int, is_map: bool) -> Any:
        if len(self._open) >= MAX_DEPTH:
            raise MalformedError(f"nested more than {MAX_DEPTH} deep")
        opened = _OpenContainer(self._checked(length, MAX_ITEMS), is_map)
        if not length:
            return opened.value()
        self._open.append(opened)
        return opened


def _sized(length: int, small: int | None, small_most: int, codes: tuple[int | None, int, int]) -> bytes:
    if small is not None and length <= small_most:
        return bytes([small | length])
    for code, form, most in zip(codes, (">BB", ">BH", ">BI"), (0xFF, 0xFFFF, 0xFFFFFFFF), strict=True):
        if code is not None and length <= most:
            return struct.pack(form, code, length)
    raise ValueError("too long for MessagePack")


def pack(value: Any) -> bytes:
    """Write a value."""
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(value: Any, out: bytearray) -> None:
    match value:
        case list() | tuple():
            out += _sized(len(value), 0x90, 15, (None, 0xDC, 0xDD))
            for item in value:
                _pack(item, out)
        case dict():
            out += _sized(len(value), 0x80, 15, (None, 0xDE, 0xDF))
            for key, item in value.items():
                _pack(key, out)
                _pack(item, out)
        case _:
            out += _pack_scalar(value)


def _pack_scalar(value: Any) -> bytes:
    match value:
        case None:
            return b"\xc0"
        case bool():
            return b"\xc3" if value else b"\xc2"
        case int():
            return _pack_int(value)
        case float():
            return struct.pack(">Bd", 0xCB, value)
        case str():
            data = value.encode()
            return _sized(len(data), 0xA0, 31, (0xD9, 0xDA, 0xDB)) + data
        case bytes():
            return _sized(len(value), None, 0, (0xC4, 0xC5, 0xC6)) + value
        case _:
            raise TypeError(f"{type(value).__name__} has no MessagePack form here")


def _pack_int(value: int) -> bytes:
    if 0 <= value < 0x80:
        return bytes([value])
    if -0x20 <= value < 0:
        return bytes([value + 0x100])
    codes = (0xCC, 0xCD, 0xCE, 0xCF) if value >= 0 else (0xD0, 0xD1, 0xD2, 0xD3)
    for code in codes:
        try:
            return bytes([code]) + _STRUCTS[code].pack(value)
        except struct.error:
            continue
    raise ValueError("an integer of more than 64 bits")
