"""The link to the runtime: notices that can't be read, and commands that a broken link loses."""

from collections.abc import Iterator
from random import Random

import parties
import pytest
from helpers import wait_until

from reelusher.backends.runtime import RuntimeLink
from reelusher.core.counters import Counters
from reelusher.core.messages import IncomingRequest, Message, RunFinished
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
