"""The bytes of journals and snapshots, free of I/O: frames with checksums, and what a damaged file proves.

A file begins with `MAGIC`. A frame is a header of 20 bytes (length of the payload, u32; number, u64; CRC-32C
of the payload, u32; CRC-32C of the header so far, u32; all big-endian), then the payload.

An append that was cut short is told from damage to what was acknowledged. It can only be at the end, and it
leaves fewer bytes than its header says, or zeros where data never came (a file may have grown before its
data was written). Anything else that does not fit is refused with its position: a flipped byte in a length
would otherwise pass for a cut, and acknowledged changes would be thrown away silently.
"""

import struct
from dataclasses import dataclass

import google_crc32c

MAGIC = b"reelusher-state-1\n"
HEADER = struct.Struct(">IQII")
MOST_PAYLOAD = 1 << 26  # bytes of one payload: a snapshot of 100,000 tenants has room


class DamagedFileError(Exception):
    """A file holds what can't be read and is no append that was cut short."""

    def __init__(self, position: int, why: str) -> None:
        super().__init__(f"at byte {position}: {why}")
        self.position = position


@dataclass(slots=True, frozen=True)
class Frame:
    """One frame, and where the next begins."""

    number: int
    payload: bytes
    end: int


@dataclass(slots=True, frozen=True)
class Scan:
    """What a file holds: its frames, and where the last whole one ends."""

    frames: tuple[Frame, ...]
    end: int
    torn: int  # bytes after that, of an append that was cut short


def encode(number: int, payload: bytes) -> bytes:
    """Write a frame."""
    if len(payload) > MOST_PAYLOAD:
        raise ValueError(f"a payload of {len(payload)} bytes, {MOST_PAYLOAD} at most")
    head = struct.pack(">IQI", len(payload), number, google_crc32c.value(payload))
    return head + struct.pack(">I", google_crc32c.value(head)) + payload


def scan(data: bytes, first: int | None = None) -> Scan:
    """Read a whole file; raises `DamagedFileError`.

    Frames are numbered without a gap, from `first` where that is known: a file that lacks its beginning, or
    a stale one of the same name, does not pass.
    """
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data) or not data.strip(b"\0"):
            return Scan((), 0, len(data))
        raise DamagedFileError(0, "this is no state file, or of a version that is not known")
    frames: list[Frame] = []
    at, wanted = len(MAGIC), first
    while at < len(data):
        frame = _frame(data, at)
        if frame is None:
            return Scan(tuple(frames), at, len(data) - at)
        if wanted is not None and frame.number != wanted:
            raise DamagedFileError(at, f"the frame has the number {frame.number}, not {wanted}")
        frames.append(frame)
        at, wanted = frame.end, frame.number + 1
    return Scan(tuple(frames), at, 0)


def _frame(data: bytes, at: int) -> Frame | None:
    """Read one frame; None where an append was cut short there."""
    rest = len(data) - at
    if rest < HEADER.size:
        return None
    length, number, payload_crc, head_crc = HEADER.unpack_from(data, at)
    if google_crc32c.value(data[at : at + HEADER.size - 4]) != head_crc:
        if not data[at + HEADER.size - 1 :].strip(b"\0"):
            return None  # the file grew, and of the frame no more came than the beginning of its header
        raise DamagedFileError(at, "the checksum of a header does not fit")
    if length > MOST_PAYLOAD:
        raise DamagedFileError(at, f"a payload of {length} bytes, {MOST_PAYLOAD} at most")
    begin, end = at + HEADER.size, at + HEADER.size + length
    if end > len(data):
        return None
    payload = data[begin:end]
    if google_crc32c.value(payload) != payload_crc:
        if end == len(data) and length and not payload[-1]:
            return None  # payloads end in a byte that is not zero, so its end never came
        raise DamagedFileError(begin, "the checksum of a payload does not fit")
    return Frame(number, payload, end)
