"""The codecs against bytes of the protocols, and on streams that are split in any way."""

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from reelusher.codecs import ajp13, http1, lines, msgpack
from reelusher.codecs.errors import MalformedError


def unhex(text: str) -> bytes:
    return bytes.fromhex(text.replace("'", ""))


VALUES = [
    (None, "c0"),
    (True, "c3"),
    (False, "c2"),
    (0, "00"),
    (127, "7f"),
    (128, "cc80"),
    (256, "cd0100"),
    (65536, "ce00010000"),
    (1 << 32, "cf0000000100000000"),
    (-1, "ff"),
    (-32, "e0"),
    (-33, "d0df"),
    (-129, "d1ff7f"),
    (-32769, "d2ffff7fff"),
    (-(1 << 31) - 1, "d3ffffffff7fffffff"),
    (1.5, "cb3ff8000000000000"),
    ("", "a0"),
    ("abc", "a3616263"),
    ("x" * 32, "d920" + "78" * 32),
    ("x" * 256, "da0100" + "78" * 256),
    (b"", "c400"),
    (b"\1\2", "c4020102"),
    (b"x" * 256, "c50100" + "78" * 256),
    ([], "90"),
    ([1, [2]], "92019102"),
    ([0] * 16, "dc0010" + "00" * 16),
    ({}, "80"),
    ({"a": 1}, "81a16101"),
    ([1, 7, None, [b"r", {"feedback": "2.5"}]], "940107c092c4017281a8666565646261636ba3322e35"),
]


@pytest.mark.parametrize(("value", "text"), VALUES)
def test_messagepack_is_written_and_read_as_its_specification_says(value: Any, text: str) -> None:
    assert msgpack.pack(value) == unhex(text)
    assert list(msgpack.Decoder().feed(unhex(text))) == [value]


@pytest.mark.parametrize(
    "text",
    ["c1", "c7010041", "d90180", "81c001", "dbffffffff", "c6ffffffff", "ddffffffff", "dfffffffff", "91" * 10],
)
def test_messagepack_that_is_malformed_or_exceeds_a_limit_is_rejected(text: str) -> None:
    with pytest.raises(MalformedError):
        list(msgpack.Decoder().feed(unhex(text)))


def test_a_value_that_never_ends_is_rejected() -> None:
    decoder = msgpack.Decoder()
    with pytest.raises(MalformedError):  # many strings, each within its limit
        for _ in range(6):
            list(decoder.feed(unhex("dc0100") * (decoder._buffer == b"") + unhex("daf000") + b"x" * 0xF000))


def test_messagepack_received_byte_by_byte_is_decoded_once() -> None:
    """A decoder that started again with each byte took time quadratic in the length of the value."""
    data, reads = msgpack.pack([[number] * 200 for number in range(200)]), 0
    decoded: list[Any] = []

    class CountingDecoder(msgpack.Decoder):
        def _read_value(self) -> Any:
            nonlocal reads
            reads += 1
            return super()._read_value()

    decoder = CountingDecoder()
    for at in range(len(data)):
        decoded += decoder.feed(data[at : at + 1])
    assert decoded == [[[number] * 200 for number in range(200)]]
    assert not decoder.partial
    assert reads < 2 * len(data)


AJP_REQUEST = (
    "1234006c 02 02 0008 485454502f312e31 00 0005 2f64617973 00 0009 3132372e302e302e31 00 ffff"
    " 0006 636c696e6963 00 0050 00 0002 a00b 0006 636c696e6963 00 0003 782d61 00 0001 31 00"
    " 05 0003 613d31 00 0a 000f 414a505f52454d4f54455f504f5254 00 0004 35303030 00 ff"
)


def ajp_packet(text: str) -> bytes:
    """Convert hexadecimal text to a packet, and set the length in its header."""
    data = bytes.fromhex(text)
    return data[:2] + (len(data) - 4).to_bytes(2, "big") + data[4:]


