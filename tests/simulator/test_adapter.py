"""Adapter for the simulator, tested by the bytes that it reads and writes."""

import io as streams
import json
import struct
from typing import Any

import pytest

from reelusher.config.platform_settings import settings_from_json
from reelusher.policy.actions import (
    Action,
    AdvertiseCapacity,
    AttachToOriginal,
    Call,
    CloseIdleConnections,
    FailRequest,
    ForgetKey,
    Preempt,
    Reject,
    RememberKey,
    ReportHealth,
    Run,
    SetTimer,
    SkipCall,
)
from reelusher.policy.events import Gauges, Outcome, Request, RunEnded, Tick
from reelusher.simulator import adapter, frames

SETTINGS: dict[str, Any] = {
    "categories": [{"deadline_us": 8_000_000, "effect": "pure", "objective_us": 2_000_000, "worth": 2.0}],
    "family_info": {"cores": 2, "ram_kb": 10_000.0, "blowup": 8.0, "gauges": ["sockets", "new", "cpu_busy"]},
    "rules": {
        "tip_multiple": 6.0,
        "fall_us": 2_000_000,
        "cold_from": 0.3,
        "cold_us": 9_000_000,
        "drain_grace_us": 2_000_000,
        "answer_slack_us": 80_000,
    },
    "unknown": 1,
}


def frame(number: int, now_us: int, records: list[bytes], tail: bytes = b"") -> bytes:
    """Return a batch of events."""
    body = b"".join(record.ljust(frames.EVENT_SIZE, b"\0") for record in records) + tail
    return frames.BATCH_HEADER.pack(number, now_us, len(body) + 4, len(records)) + body


def create(instance_number: int, text: bytes, offset: int = 0) -> bytes:
    """Return a record that starts an instance."""
    return frames.CREATE_RECORD.pack(4, instance_number, 1, offset, len(text))


def knock(instance_number: int, request_id: int) -> bytes:
    """Return a record of an arriving request."""
    return frames.KNOCK_RECORD.pack(5, instance_number, request_id, 0, 0, 0, 0, 0, 10.0, 0.5, 0, 3, 1_000, 0)


def replies(data: bytes) -> list[tuple[int, list[bytes], bytes]]:
    """Return the number, the action records and the tail of each reply to these batches."""
    sink = streams.BytesIO()
    adapter.serve(streams.BytesIO(data), sink)
    parsed, remaining = [], sink.getvalue()
    while remaining:
        number, count, size = frames.REPLY_HEADER.unpack_from(remaining)
        body, remaining = remaining[12 : 12 + size], remaining[12 + size :]
        records_size = count * frames.ACTION_SIZE
        parsed.append(
            (number, [body[start : start + 24] for start in range(0, records_size, 24)], body[records_size:])
        )
    return parsed


def settings_text(**changes: Any) -> bytes:
    return json.dumps({**SETTINGS, **changes}).encode()


def test_empty_batch_has_an_empty_reply() -> None:
    assert replies(bytes.fromhex("01000000 5a5c800000000000 04000000 00000000")) == [(1, [], b"")]


def test_example_records_of_the_wire_page_are_read() -> None:
    body = bytes.fromhex(
        "0503000000c4913a5d1f780300000000640ad2557c3bf09180a90300e02e00000000c4410000203f01"
        "11003a070000192b6f0ed1d10e0000"
    )
    request = frames.read_event(5, body.ljust(56, b"\0"), 0, [])
    assert request == Request(
        0x3781F5D3A91C4, 0, 17, 0x91F03B7C55D20A64, 0, 24.5, 12_000, 240_000, 1_850, 0xED1D10E6F2B19, False
    )
    done_record = bytes.fromhex("0103000000c4913a5d1f780300640044480000").ljust(56, b"\0")
    assert frames.read_event(1, done_record, 0, []) == RunEnded(0x3781F5D3A91C4, Outcome.OK, 18_500)


