"""The bytes that the node sends to runtime, vault, catalog, workers and callers, byte for byte."""

import contextlib
import re
import time
from collections.abc import Iterator
from random import Random
from typing import Any

import parties
import pytest
import scenario
from helpers import wait_until
from scenario import scenario_environment

from golden.recordings import load
from reelusher.assembly import parts
from reelusher.backends.runtime import RuntimeLink
from reelusher.codecs.lines import JsonLineDecoder
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.messages import CallReply, IncomingRequest
from reelusher.policy.timing import PERIOD_US

GOLDEN = "exchanges.json"
SCENARIO = """
c1 send 1 slot-search body=first
runtime expect start * slot-search first as X
runtime send wants $X ask-1
vault expect ask * ask-1 as V
vault send $V yes reply-1
runtime expect * * reply-1
runtime send end $X ok done-1
c1 expect 1 ok done-1
c1 send 2 book-visit key=K1 body=second
runtime expect start * book-visit second as Y
c1 send 3 book-visit key=K1 body=second
runtime send end $Y ok done-2
c1 expect 2 ok done-2
c1 expect 3 ok done-2
c1 send 4 day-view body=third
runtime expect start * day-view third as Z
runtime send end $Z failed text
c1 expect 4 * *
c1 send 5 health
c1 expect 5 ok *
c1 send 6 no-such-class body=x
c1 expect 6 * *
a1 send POST /visits key=K2 body=fourth host=single
w1 expect POST /visits fourth
w1 send 201 made
a1 expect 201 made reuse=1 retry=-
a1 send GET /none host=nobody
a1 expect * * * *
catalog expect PUT * passing
"""
VARYING = (
    (re.compile(r'\{"msg":"gauges","cookie":"t\d+"\}\n'), ""),  # sent by a timer, so their number varies
    (re.compile(r"(?<=ask )([0-9a-f]{16}) \d+"), r"\1 TIME"),  # milliseconds until the deadline
    (re.compile(r"(?<=Host: 127\.0\.0\.1:)\d+"), "PORT"),
)


class SteppedClock:
    """The clock of a node and its callers, which stands still unless the test moves it.

    The node's first tick comes `PERIOD_US` after its start, and changes all answers after it.
    """

    def __init__(self) -> None:
        self.now_ns = time.time_ns()

    def time_ns(self) -> int:
        return self.now_ns

    def node_clock(self) -> Clock:
        return Clock(self.time_ns, self.time_ns)

    @contextlib.contextmanager
    def environment_after_a_tick(self, folder: str, changes: dict[str, str]) -> Iterator[dict[str, Any]]:
        """Yield the environment of a scenario once the node has processed its first tick."""
        with scenario_environment(folder, changes) as environment:
            self.now_ns += PERIOD_US * 1000
            notices = environment["node"].node.parts.core.notices
            assert wait_until(lambda: notices.advertised_capacity is not None)
            yield environment


class Recorder:
    """A decoder that also stores the bytes that it is fed."""

    def __init__(self, decoder: Any, data: bytearray) -> None:
        self.decoder, self.data = decoder, data

    def feed(self, data: bytes) -> Iterator[Any]:
        self.data += data
        messages: Iterator[Any] = self.decoder.feed(data)
        return messages


def play_scenario(after_a_tick: bool = False) -> dict[str, str]:
    """Play the scenario; return the bytes that each class of stand-ins read, decoded as Latin-1.

    It is played before the first tick of the node, or between the first and the second one.
    """
    read: dict[str, bytearray] = {}
    clock = SteppedClock()
    original = parties.StandIn.start_reader

    def start_recorded_reader(self: parties.StandIn, decoder: Any, describe: Any, sock: Any) -> None:
        data = read.setdefault(type(self).__name__, bytearray())
        original(self, Recorder(decoder, data), describe, sock)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(parties.StandIn, "start_reader", start_recorded_reader)
        patch.setattr(parts, "Clock", clock.node_clock)
        patch.setattr(parties, "unix_ns", clock.time_ns)
        if after_a_tick:
            patch.setattr(scenario, "scenario_environment", clock.environment_after_a_tick)
        scenario.play(SCENARIO)
    texts = {name: data.decode("latin-1") for name, data in read.items() if data}
    for pattern, replacement in VARYING:
        texts = {name: pattern.sub(replacement, text) for name, text in texts.items()}
    # The node may have sent the catalog a second report before the end: only the first one is compared.
    texts["CatalogParty"] = texts["CatalogParty"][: texts["CatalogParty"].index("}") + 1]
    return texts


def send_commands() -> str:
    """Return what the runtime reads when a link opens and one command of each kind is sent."""
    stand_in = parties.Runtime({})
    link = RuntimeLink(stand_in.address, lambda message: None, Counters(), Random(1))
    data = bytearray()
    stand_in.codec = lambda: (Recorder(JsonLineDecoder(), data), stand_in.describe)  # type: ignore[method-assign]
    link.connect()
    assert wait_until(lambda: link.up)
    request = IncomingRequest("00000000000000aa", 0, b"body \x01", 0, lambda answer: None)
    link.start(request, "day-view")
    link.stop(request.run_id)
    link.resume(request.run_id)
    link.deliver_reply(request.run_id, CallReply(1, b"reply", is_optional=True))
    link.skip_call(request.run_id, 7)
    link.request_gauges("t9")
    assert wait_until(lambda: data.count(b"\n") == 8)
    link.close()
    stand_in.close(["listener"])
    return data.decode("latin-1")


def sent_bytes() -> dict[str, Any]:
    """Return all recorded bytes, as they are sent now."""
    return {
        "scenario": play_scenario(),
        "scenario_after_a_tick": play_scenario(after_a_tick=True),
        "commands": send_commands(),
    }


def test_a_recorded_exchange_is_the_same_byte_for_byte() -> None:
    check_scenario("scenario", play_scenario())


def test_a_recorded_exchange_after_the_first_tick_is_the_same_byte_for_byte() -> None:
    check_scenario("scenario_after_a_tick", play_scenario(after_a_tick=True))


def check_scenario(name: str, sent: dict[str, str]) -> None:
    recorded = load(GOLDEN)[name]
    assert sent.keys() == recorded.keys()
    for stand_in, text in sent.items():
        assert text == recorded[stand_in], stand_in


def test_commands_to_the_runtime_are_the_recorded_ones() -> None:
    assert send_commands() == load(GOLDEN)["commands"]
