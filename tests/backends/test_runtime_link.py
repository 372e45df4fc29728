"""The link to the runtime: notices that can't be read, and commands that a broken link loses."""

from collections.abc import Iterator
from random import Random

import parties
import pytest
from helpers import wait_until

from reelusher.backends.runtime import RuntimeLink
from reelusher.core.counters import Counters
from reelusher.core.messages import CallReply, CallRequested, IncomingRequest, Message, RunFinished
from reelusher.policy.events import Outcome

RUN_ID = "00000000000000aa"
REQUEST = IncomingRequest(RUN_ID, 0, b"body", 0, lambda answer: None)


class LinkUnderTest:
    """A link with one run, the stand-in of its runtime, and the messages that the link posts."""

    def __init__(self) -> None:
        self.runtime = parties.Runtime({})
        self.posted: list[Message] = []
        self.link = RuntimeLink(self.runtime.address, self.posted.append, Counters(), Random(1))
        self.link.connect()
        assert wait_until(lambda: self.link.up)
        self.link.start(REQUEST, "day-view")
        self.runtime.expect(["sync", "0"])
        self.runtime.expect(["start", RUN_ID])

    def break_link(self, last_serial: int) -> None:
        """Close the connection, and wait until the node has opened the next one."""
        self.runtime.close([])
        self.expect_next_link(last_serial)

    def expect_next_link(self, last_serial: int) -> None:
        """Expect the end of the connection, behind commands that were sent again on it, and the next one."""
        while (line := self.runtime.inbox.get(timeout=parties.EXPECT_TIMEOUT_S)) != "closed":
            assert line.startswith("start"), line
        self.runtime.expect(["sync", str(last_serial)])


@pytest.fixture
def started() -> Iterator[LinkUnderTest]:
    started = LinkUnderTest()
    yield started
    started.link.close()
    started.runtime.close(["listener"])


@pytest.mark.parametrize(
    "notice",
    [
        '"msg":"end","how":"ok","duration":3,"blob":"?"',
        '"msg":"wants","blob":"?"',
        '"msg":"end","how":"ok","duration":1e999,"blob":""',
        '"msg":"later","how":"ok"',
    ],
)
def test_notice_that_no_link_can_read_fails_its_run_and_is_not_requested_for_ever(
    started: LinkUnderTest, notice: str
) -> None:
    """Guard against a link that is reopened without end, and against the end of the thread that reads it."""
    raw = ["raw", f'{{{notice},"serial":1,"call":"{RUN_ID}"}}']
    started.runtime.send(raw)
    started.expect_next_link(last_serial=0)  # it may have been corrupted in transit
    started.runtime.send(raw)
    assert wait_until(lambda: RunFinished(RUN_ID, Outcome.ERROR) in started.posted)
    started.break_link(last_serial=1)
    assert wait_until(lambda: started.link.up)


@pytest.mark.parametrize("command", ["stop", "cont"])
def test_command_sent_while_a_notice_is_in_transit_is_sent_again_after_a_broken_link(
    started: LinkUnderTest, command: str
) -> None:
    """Guard against a lost command: the notice acknowledged commands that the runtime had not read."""
    send = {"stop": started.link.stop, "cont": started.link.resume}[command]
    send(RUN_ID)
    started.runtime.expect([command, RUN_ID])
    started.runtime.send(["wants", RUN_ID, "call"])  # sent before the command was read
    assert wait_until(lambda: CallRequested(RUN_ID, 1, b"call") in started.posted)
    started.break_link(last_serial=1)
    started.runtime.expect([command, RUN_ID])
    started.runtime.expect(["nothing"])


@pytest.mark.parametrize(("is_optional", "resent"), [(True, ["omit", RUN_ID, "1"]), (False, ["nothing"])])
def test_reply_that_a_broken_link_may_have_delivered_is_not_given_to_the_next_call(
    started: LinkUnderTest, is_optional: bool, resent: list[str]
) -> None:
    """Guard against a run that gets the reply to its earlier call: `give` doesn't name the call."""
    started.runtime.send(["wants", RUN_ID, "call-1"])
    assert wait_until(lambda: CallRequested(RUN_ID, 1, b"call-1") in started.posted)
    started.link.deliver_reply(RUN_ID, CallReply(1, b"reply-1", is_optional))
    started.runtime.expect(["give", RUN_ID, "reply-1"])
    started.break_link(last_serial=1)
    started.runtime.expect(resent)
    started.runtime.send(["wants", RUN_ID, "call-2"])  # the run had gone on before it read anything again
    assert wait_until(lambda: CallRequested(RUN_ID, 2, b"call-2") in started.posted)
    started.link.deliver_reply(RUN_ID, CallReply(2, b"reply-2", is_optional))
    started.runtime.expect(["give", RUN_ID, "reply-2"])


def test_reply_that_no_link_has_carried_is_delivered_by_the_next_one(started: LinkUnderTest) -> None:
    """Guard against a reply that is lost with a link that had broken before it."""
    started.runtime.send(["wants", RUN_ID, "call"])
    assert wait_until(lambda: CallRequested(RUN_ID, 1, b"call") in started.posted)
    started.runtime.ready = False
    started.break_link(last_serial=1)
    assert not started.link.up
    started.link.deliver_reply(RUN_ID, CallReply(1, b"reply", is_optional=False))
    started.runtime.ready = True
    started.break_link(last_serial=1)
    started.runtime.expect(["give", RUN_ID, "reply"])


def test_rejected_command_acknowledges_no_other_command_of_its_run(started: LinkUnderTest) -> None:
    started.link.deliver_reply(RUN_ID, CallReply(1, b"reply", is_optional=True))
    started.link.stop(RUN_ID)
    started.runtime.expect(["give", RUN_ID])
    started.runtime.expect(["stop", RUN_ID])
    started.runtime.send(["nack", RUN_ID, "give"])
    assert wait_until(lambda: len(started.link._unacknowledged) == 2)
    started.break_link(last_serial=0)
    started.runtime.expect(["start", RUN_ID])
    started.runtime.expect(["stop", RUN_ID])
    started.runtime.expect(["nothing"])
