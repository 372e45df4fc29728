"""The vault: calls to the next tier, each with a connection to itself while it is out."""

import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from loguru import logger

from reelusher.codecs import lines
from reelusher.codecs.errors import MalformedError
from reelusher.core.clock import Clock
from reelusher.core.counters import Counters
from reelusher.core.messages import CallFinished, Message
from reelusher.net.send_buffer import SendBuffer
from reelusher.net.sockets import Address, connect
from reelusher.net.threads import start_thread
from reelusher.policy.events import Outcome

IDLE_S = 0.05  # one idle for longer is not used again: the vault forgets them, from 0.1 s on as measured, and
#                resets the next call there; that it never ran can't be told from a reset after it ran
CONNECT_S = 1.0
BACKLOG_BYTES = 1 << 20
MOST_LINES = 24  # connections at once, each with a descriptor
MOST_SERVED = 500  # calls that one connection remembers, after which it is replaced
WORDS = {
    "yes": Outcome.OK,
    "notnow": Outcome.REJECTED,
    "failed": Outcome.ERROR,
    "overdue": Outcome.TIMEOUT,
    "pointless": Outcome.REJECTED,
}


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A call that is to be made."""

    call: str
    ticket: int
    until_us: int
    body: bytes


class DownstreamConnection:
    """One connection to the vault, which carries one call at a time.

    The vault spoils replies, or never sends them, and such a connection is of no further use to any call
    on it. With a connection to itself, a call that is spoilt costs no other.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.send_buffer: SendBuffer | None = None  # once it is connected
        self.wanted: PendingCall | None = None  # the call that is out
        self.served: set[str] = set()  # calls made here: a second copy of a reply is not a later call's
        self.used = time.monotonic()
        self.over = False  # not to be used again

    def usable(self, wanted: PendingCall, address: Address) -> bool:
        """Tell whether an idle connection may carry this call."""
        return (
            not self.over
            and self.address == address
            and wanted.call not in self.served
            and len(self.served) < MOST_SERVED
            and time.monotonic() - self.used < IDLE_S
        )


