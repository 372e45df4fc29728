"""Frames: damage, incomplete appends and gaps."""

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from reelusher.storage.errors import DamagedFileError
from reelusher.storage.frames import HEADER, MAGIC, encode_frame, scan_frames

PAYLOADS = st.lists(st.binary(min_size=1, max_size=30).map(lambda data: data + b"!"), min_size=1, max_size=6)


@effort(max_examples=200, derandomize=True, database=None, deadline=None)
@given(PAYLOADS, st.data())
def test_flipped_bit_raises_with_its_position(payloads: list[bytes], data: st.DataObject) -> None:
    intact = MAGIC + b"".join(encode_frame(number, payload) for number, payload in enumerate(payloads, 1))
    offset = data.draw(st.integers(0, len(intact) - 1))
    damaged = bytearray(intact)
    damaged[offset] ^= 1 << data.draw(st.integers(0, 7))
    with pytest.raises(DamagedFileError) as caught:
        scan_frames(bytes(damaged), 1)
    assert caught.value.position <= offset


@effort(max_examples=200, derandomize=True, database=None, deadline=None)
@given(PAYLOADS, st.data())
def test_incomplete_append_is_not_damage_even_if_the_file_grew_before_its_data(
    payloads: list[bytes], data: st.DataObject
) -> None:
    frames = [encode_frame(number, payload) for number, payload in enumerate(payloads, 1)]
    intact, last_bytes = MAGIC + b"".join(frames), len(frames[-1])
    cut_bytes = data.draw(st.integers(1, last_bytes))
    zero_bytes = data.draw(st.integers(0, cut_bytes))
    result = scan_frames(intact[:-cut_bytes] + bytes(zero_bytes), 1)
    assert [frame.payload for frame in result.frames] == payloads[:-1]
    assert result.end == len(intact) - last_bytes
    assert result.incomplete_bytes == last_bytes - cut_bytes + zero_bytes


def test_gaps_between_frames_and_files_of_another_format_raise() -> None:
    with pytest.raises(DamagedFileError, match="has the number 3, not 2"):
        scan_frames(MAGIC + encode_frame(1, b"a") + encode_frame(3, b"b"), 1)
    with pytest.raises(DamagedFileError, match="no state file"):
        scan_frames(b'{"tenants": []}')
    with pytest.raises(DamagedFileError, match="the number 5, not 1"):
        scan_frames(MAGIC + encode_frame(5, b"a"), 1)
    assert HEADER.size == 20
    assert scan_frames(MAGIC[:4]).incomplete_bytes == 4