def test_a_forwarded_request_is_read_and_written_as_apache_does() -> None:
    data = ajp_packet(AJP_REQUEST)
    (payload,) = ajp13.PacketDecoder(ajp13.TO_CONTAINER).feed(data)
    request = ajp13.read_forward(payload)
    assert request == ajp13.ForwardedRequest(
        "GET",
        "/days",
        "HTTP/1.1",
        "127.0.0.1",
        None,
        "clinic",
        80,
        False,
        [("host", "clinic"), ("x-a", "1")],
        {"query_string": "a=1"},
        [("AJP_REMOTE_PORT", "5000")],
    )
    assert ajp13.write_forward(request) == data


@pytest.mark.parametrize(
    ("reply", "text"),
    [
        (
            ajp13.ResponseHead(200, "OK", (("Content-Type", "text/plain"), ("X-A", "1"))),
            "4142 0023 04 00c8 0002 4f4b 00 0002 a001 000a 746578742f706c61696e 00 0003 582d41 00 0001 31 00",
        ),
        (ajp13.ResponseBody(b"abc"), "4142 0007 03 0003 616263 00"),
        (ajp13.ResponseEnd(True), "4142 0002 05 01"),
        (ajp13.ResponseEnd(False), "4142 0002 05 00"),
        (ajp13.BodyRequest(8186), "4142 0003 06 1ffa"),
        (ajp13.Pong(), "4142 0001 09"),
    ],
)
def test_replies_of_a_container_are_encoded_and_decoded(reply: ajp13.Reply, text: str) -> None:
    data = bytes.fromhex(text)
    assert ajp13.write_reply(reply) == data
    (payload,) = ajp13.PacketDecoder(ajp13.TO_SERVER).feed(data)
    assert ajp13.read_reply(payload) == reply


def test_parts_of_a_body_are_encoded_and_decoded() -> None:
    assert ajp13.write_body(b"abc") == bytes.fromhex("1234 0005 0003 616263")
    assert ajp13.write_body(b"") == bytes.fromhex("1234 0000")
    assert ajp13.read_body(bytes.fromhex("0003616263")) == b"abc"
    assert ajp13.read_body(b"") == ajp13.read_body(b"\0\0") == b""


def test_a_response_is_split_into_packets_that_fit() -> None:
    data = ajp13.write_response(ajp13.ResponseHead(200, "OK"), b"x" * 20_000, True)
    replies = [ajp13.read_reply(payload) for payload in ajp13.PacketDecoder(ajp13.TO_SERVER).feed(data)]
    assert [len(r.data) for r in replies if isinstance(r, ajp13.ResponseBody)] == [8184, 8184, 3632]


def test_a_method_without_a_code_is_sent_as_an_attribute() -> None:
    (payload,) = ajp13.PacketDecoder(ajp13.TO_CONTAINER).feed(
        ajp13.write_forward(ajp13.ForwardedRequest("PATCH"))
    )
    assert payload[1] == ajp13.STORED_METHOD
    assert ajp13.read_forward(payload).method == "PATCH"


def forward_with(attributes: str) -> bytes:
    (payload,) = ajp13.PacketDecoder(ajp13.TO_CONTAINER).feed(ajp13.write_forward(ajp13.ForwardedRequest()))
    return payload[:-1] + bytes.fromhex(attributes)


@pytest.mark.parametrize(
    "attributes", ["01 0001 78 00 ff", "02 0001 78 00 ff", "0a 0003 782e79 00 0001 31 00 ff"]
)
def test_attributes_that_web_servers_never_send_are_forbidden(attributes: str) -> None:
    with pytest.raises(ajp13.ForbiddenAttributeError):
        ajp13.read_forward(forward_with(attributes))


@pytest.mark.parametrize("attributes", ["", "05 0009 78 00 ff", "05 0001 78 01 ff", "7e ff"])
def test_malformed_attributes_are_rejected(attributes: str) -> None:
    with pytest.raises(MalformedError):
        ajp13.read_forward(forward_with(attributes))


@pytest.mark.parametrize("lengths", [("1", "2"), ("-1",), ("1x",)])
def test_lengths_that_could_be_read_in_two_ways_are_malformed(lengths: tuple[str, ...]) -> None:
    headers = [("content-length", length) for length in lengths]
    data = ajp13.write_forward(ajp13.ForwardedRequest(headers=headers))
    (payload,) = ajp13.PacketDecoder(ajp13.TO_CONTAINER).feed(data)
    with pytest.raises(MalformedError):
        ajp13.read_forward(payload).body_size()


