"""The link to the runtime: commands out, notices in, and the way back after a broken link."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from random import Random
from typing import Any

from loguru import logger

from reelusher.codecs import lines
from reelusher.codecs.errors import MalformedError
from reelusher.core.counters import Counters
from reelusher.core.messages import (
    CallRequested,
    GaugesReceived,
    IncomingRequest,
    Message,
    Result,
    RunFinished,
    RunsLost,
)
from reelusher.net.send_buffer import SendBuffer
from reelusher.net.sockets import Address, connect
from reelusher.net.threads import start_thread
from reelusher.pacing.backoff import Backoff
from reelusher.policy.events import Outcome

BASE_S, CAP_S = 0.02, 0.25  # between tries to connect; the cap is what a restart may cost at most
LIVED_S = 1.0  # a link that lived for less gets no next one at once
CONNECT_S = 2.0
DESCRIPTORS = 3  # the link, and those of two moves in one moment
BACKLOG_BYTES = 8 << 20
MOST_MARKS = 64  # gauges asked for and not answered that are remembered; ten are asked for each second
LOST_S = 0.06  # a break may take commands along that went out so shortly before: 50 ms, and the way
RESTART_S = 5.0  # a start later than the known one by this is another start: clocks and pauses blur less
ENDS = {
    "ok": Outcome.OK,
    "failed": Outcome.ERROR,
    "halted": Outcome.CANCELLED,
    "void": Outcome.NOT_STARTED,
}


class UnacknowledgedCommands:
    """Commands that the runtime may not have read yet, in the order in which they went out.

    Each notice and each answered mark settles some, so nothing here looks through all of them. What is
    young stays though a mark was answered: a break takes the newest commands with it, read or not.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lines: dict[int, tuple[str, bytes, float]] = {}  # by order: the run, its command, when it went
        self._of_call: dict[str, list[int]] = {}
        self._marks: dict[str, int] = {}  # cookies of asked gauges: how much went out before them
        self._last = 0

    def __len__(self) -> int:
        return len(self._lines)

    def add(self, call: str, line: bytes) -> None:
        """Note a command."""
        self._last += 1
        self._lines[self._last] = call, line, self._clock()
        self._of_call.setdefault(call, []).append(self._last)

    def mark(self, cookie: str) -> None:
        """Note that gauges are asked for, behind all that went out by now."""
        self._marks[cookie] = self._last
        if len(self._marks) > MOST_MARKS:  # a runtime that answers none of them must not fill the memory
            del self._marks[next(iter(self._marks))]

    def answered(self, cookie: str) -> None:
        """Drop what went out before these gauges were asked for."""
        upto, young = self._marks.pop(cookie, 0), self._clock() - LOST_S
        while self._lines and (order := next(iter(self._lines))) <= upto:
            call, _, sent = self._lines[order]
            if sent > young:
                return
            del self._lines[order]
            left = self._of_call[call]
            left.remove(order)  # the first of a few
            if not left:
                del self._of_call[call]

    def noticed(self, call: str) -> None:
        """Drop what went out for a run that a notice speaks of."""
        for order in self._of_call.pop(call, ()):
            del self._lines[order]

    def on_new_link(self) -> list[bytes]:
        """Return what is to be sent again; gauges asked for on the old link get no answer."""
        self._marks.clear()
        return [line for _, line, _ in self._lines.values()]

    def clear(self) -> None:
        """Forget all of it."""
        self._lines.clear()
        self._of_call.clear()
        self._marks.clear()


