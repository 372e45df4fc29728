"""The format of journals and snapshots: frames with checksums. This module does no I/O.

A file begins with `MAGIC`. A frame is a header of 20 bytes (length of the payload, u32; number, u64; CRC-32C
of the payload, u32; CRC-32C of the preceding 16 bytes of the header, u32; all big-endian), then the payload.

An incomplete append is distinguished from damage to acknowledged changes. It can only be at the end of the
file, where it leaves fewer bytes than its header says, or zeros in place of data that was not written (a file
may grow before its data is written). All other invalid data raises an error with its position: a flipped byte
in a length would otherwise look like an incomplete append, and acknowledged changes would be discarded
silently.
"""

import struct
from dataclasses import dataclass

import google_crc32c

from reelusher.storage.errors import DamagedFileError

MAGIC = b"reelusher-state-1\n"
HEADER = struct.Struct(">IQII")
HEADER_WITHOUT_CHECKSUM = struct.Struct(">IQI")
CHECKSUM = struct.Struct(">I")
MAX_PAYLOAD_BYTES = 1 << 26  # enough for a snapshot of 100,000 tenants


@dataclass(slots=True, frozen=True)
class Frame:
    """One frame of a file."""

    number: int
    payload: bytes
    end: int  # offset in the file at which the frame ends


@dataclass(slots=True, frozen=True)
class ScanResult:
    """The complete frames of a file."""

    frames: tuple[Frame, ...]
    end: int  # offset at which the last complete frame ends
    incomplete_bytes: int  # bytes after `end`, left by an append that was not finished


def encode_frame(number: int, payload: bytes) -> bytes:
    """Return a frame as bytes. Raises ValueError if the payload is too long."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"a payload of {len(payload)} bytes, {MAX_PAYLOAD_BYTES} at most")
    header = HEADER_WITHOUT_CHECKSUM.pack(len(payload), number, google_crc32c.value(payload))
    return header + CHECKSUM.pack(google_crc32c.value(header)) + payload


def scan_frames(data: bytes, first_number: int | None = None) -> ScanResult:
    """Return the frames of a file; raises `DamagedFileError`.

    Frames must be numbered without gaps, beginning with `first_number` if it is given. This detects a file
    without its beginning, or an older one of the same name.
    """
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data) or not data.strip(b"\0"):
            return ScanResult((), 0, len(data))
        raise DamagedFileError(0, "this is no state file, or of a version that is not known")
    frames: list[Frame] = []
    offset, expected_number = len(MAGIC), first_number
    while offset < len(data):
        frame = _decode_frame(data, offset)
        if frame is None:
            return ScanResult(tuple(frames), offset, len(data) - offset)
        if expected_number is not None and frame.number != expected_number:
            raise DamagedFileError(offset, f"the frame has the number {frame.number}, not {expected_number}")
        frames.append(frame)
        offset, expected_number = frame.end, frame.number + 1
    return ScanResult(tuple(frames), offset, 0)


def _decode_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at an offset; None for an incomplete append. Raises `DamagedFileError`."""
    if len(data) - offset < HEADER.size:
        return None
    length, number, payload_checksum, header_checksum = HEADER.unpack_from(data, offset)
    if google_crc32c.value(data[offset : offset + HEADER.size - CHECKSUM.size]) != header_checksum:
        if not data[offset + HEADER.size - 1 :].strip(b"\0"):
            return None  # the file grew, but the header was not written completely
        raise DamagedFileError(offset, "the checksum of a header does not fit")
    if length > MAX_PAYLOAD_BYTES:
        raise DamagedFileError(offset, f"a payload of {length} bytes, {MAX_PAYLOAD_BYTES} at most")
    start = offset + HEADER.size
    end = start + length
    if end > len(data):
        return None
    payload = data[start:end]
    if google_crc32c.value(payload) != payload_checksum:
        if end == len(data) and length and not payload[-1]:
            return None  # payloads never end in a zero byte: the end of this one was not written
        raise DamagedFileError(start, "the checksum of a payload does not fit")
    return Frame(number, payload, end)