class DownstreamClient:
    """Makes calls, over at most so many connections at once; calls past that wait for one.

    The owner sends; each connection has a thread that opens and reads it.
    """

    def __init__(
        self,
        address: Address,
        post: Callable[[Message], None],
        counters: Counters,
        clock: Clock,
        most_lines: int = MOST_LINES,
    ) -> None:
        self._address = address
        self._post = post
        self._counters = counters
        self._clock = clock
        self._most = most_lines
        self._lock = threading.Lock()
        self._idle: list[DownstreamConnection] = []  # the one used last at the end
        self._busy: dict[str, DownstreamConnection] = {}  # by the call that is out
        self._waiting: deque[PendingCall] = deque()
        self._lines = 0  # that have a thread

    def close(self) -> None:
        """End all connections."""
        with self._lock:
            self._waiting.clear()
            for line in [*self._idle, *self._busy.values()]:
                self._end(line)

    def move(self, address: Address) -> None:
        """Make new calls at another address; those that are out end where they were made."""
        with self._lock:
            self._address = address
            self._drop_idle()

    def call(self, call: str, ticket: int, until_us: int, body: bytes) -> None:
        """Make a call."""
        with self._lock:
            self._waiting.append(PendingCall(call, ticket, until_us, body))
            self._serve_waiting()

    def cancel(self, call: str, ticket: int) -> None:
        """Give a call up. Its connection goes with it: nothing tells whether a reply is still to come."""
        with self._lock:
            line = self._busy.get(call)
            if line is not None and line.wanted is not None and line.wanted.ticket == ticket:
                del self._busy[call]
                line.wanted = None
                if line.send_buffer is not None:
                    line.send_buffer.send(lines.vault_unask(call))
                self._end(line)
            else:
                self._waiting = deque(one for one in self._waiting if one.ticket != ticket)

    # With the lock held

    def _serve_waiting(self) -> None:
        """Make the calls that wait, as far as there are connections."""
        while self._waiting:
            wanted = self._waiting[0]
            if wanted.until_us - self._clock.now() < 1000:
                self._waiting.popleft()
                self._post(CallFinished(wanted.call, wanted.ticket, Outcome.REJECTED))  # never sent
                continue
            line = next((one for one in reversed(self._idle) if one.usable(wanted, self._address)), None)
            if line is None:
                self._drop_idle()
                if self._lines >= self._most:
                    return
                line = DownstreamConnection(self._address)
                try:  # it reads what it is to carry under the lock, so after this step
                    start_thread("vault-line", partial(self._carry, line))
                except RuntimeError as error:
                    self._counters.warn("vault.no_thread", "vault: no thread for a connection: {}", error)
                    self._waiting.popleft()
                    self._post(CallFinished(wanted.call, wanted.ticket, Outcome.UNREACHABLE))  # never sent
                    continue
                self._lines += 1
            else:
                self._idle.remove(line)
            self._waiting.popleft()
            line.wanted = wanted
            line.served.add(wanted.call)
            self._busy[wanted.call] = line
            if line.send_buffer is not None:
                self._send(line)

    def _send(self, line: DownstreamConnection) -> None:
        wanted = line.wanted
        assert wanted is not None
        assert line.send_buffer is not None
        left_ms = max((wanted.until_us - self._clock.now()) // 1000, 1)
        if not line.send_buffer.send(lines.vault_ask(wanted.call, left_ms, wanted.body)):
            # not a byte was taken, so it never ran: it goes out on the next connection
            self._end(line)
            line.wanted = None
            del self._busy[wanted.call]
            self._waiting.appendleft(wanted)

    def _drop_idle(self) -> None:
        """Close idle connections that no call may use."""
        oldest = time.monotonic() - IDLE_S
        kept = []
        for line in self._idle:
            if line.over or line.address != self._address or line.used < oldest:
                self._end(line)
            else:
                kept.append(line)
        self._idle = kept

    @staticmethod
    def _end(line: DownstreamConnection) -> None:
        line.over = True
        if line.send_buffer is not None:
            line.send_buffer.close()

    # The thread of a connection

    def _carry(self, line: DownstreamConnection) -> None:
        sock = None
        try:
            sock = connect(line.address, CONNECT_S)
        except OSError as error:
            self._counters.warn("vault.unreachable", "vault: no connection: {}", error)
        with self._lock:
            if sock is None:
                self._unmade(line)
            else:
                self._counters.add("vault.connected")
                line.send_buffer = SendBuffer(sock, BACKLOG_BYTES)
                if line.wanted is None or line.over:  # given up or closed meanwhile
                    self._end(line)
                else:
                    self._send(line)
        if sock is not None and line.send_buffer is not None:
            self._read(line, sock)
            line.send_buffer.release()
        with self._lock:
            line.over = True
            if line in self._idle:
                self._idle.remove(line)
            cut, line.wanted = line.wanted, None
            if cut is not None:
                del self._busy[cut.call]
            self._lines -= 1
            self._serve_waiting()
        if cut is not None:  # it may have run, so it is not made again
            self._counters.warn("vault.broken", "vault: a connection broke under call {}", cut.call)
            self._post(CallFinished(cut.call, cut.ticket, Outcome.CONNECTION_LOST))

    def _unmade(self, line: DownstreamConnection) -> None:
        """Take back the call of a connection that was not made: it never ran. The lock is held."""
        unmade, line.wanted = line.wanted, None
        if unmade is None:
            return
        del self._busy[unmade.call]
        if line.address != self._address:
            self._waiting.appendleft(unmade)  # there is another address by now
        else:
            self._post(CallFinished(unmade.call, unmade.ticket, Outcome.UNREACHABLE))

    def _read(self, line: DownstreamConnection, sock: socket.socket) -> None:
        decoder = lines.VaultReplies()
        try:
            while data := sock.recv(1 << 14):
                for reply in decoder.feed(data):
                    self._take(line, reply)
        except MalformedError as error:
            self._counters.warn("vault.malformed", "vault: connection closed for what it sent: {}", error)
        except OSError as error:
            logger.debug("vault: {}", error)

    def _take(self, line: DownstreamConnection, reply: lines.VaultReply) -> None:
        outcome = WORDS.get(reply.word)
        if outcome is None:
            raise MalformedError(f"an unknown reply {reply.word!r}")
        with self._lock:
            wanted = line.wanted
            if wanted is None or wanted.call != reply.call:  # a second copy, or one that nobody asked for
                self._counters.add("vault.stray_reply")
                return
            line.wanted = None
            del self._busy[wanted.call]
            line.used = time.monotonic()
            if not line.over:
                self._idle.append(line)
            self._serve_waiting()
        self._post(CallFinished(reply.call, wanted.ticket, outcome, reply.body))
