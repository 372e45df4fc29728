"""The part of MessagePack that MessagePack-RPC needs: all types but extensions.

`Decoder` is fed bytes as they arrive and yields complete values. A length above its limit is rejected as soon
as the header is read, before anything of that size is read or allocated.
"""

import struct
from collections.abc import Iterator
from typing import Any

from reelusher.codecs.errors import MalformedError

MAX_BYTES = 1 << 16  # size limit of one string or binary
MAX_ITEMS = 256  # limit on the items of an array and the entries of a map
MAX_DEPTH = 8  # limit on arrays and maps within each other
MAX_FRAME_BYTES = 1 << 18  # size limit of one complete value
MAX_FRAME_VALUES = 1 << 16  # limit on the values in one complete value, itself included
VALUE_BYTES = 80  # memory of a decoded value beside its text: a small object and its place in a container
CHARACTER_BYTES = 4  # memory of a decoded character, at most


class _IncompleteValueError(Exception):
    """The value continues after the bytes received so far."""


_NUMBER_FORMATS = {
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
_LENGTH_FORMATS = {
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
_STRUCTS = {code: struct.Struct(text) for code, text in (_NUMBER_FORMATS | _LENGTH_FORMATS).items()}
_CONSTANTS = {0xC0: None, 0xC2: False, 0xC3: True}


class _OpenContainer:
    """An array or a map whose items are still being read."""

    __slots__ = ("is_map", "items", "remaining")

    def __init__(self, length: int, is_map: bool) -> None:
        self.remaining = 2 * length if is_map else length  # values to be read, two for each entry of a map
        self.items: list[Any] = []
        self.is_map = is_map

    def value(self) -> Any:
        """Return the complete container."""
        return dict(zip(self.items[::2], self.items[1::2], strict=True)) if self.is_map else self.items


class Decoder:
    """Splits a stream into values. Decoded parts of a value are not decoded again when more bytes arrive."""

    def __init__(
        self, max_frame_bytes: int = MAX_FRAME_BYTES, max_frame_values: int = MAX_FRAME_VALUES
    ) -> None:
        """Limit a complete value to so many bytes, and to so many values within it.

        Decoded, an empty map takes 70 times the memory of its byte, and as much time as a long string.
        """
        self._max_frame_bytes = max_frame_bytes
        self._max_frame_values = max_frame_values
        self._buffer = bytearray()
        self._position = 0
        self._frame_bytes = 0  # bytes read of the value that is not complete yet
        self._frame_values = 0  # values read of it
        self._open_containers: list[_OpenContainer] = []

    @property
    def partial(self) -> bool:
        """Whether a value has started and is not complete."""
        return bool(self._buffer or self._open_containers)

    @property
    def held_bytes(self) -> int:
        """The memory that the incomplete value takes at most."""
        return len(self._buffer) + self._frame_bytes * CHARACTER_BYTES + self._frame_values * VALUE_BYTES

    def clear(self) -> None:
        """Drop the incomplete value."""
        self._buffer.clear()
        self._open_containers.clear()
        self._frame_bytes = self._frame_values = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Add received bytes and yield the values that are complete. Raises `MalformedError`."""
        self._buffer += data
        self._position = 0
        try:
            while self._position < len(self._buffer):
                start = self._position
                try:
                    value = self._read_value()
                except _IncompleteValueError:
                    self._position = start
                    break
                finally:
                    self._frame_bytes += self._position - start
                self._frame_values += 1
                self._check_frame_size()
                if not isinstance(value, _OpenContainer):
                    value = self._append(value)
                if not isinstance(value, _OpenContainer):
                    self._frame_bytes = self._frame_values = 0
                    yield value
        finally:
            del self._buffer[: self._position]
            self._position = 0
        if self._frame_bytes + len(self._buffer) > self._max_frame_bytes:
            raise MalformedError(f"a value of more than {self._max_frame_bytes} bytes")

    def _check_frame_size(self) -> None:
        if self._frame_bytes > self._max_frame_bytes:
            raise MalformedError(f"a value of more than {self._max_frame_bytes} bytes")
        if self._frame_values > self._max_frame_values:
            raise MalformedError(f"a value of more than {self._max_frame_values} values")

    def _append(self, value: Any) -> Any:
        """Append a value to the innermost open container, and close the containers that this completes.

        Returns the container that is still open, or else the complete outermost value.
        """
        while self._open_containers:
            top = self._open_containers[-1]
            if top.is_map and top.remaining % 2 == 0 and not isinstance(value, (str, int, bytes)):
                raise MalformedError("a map key that is neither a string nor a number")
            top.items.append(value)
            top.remaining -= 1
            if top.remaining:
                return top
            value = self._open_containers.pop().value()
        return value

    def _take_bytes(self, size: int) -> bytes:
        end = self._position + size
        if end > len(self._buffer):
            raise _IncompleteValueError
        data = bytes(self._buffer[self._position : end])
        self._position = end
        return data

    def _number(self, code: int) -> Any:
        layout = _STRUCTS[code]
        if self._position + layout.size > len(self._buffer):
            raise _IncompleteValueError
        (number,) = layout.unpack_from(self._buffer, self._position)
        self._position += layout.size
        return number

    def _read_value(self) -> Any:
        """Read a value; if it is an array or a map with items, read its header and return it as open."""
        code = self._buffer[self._position]
        self._position += 1
        if code < 0x80:
            return code
        if code >= 0xE0:
            return code - 0x100
        if 0xA0 <= code < 0xC0:
            return self._text(code & 0x1F)
        if code < 0x90:
            return self._open_container(code & 0x0F, is_map=True)
        if code < 0xA0:
            return self._open_container(code & 0x0F, is_map=False)
        if code in _CONSTANTS:
            return _CONSTANTS[code]
        if code in _NUMBER_FORMATS:
            return self._number(code)
        if code not in _LENGTH_FORMATS:
            raise MalformedError(f"type byte {code:#04x} is not supported")
        length = self._number(code)
        if code >= 0xDC:
            return self._open_container(length, is_map=code >= 0xDE)
        return self._text(length) if code >= 0xD9 else self._take_bytes(self._check_length(length, MAX_BYTES))

    @staticmethod
    def _check_length(length: int, max_length: int) -> int:
        if length > max_length:
            raise MalformedError(f"a length of {length}, {max_length} at most")
        return length

    def _text(self, length: int) -> str:
        try:
            return self._take_bytes(self._check_length(length, MAX_BYTES)).decode()
        except UnicodeDecodeError:
            raise MalformedError("a string that is not UTF-8") from None

    def _open_container(self, length: int, is_map: bool) -> Any:
        if len(self._open_containers) >= MAX_DEPTH:
            raise MalformedError(f"nested more than {MAX_DEPTH} deep")
        container = _OpenContainer(self._check_length(length, MAX_ITEMS), is_map)
        if not length:
            return container.value()
        self._open_containers.append(container)
        return container


def _length_header(
    length: int, short_code: int | None, short_max: int, codes: tuple[int | None, int, int]
) -> bytes:
    """Encode the type byte and the length of a string, binary, array or map.

    Lengths up to `short_max` are part of the type byte `short_code`; `codes` are the type bytes before
    lengths of one, two and four bytes. Each code is None where the type has no such form. Raises ValueError
    if the length is too large.
    """
    if short_code is not None and length <= short_max:
        return bytes([short_code | length])
    for code, layout, max_length in zip(
        codes, (">BB", ">BH", ">BI"), (0xFF, 0xFFFF, 0xFFFFFFFF), strict=True
    ):
        if code is not None and length <= max_length:
            return struct.pack(layout, code, length)
    raise ValueError("too long for MessagePack")


def pack(value: Any) -> bytes:
    """Encode a value. Raises TypeError or ValueError if it has no MessagePack form."""
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(value: Any, out: bytearray) -> None:
    match value:
        case list() | tuple():
            out += _length_header(len(value), 0x90, 15, (None, 0xDC, 0xDD))
            for item in value:
                _pack(item, out)
        case dict():
            out += _length_header(len(value), 0x80, 15, (None, 0xDE, 0xDF))
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
            return _length_header(len(data), 0xA0, 31, (0xD9, 0xDA, 0xDB)) + data
        case bytes():
            return _length_header(len(value), None, 0, (0xC4, 0xC5, 0xC6)) + value
        case _:
            raise TypeError(f"{type(value).__name__} cannot be encoded as MessagePack")


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