@pytest.mark.parametrize("data", ["4142000101", "1234ffff", "0000"])
def test_packets_with_wrong_magic_or_size_are_rejected_by_their_header(data: str) -> None:
    with pytest.raises(MalformedError):
        list(ajp13.PacketDecoder(ajp13.TO_CONTAINER).feed(bytes.fromhex(data) + b"\0\0"))


@pytest.mark.parametrize(
    ("make", "data"),
    [
        (http1.Decoder, b"nonsense\r\n\r\n"),
        (http1.Decoder, b"GET / HTTP/1.1\r\nno-colon\r\n\r\n"),
        (http1.Decoder, b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        (http1.Decoder, b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
        (http1.Decoder, b"GET / HTTP/1.1\r\nContent-Length: 9999999999\r\n\r\n"),
        (http1.Decoder, b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        (http1.Decoder, b"x" * 20_000),
        (lines.JsonLineDecoder, b"[1]\n"),
        (lines.JsonLineDecoder, b"{\n"),
        (lines.JsonLineDecoder, b"x" * (1 << 20) + b"x"),
        (lines.DownstreamReplyDecoder, b"one\r\n"),
        (lines.DownstreamReplyDecoder, b"a yes -1\r\n"),
        (lines.DownstreamReplyDecoder, b"a yes x\r\n"),
        (lines.DownstreamReplyDecoder, b"a yes\r\n"),
        (lines.DownstreamReplyDecoder, b"x" * 300),
        (lines.DownstreamReplyDecoder, b"\xff\xfe\r\n"),
        (lines.DownstreamReplyDecoder, b"a yes 999999999\r\n"),
        (lines.DownstreamReplyDecoder, b"a yes 1\r\nab\r\n"),
    ],
)
def test_malformed_lines_and_messages_are_rejected(make: Callable[[], Any], data: bytes) -> None:
    with pytest.raises(MalformedError):
        list(make().feed(data))


REPORT = b'PUT /catalog/register/n3 HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n{"status":"passing"}'


def test_a_report_and_a_call_are_encoded_as_the_protocol_says() -> None:
    assert http1.request("PUT", "/catalog/register/n3", b'{"status":"passing"}', {"Host": "h"}) == REPORT
    assert lines.encode_call("9b1f", 250, b"ab") == b"ask 9b1f 250 2\r\nab\r\n"
    assert lines.encode_cancel("9b1f") == b"unask 9b1f\r\n"
    assert lines.encode_json_line({"msg": "sync", "serial": 0}) == b'{"msg":"sync","serial":0}\n'
    assert lines.decode_body(lines.encode_body(b"\0\xff")) == b"\0\xff"
    with pytest.raises(MalformedError):
        lines.decode_body("no base64!")


STREAMS: list[tuple[Callable[[], Any], bytes]] = [
    (msgpack.Decoder, b"".join(msgpack.pack(value) for value, _ in VALUES)),
    (lines.JsonLineDecoder, b'{"a":1}\n\n{"b":"x"}\n'),
    (lines.DownstreamReplyDecoder, b"a yes 3\r\n\r\nx\r\nb notnow\r\n"),
    (http1.Decoder, REPORT + b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"),
    (
        lambda: ajp13.PacketDecoder(ajp13.TO_SERVER),
        ajp13.write_response(ajp13.ResponseHead(200, "OK"), b"x" * 99, True),
    ),
]


@seed(1)
@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.sampled_from(STREAMS), st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_streams_are_decoded_alike_however_they_are_split(
    stream: tuple[Callable[[], Any], bytes], sizes: list[int]
) -> None:
    make, data = stream
    expected, decoder, decoded, position = list(make().feed(data)), make(), [], 0
    while position < len(data):
        size = sizes[position % len(sizes)]
        decoded += list(decoder.feed(data[position : position + size]))
        position += size
    assert decoded == expected
    assert len(expected) > 1


@seed(1)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.sampled_from([make for make, _ in STREAMS]), st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(make: Callable[[], Any], data: bytes) -> None:
    try:
        for item in make().feed(data):
            if isinstance(item, bytes):
                ajp13.read_reply(item)
    except MalformedError:
        pass
