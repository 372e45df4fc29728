"""The vault: calls to the next tier over a shared connection."""

import queue
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from reelusher import interface as io
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.model import CallOver, Message
from reelusher.net import Address, Outbox, connect, spawn
from reelusher.wire import lines

IDLE_S = 7.0  # a connection that stands idle longer is not used again: the vault closes it at 10 s
CONNECT_S = 1.0
BACKLOG_BYTES = 4 << 20
MOST_SPOILT = 500  # given-up calls on one connection before it is replaced
WORDS = {"yes": io.Outcome.OK, "notnow": io.Outcome.REJECTED, "failed": io.Outcome.ERROR,
         "overdue": io.Outcome.TIMEOUT, "pointless": io.Outcome.REJECTED}


@dataclass(slots=True, frozen=True)
class Wanted:
    """A call that is to be made."""

    call: str
    ticket: int
    until_us: int
    body: bytes


@dataclass(slots=True, frozen=True)
class GivenUp:
    """A call that nobody waits for any more."""

    call: str
    ticket: int


class Line:
    """One connection to the vault."""

    def __init__(self, address: Address, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.outbox = Outbox(sock, BACKLOG_BYTES)
        self.lock = threading.Lock()
        self.open: dict[str, int] = {}  # calls and their tickets
        self.spoilt: set[str] = set()  # calls given up here: a late reply could be taken for the next call's
        self.used = time.monotonic()
        self.broken = False

    def usable(self, call: str) -> bool:
        """Tell whether a call may go out here."""
        with self.lock:
            fresh = bool(self.open) or time.monotonic() - self.used < IDLE_S
            return (not self.broken and not self.outbox.closed and fresh and call not in self.spoilt
                    and len(self.spoilt) < MOST_SPOILT)

    def take(self, call: str) -> int | None:
        """Note that a call is over here, and return its ticket."""
        with self.lock:
            self.used = time.monotonic()
            return self.open.pop(call, None)


class Vault:
    """Makes calls. The owner only queues them; a thread connects and sends, one a connection reads."""

    def __init__(self, address: Address, post: Callable[[Message], None], counters: Counters,
                 clock: Clock) -> None:
        self._address = address
        self._post = post
        self._counters = counters
        self._clock = clock
        self._queue: queue.SimpleQueue[Wanted | GivenUp | None] = queue.SimpleQueue()
        self._line: Line | None = None  # where calls go out
        self._lines: set[Line] = set()  # all that are open, with calls of earlier connections

    def start(self) -> None:
        """Start to carry calls."""
        spawn("vault-sender", self._send)

    def close(self) -> None:
        """End all connections."""
        self._queue.put(None)
        for line in list(self._lines):
            line.outbox.close()

    def move(self, address: Address) -> None:
        """Make new calls at another address; those that are out end where they were made."""
        self._address = address

    def ask(self, call: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a call."""
        self._queue.put(Wanted(call, ticket, until_us, body))

    def unask(self, call: str, ticket: int) -> None:
        """Give a call up."""
        self._queue.put(GivenUp(call, ticket))

    def _send(self) -> None:
        while (item := self._queue.get()) is not None:
            if isinstance(item, GivenUp):
                self._give_up(item)
            else:
                self._make(item)

    def _make(self, wanted: Wanted) -> None:
        line = self._usable_line(wanted.call)
        if line is None:  # nothing was sent, so nothing ran
            self._post(CallOver(wanted.call, wanted.ticket, io.Outcome.UNREACHABLE))
            return
        left_ms = (wanted.until_us - self._clock.now()) // 1000
        if left_ms < 1:
            self._post(CallOver(wanted.call, wanted.ticket, io.Outcome.TIMEOUT))
            return
        with line.lock:
            lost = line.broken
            if not lost:
                line.open[wanted.call] = wanted.ticket
                line.used = time.monotonic()
        if lost:  # it broke before anything of this call was written
            self._post(CallOver(wanted.call, wanted.ticket, io.Outcome.UNREACHABLE))
            return
        line.outbox.send(lines.vault_ask(wanted.call, left_ms, wanted.body))

    def _usable_line(self, call: str) -> Line | None:
        address = self._address
        if self._line is not None and self._line.address == address and self._line.usable(call):
            return self._line
        if self._line is not None:
            with self._line.lock:
                idle = not self._line.open
            if idle:
                self._line.outbox.close()
        try:
            self._line = Line(address, connect(address, CONNECT_S))
        except OSError as error:
            self._line = None
            self._counters.warn("vault.unreachable", "vault: no connection: {}", error)
            return None
        line = self._line
        self._lines.add(line)
        spawn("vault-reader", lambda: self._read(line))
        return line

    def _give_up(self, item: GivenUp) -> None:
        for line in list(self._lines):
            with line.lock:
                mine = line.open.get(item.call) == item.ticket
                if mine:
                    del line.open[item.call]
                    line.spoilt.add(item.call)
            if mine:
                line.outbox.send(lines.vault_unask(item.call))
                return

    def _read(self, line: Line) -> None:
        decoder = lines.VaultReplies()
        try:
            while data := line.sock.recv(1 << 16):
                for reply in decoder.feed(data):
                    self._take(line, reply)
                if line is not self._line and not line.open:
                    break
        except lines.Malformed as error:
            self._counters.warn("vault.malformed", "vault: connection closed for what it sent: {}", error)
        except OSError as error:
            logger.debug("vault: {}", error)
        with line.lock:
            line.broken = True
            cut, line.open = line.open, {}
        for call, ticket in cut.items():  # they may have run, so none is sent again
            self._post(CallOver(call, ticket, io.Outcome.CUT_OFF))
        if cut:
            self._counters.warn("vault.broken", "vault: connection broke under {} calls", len(cut))
        self._lines.discard(line)
        line.outbox.release()

    def _take(self, line: Line, reply: lines.VaultReply) -> None:
        outcome = WORDS.get(reply.word)
        if outcome is None:
            raise lines.Malformed(f"an unknown reply {reply.word!r}")
        ticket = line.take(reply.call)
        if ticket is None:
            self._counters.add("vault.late_reply")
        else:
            self._post(CallOver(reply.call, ticket, outcome, reply.body))