def test_gauges_are_mapped_by_name() -> None:
    body = struct.pack("<BIQB3f", 9, 1, 5, 3, 40.0, 9.0, 0.5).ljust(56, b"\0")
    _, names = settings_from_json(settings_text())
    assert frames.read_event(9, body, 0, names) == Tick(5, Gauges(busy_fraction=0.5, connections=40.0))


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (Run(7), "03 01000000 0700000000000000"),
        (Preempt(7), "0c 01000000 0700000000000000"),
        (SkipCall(7), "04 01000000 0700000000000000"),
        (FailRequest(7), "02 01000000 0700000000000000"),
        (AttachToOriginal(7), "0e 01000000 0700000000000000"),
        (ForgetKey(7), "06 01000000 0700000000000000"),
        (Call(7, 9), "01 01000000 0700000000000000 0900000000000000"),
        (Reject(7, 250_000, True), "09 01000000 0700000000000000 90d00300 01"),
        (RememberKey(7, 9), "0d 01000000 0700000000000000 09000000"),
        (ReportHealth(True, True), "08 01000000 01 01"),
        (AdvertiseCapacity(0.25), "0f 01000000 0000803e"),
        (CloseIdleConnections(9), "05 01000000 09000000"),
        (SetTimer(500_000, 77), "0a 01000000 20a10700 4d00000000000000"),
    ],
)
def test_actions_are_encoded_as_the_wire_page_specifies(action: Action, expected: str) -> None:
    assert frames.write_action(1, action) == bytes.fromhex(expected.replace(" ", "")).ljust(24, b"\0")


def test_instances_are_created_run_and_replaced_within_one_batch() -> None:
    text = settings_text()
    first = frame(1, 10, [create(1, text), create(2, text)], text)
    second = frame(2, 20, [knock(1, 5), knock(2, 6), frames.INSTANCE.pack(2, 1), create(1, text)], text)
    third = frame(3, 30, [knock(1, 5)])
    parsed_replies = replies(first + second + third)
    assert [number for number, _, _ in parsed_replies] == [1, 2, 3]
    instances_that_ran = [
        [record[1] for record in records if record[0] == 3] for _, records, _ in parsed_replies
    ]
    assert instances_that_ran == [[], [2], [1]]


def failure_text(text: bytes) -> str:
    """Return the failure that is reported for an instance with these settings."""
    ((_, (record,), tail),) = replies(frame(1, 10, [create(1, text)], text))
    assert record[0] == 11
    return tail.decode()


def test_missing_setting_is_named() -> None:
    for table, key in (("family_info", "cores"), ("family_info", "ram_kb"), ("rules", "fall_us")):
        broken = {**SETTINGS, table: {name: value for name, value in SETTINGS[table].items() if name != key}}
        assert f"{table}.{key}" in failure_text(json.dumps(broken).encode())
    assert "not JSON" in failure_text(b"{")


def test_exception_in_the_policy_is_reported_with_its_traceback(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: Any) -> None:
        raise RuntimeError("a fault in the module")

    monkeypatch.setattr("reelusher.simulator.adapter.Controller.handle", broken)
    assert "RuntimeError: a fault in the module" in failure_text(settings_text())


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\1\0\0", "header cut short"),
        (frame(1, 0, [knock(1, 1)])[:-1], "batch 1 cut short"),
        (frames.BATCH_HEADER.pack(1, 0, 3, 0), "length 3 is too small"),
        (frame(4, 0, [b"\x63"]), "batch 4, record 0: unknown event code 99"),
        (frame(1, 0, [create(1, b"{}", 1 << 31)], b"{}"), "settings reach past the end"),
        (frame(1, 0, [knock(9, 1)]), "instance 9 was never created"),
    ],
)
def test_malformed_input_yields_one_line_on_stderr_and_an_error_status(
    data: bytes, message: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    class StandardInput:
        buffer = streams.BytesIO(data)

    class StandardOutput:
        buffer = streams.BytesIO()

    monkeypatch.setattr("sys.stdin", StandardInput)
    monkeypatch.setattr("sys.stdout", StandardOutput)
    assert adapter.main() == 1
    error = capsys.readouterr().err
    assert message in error
    assert error.count("\n") == 1
    assert StandardOutput.buffer.getvalue() == b""


def test_names_and_other_instances_leave_the_actions_unchanged() -> None:
    def actions(name: str, instances: tuple[int, ...]) -> list[bytes]:
        text = settings_text(
            categories=[{**SETTINGS["categories"][0], "name": name}],
            zones=[name],
            layers=[name],
            tenants=[{"name": name, "share": 1.0, "allowance_per_s": 5.0}],
        )
        batches = [frame(1, 10, [create(instance, text) for instance in instances], text)]
        times_us = range(20, 400_000, 20_000)
        batches += [
            frame(now_us, now_us, [knock(instance, now_us) for instance in instances]) for now_us in times_us
        ]
        return [
            record[5:] for _, records, _ in replies(b"".join(batches)) for record in records if record[1] == 1
        ]

    actions_alone = actions("one", (1,))
    assert len(actions_alone) > 3
    assert actions("other", (1,)) == actions_alone == actions("one", (3, 1, 2))