class RuntimeLink:
    """Runs attempts on the runtime.

    The runtime reads a link in order, so answered gauges prove that all sent before them was read, and a
    notice proves the same for its run. What is not proved is sent again on the next link, and only after
    the notices that were missed have come: `sync` is followed by gauges, whose answer comes behind them.
    """

    def __init__(
        self, address: Address, post: Callable[[Message], None], counters: Counters, random: Random
    ) -> None:
        """`random` spreads the tries to connect, so each node needs a seed of its own."""
        self._random = random
        self._address = address  # where the link is to lead
        self._linked: Address | None = None  # where it leads
        self._next: tuple[Address, socket.socket] | None = None  # opened by a move, replaces the link in use
        self._post = post
        self._counters = counters
        self._lock = threading.Lock()
        self._send_buffer: SendBuffer | None = None
        self._ready = False  # caught up with the runtime on this link
        self._sent = UnacknowledgedCommands()
        self._serial = 0  # of the last notice taken
        self._spoilt: object = None  # serial of the newest notice that could not be read
        self._links = 0
        self._closed = False
        self._began = 0.0  # when the runtime started, by the monotonic clock
        self._tells: dict[str, Callable[[dict[str, Any]], None]] = {
            "ready": self._on_ready,
            "end": self._on_end,
            "wants": self._on_wants,
            "load": self._on_load,
            "nack": self._on_nack,
            "info": lambda message: None,
        }

    def connect(self) -> None:
        """Start to hold the link open."""
        start_thread("runtime", self._hold)

    def move(self, address: Address) -> None:
        """Go on at another address. The old link serves until the new one stands; runs go on over it."""
        with self._lock:
            if address == self._address:
                return
            self._address = address
        start_thread("runtime-move", lambda: self._dial(address))

    def _dial(self, address: Address) -> None:
        """Open the link that is to replace the one in use, unless a later move or the reader is ahead."""
        backoff = Backoff(Random(self._random.random()), BASE_S, CAP_S)  # of this thread alone
        while True:
            sock = None
            with contextlib.suppress(OSError):
                sock = connect(address, CONNECT_S)
            with self._lock:
                wanted = address == self._address != self._linked and not self._closed
                if wanted and sock is not None:
                    unused = self._next  # of a move before, not taken up yet
                    self._next, sock, wanted = (address, sock), unused[1] if unused else None, False
                    if self._send_buffer is not None:
                        self._send_buffer.close()  # its reader sees the end and takes up the next link
            if sock is not None:
                sock.close()
            if not wanted:
                return
            time.sleep(backoff.next_s())

    def close(self) -> None:
        """Let go of the link for good."""
        with self._lock:
            self._closed = True
            if self._send_buffer is not None:
                self._send_buffer.close()

    @property
    def up(self) -> bool:
        """Tell whether the runtime is there."""
        return self._ready

    # Commands, called by the owner

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run."""
        self._command("start", request.run_id, service=class_name, blob=lines.blob(request.body))

    def stop(self, call: str) -> None:
        """Stop a run."""
        self._command("stop", call)

    def resume(self, call: str) -> None:
        """Go on with a paused run."""
        self._command("cont", call)

    def deliver_reply(self, call: str, body: bytes) -> None:
        """Hand over the reply to a call."""
        self._command("give", call, blob=lines.blob(body))

    def skip_call(self, call: str, serial: int) -> None:
        """Go on without a call."""
        self._command("omit", call, serial=serial)

    def request_gauges(self, cookie: str) -> bool:
        """Ask for the gauges."""
        with self._lock:
            if not self._ready or self._send_buffer is None:
                return False
            self._sent.mark(cookie)
            return self._send_buffer.send(lines.json_line({"msg": "gauges", "cookie": cookie}))

    def _command(self, word: str, call: str, **more: Any) -> None:
        line = lines.json_line({"msg": word, "call": call, **more})
        with self._lock:
            self._sent.add(call, line)
            if self._ready and self._send_buffer is not None:
                self._send_buffer.send(line)

    # The link

    def _open(self) -> socket.socket | None:
        """Return the next link: the one that a move has opened, or a new one."""
        with self._lock:
            address = self._address
            moved, self._next = self._next, None
            if moved is not None and moved[0] == address:
                self._linked = address
                return moved[1]
        if moved is not None:  # a further move came before this one was taken up
            moved[1].close()
        try:
            sock = connect(address, CONNECT_S)
        except OSError:
            return None
        with self._lock:
            if self._next is None:
                self._linked = address
                return sock
        sock.close()  # a move was faster
        return None

    def _hold(self) -> None:
        backoff = Backoff(self._random, BASE_S, CAP_S)
        while not self._closed:
            sock = self._open()
            if sock is None:
                time.sleep(backoff.next_s())
                continue
            send_buffer, opened = SendBuffer(sock, BACKLOG_BYTES), time.monotonic()
            with self._lock:
                self._send_buffer, self._links = send_buffer, self._links + 1
                if self._next is not None or self._closed:
                    send_buffer.close()
            send_buffer.send(lines.json_line({"msg": "sync", "serial": self._serial}))
            self._read(sock)
            with self._lock:
                self._ready, self._send_buffer, self._linked = False, None, None
                moved = self._next is not None
            send_buffer.release()
            if self._closed:
                return
            if moved:
                logger.info("runtime: the link moves to {}:{}", *self._address)
                continue
            self._counters.warn("runtime.link_lost", "runtime: link lost, connecting again")
            if time.monotonic() - opened < LIVED_S:
                time.sleep(backoff.next_s())
            else:  # at once: runs wait for their commands
                backoff.reset()

    def _read(self, sock: socket.socket) -> None:
        """Read notices until the link ends."""
        decoder = lines.JsonLines()
        try:
            while data := sock.recv(1 << 16):
                for message in decoder.feed(data):
                    self._take(message)
        except MalformedError as error:
            self._counters.add("runtime.malformed")
            logger.warning("runtime: link closed for what it sent: {}", error)
        except OSError as error:
            logger.debug("runtime: {}", error)

    def _take(self, message: dict[str, Any]) -> None:
        word = message.get("msg")
        react = self._tells.get(word) if isinstance(word, str) else None
        if react is None:
            raise MalformedError(f"an unknown notice {word!r}")
        serial = message.get("serial")
        if isinstance(serial, int) and serial <= self._serial:
            self._counters.add("runtime.replayed")
            return
        try:
            react(message)
        except (KeyError, TypeError, ValueError) as error:
            if not isinstance(serial, int) or self._spoilt != serial:
                self._spoilt = serial  # it may have been spoilt on its way: the next link brings it again
                raise MalformedError(f"a notice {word} with a bad field: {error!r}") from None
            self._counters.warn(
                "runtime.spoilt_twice",
                "runtime: the notice {} can't be read, its run counts as failed",
                serial,
            )
            if isinstance(call := message.get("call"), str):
                self._post(RunFinished(call, Outcome.ERROR))
        if isinstance(serial, int):
            self._serial = serial  # not before it has been taken: a notice that was not is asked for again

    def _on_ready(self, message: dict[str, Any]) -> None:
        began = time.monotonic() - float(message.get("duration", 0)) / 1000
        logger.info("runtime: ready, {}", message.get("how"))
        if self._began and began > self._began + RESTART_S:
            logger.warning("runtime: it has started anew, its runs are lost")
            self._counters.add("runtime.restarted")
            with self._lock:
                self._sent.clear()
            self._serial = 0
            self._post(RunsLost(self))
        self._began = began
        with self._lock:
            if self._send_buffer is not None:
                cookie = f"sync{self._links}"
                self._send_buffer.send(lines.json_line({"msg": "gauges", "cookie": cookie}))

    def _catch_up(self) -> None:
        """Send again what may have been lost, now that all missed notices are read."""
        with self._lock:
            lost = self._sent.on_new_link()
            self._ready = True
            if self._send_buffer is not None:
                for line in lost:
                    self._send_buffer.send(line)
                if self._links > 1 and lost:
                    self._counters.add("runtime.sent_again", len(lost))

    def _on_load(self, message: dict[str, Any]) -> None:
        cookie = str(message["cookie"])
        if cookie == f"sync{self._links}":
            self._catch_up()
            return
        with self._lock:
            self._sent.answered(cookie)
        self._post(GaugesReceived(cookie, tuple(float(value) for value in message["stats"])))

    def _proved(self, call: str) -> None:
        """Note that the runtime has read what was sent for this run."""
        with self._lock:
            self._sent.noticed(call)

    def _on_end(self, message: dict[str, Any]) -> None:
        call, outcome = str(message["call"]), ENDS[message["how"]]
        self._proved(call)
        result = Result(lines.unblob(message.get("blob", ""))) if outcome is Outcome.OK else None
        self._post(RunFinished(call, outcome, int(float(message.get("duration", 0)) * 1000), result))

    def _on_wants(self, message: dict[str, Any]) -> None:
        call = str(message["call"])
        self._proved(call)
        self._post(CallRequested(call, int(message["serial"]), lines.unblob(message.get("blob", ""))))

    def _on_nack(self, message: dict[str, Any]) -> None:
        call, word = str(message.get("call", "")), message.get("how")
        self._counters.warn("runtime.nack", "runtime: the command {} for {} was not carried out", word, call)
        self._proved(call)
        if word == "start":  # nothing was started, and nothing will be
            self._post(RunFinished(call, Outcome.NOT_STARTED))
