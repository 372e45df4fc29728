"""The link to the runtime: commands out, notices in, and recovery after a broken link."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from loguru import logger

from reelusher.backends.unacknowledged_commands import UnacknowledgedCommands
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

MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.25  # between attempts to connect
MIN_LINK_S = 1.0  # a link that ended sooner is opened again with backoff only
CONNECT_TIMEOUT_S = 2.0
DESCRIPTORS = 3  # the link, and those of two changes of address at once
MAX_BACKLOG_BYTES = 8 << 20
READ_BYTES = 1 << 16
MIN_RESTART_S = 5.0  # a start time later by this is a restart, and no inaccuracy of clocks
OUTCOMES = {
    "ok": Outcome.OK,
    "failed": Outcome.ERROR,
    "halted": Outcome.CANCELLED,
    "void": Outcome.NOT_STARTED,
}


class OpenedLink(NamedTuple):
    """A connection that is not in use yet."""

    address: Address
    sock: socket.socket


class RuntimeLink:
    """Runs attempts on the runtime.

    The runtime reads a link in order, so an answer to gauges acknowledges all that was sent before them,
    and a notice acknowledges the commands for its run. The others are sent again on the next link, after
    the missed notices have come: `sync` is followed by gauges, whose answer comes after these.
    """

    def __init__(
        self, address: Address, post: Callable[[Message], None], counters: Counters, random: Random
    ) -> None:
        """`random` spreads attempts to connect, so each node needs a seed of its own."""
        self._random = random
        self._address = address  # that the link is to have
        self._linked_address: Address | None = None  # that it has
        self._next: OpenedLink | None = None  # after a change of address: replaces the link in use
        self._post = post
        self._counters = counters
        self._lock = threading.Lock()
        self._send_buffer: SendBuffer | None = None
        self._ready = False  # all missed notices were read on this link
        self._unacknowledged = UnacknowledgedCommands()
        self._serial = 0  # of the last notice that was handled
        self._malformed_serial: object = None  # serial of the newest malformed notice
        self._link_count = 0
        self._closed = False
        self._runtime_started_s = 0.0  # when the runtime started, by the monotonic clock
        self._handlers: dict[str, Callable[[dict[str, Any]], None]] = {
            "ready": self._on_ready,
            "end": self._on_end,
            "wants": self._on_wants,
            "load": self._on_load,
            "nack": self._on_nack,
            "info": lambda message: None,
        }

    def connect(self) -> None:
        """Start the thread that keeps the link open."""
        start_thread("runtime", self._run)

    def move(self, address: Address) -> None:
        """Change the address. The old link is used until the new one is open; runs continue."""
        with self._lock:
            if address == self._address:
                return
            self._address = address
        start_thread("runtime-move", lambda: self._open_next(address))

    def _open_next(self, address: Address) -> None:
        """Open the link that is to replace the one in use, unless that is done or obsolete."""
        backoff = Backoff(Random(self._random.random()), MIN_BACKOFF_S, MAX_BACKOFF_S)  # of this thread alone
        while True:
            sock = None
            with contextlib.suppress(OSError):
                sock = connect(address, CONNECT_TIMEOUT_S)
            with self._lock:
                needed = address == self._address != self._linked_address and not self._closed
                if needed and sock is not None:
                    superseded = self._next  # of an earlier change, not in use yet
                    self._next = OpenedLink(address, sock)
                    sock, needed = superseded.sock if superseded else None, False
                    if self._send_buffer is not None:
                        self._send_buffer.close()  # its reader sees the end and uses the next link
            if sock is not None:
                sock.close()
            if not needed:
                return
            time.sleep(backoff.next_s())

    def close(self) -> None:
        """Close the link for good."""
        with self._lock:
            self._closed = True
            if self._send_buffer is not None:
                self._send_buffer.close()

    @property
    def up(self) -> bool:
        """Whether the runtime is connected and all missed notices are read."""
        return self._ready

    # Commands, called on the event loop's thread

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run."""
        self._command("start", request.run_id, service=class_name, blob=lines.encode_body(request.body))

    def stop(self, call: str) -> None:
        """Stop a run."""
        self._command("stop", call)

    def resume(self, call: str) -> None:
        """Resume a paused run."""
        self._command("cont", call)

    def deliver_reply(self, call: str, body: bytes) -> None:
        """Deliver the reply to a call."""
        self._command("give", call, blob=lines.encode_body(body))

    def skip_call(self, call: str, serial: int) -> None:
        """Resume a run without its call."""
        self._command("omit", call, serial=serial)

    def request_gauges(self, cookie: str) -> bool:
        """Request the gauges."""
        with self._lock:
            if not self._ready or self._send_buffer is None:
                return False
            self._unacknowledged.mark(cookie)
            return self._send_buffer.send(lines.encode_json_line({"msg": "gauges", "cookie": cookie}))

    def _command(self, name: str, call: str, **more: Any) -> None:
        line = lines.encode_json_line({"msg": name, "call": call, **more})
        with self._lock:
            self._unacknowledged.add(call, line)
            if self._ready and self._send_buffer is not None:
                self._send_buffer.send(line)

    # The link

    def _open(self) -> socket.socket | None:
        """Return the next link: one that was opened after a change of address, or a new one."""
        with self._lock:
            address = self._address
            next_link, self._next = self._next, None
            if next_link is not None and next_link.address == address:
                self._linked_address = address
                return next_link.sock
        if next_link is not None:  # the address has changed again
            next_link.sock.close()
        try:
            sock = connect(address, CONNECT_TIMEOUT_S)
        except OSError:
            return None
        with self._lock:
            if self._next is None:
                self._linked_address = address
                return sock
        sock.close()  # a change of address was faster
        return None

    def _run(self) -> None:
        backoff = Backoff(self._random, MIN_BACKOFF_S, MAX_BACKOFF_S)
        while not self._closed:
            sock = self._open()
            if sock is None:
                time.sleep(backoff.next_s())
                continue
            send_buffer, opened = SendBuffer(sock, MAX_BACKLOG_BYTES), time.monotonic()
            with self._lock:
                self._send_buffer, self._link_count = send_buffer, self._link_count + 1
                if self._next is not None or self._closed:
                    send_buffer.close()
            send_buffer.send(lines.encode_json_line({"msg": "sync", "serial": self._serial}))
            self._read(sock)
            with self._lock:
                self._ready, self._send_buffer, self._linked_address = False, None, None
                replaced = self._next is not None
            send_buffer.release()
            if self._closed:
                return
            if replaced:
                logger.info("runtime: the link changes to {}:{}", *self._address)
                continue
            self._counters.warn("runtime.link_lost", "runtime: link lost, connecting again")
            if time.monotonic() - opened < MIN_LINK_S:
                time.sleep(backoff.next_s())
            else:  # at once, since runs wait for their commands
                backoff.reset()

    def _read(self, sock: socket.socket) -> None:
        """Read notices until the link ends."""
        decoder = lines.JsonLineDecoder()
        try:
            while data := sock.recv(READ_BYTES):
                for message in decoder.feed(data):
                    self._on_message(message)
        except MalformedError as error:
            self._counters.add("runtime.malformed")
            logger.warning("runtime: link closed for a malformed message: {}", error)
        except OSError as error:
            logger.debug("runtime: {}", error)

    def _on_message(self, message: dict[str, Any]) -> None:
        name = message.get("msg")
        handler = self._handlers.get(name) if isinstance(name, str) else None
        if handler is None:
            raise MalformedError(f"an unknown notice {name!r}")
        serial = message.get("serial")
        if isinstance(serial, int) and serial <= self._serial:
            self._counters.add("runtime.replayed")
            return
        try:
            handler(message)
        except (KeyError, TypeError, ValueError) as error:
            if not isinstance(serial, int) or self._malformed_serial != serial:
                self._malformed_serial = serial  # it may be damaged in transit: the next link repeats it
                raise MalformedError(f"a notice {name} with a bad field: {error!r}") from None
            self._counters.warn(
                "runtime.spoilt_twice",
                "runtime: the notice {} is malformed, its run counts as failed",
                serial,
            )
            if isinstance(call := message.get("call"), str):
                self._post(RunFinished(call, Outcome.ERROR))
        if isinstance(serial, int):
            self._serial = serial  # not before it is handled: the next link repeats one that was not

    def _on_ready(self, message: dict[str, Any]) -> None:
        started_s = time.monotonic() - float(message.get("duration", 0)) / 1000
        logger.info("runtime: ready, {}", message.get("how"))
        if self._runtime_started_s and started_s > self._runtime_started_s + MIN_RESTART_S:
            logger.warning("runtime: restarted, its runs are lost")
            self._counters.add("runtime.restarted")
            with self._lock:
                self._unacknowledged.clear()
            self._serial = 0
            self._post(RunsLost(self))
        self._runtime_started_s = started_s
        with self._lock:
            if self._send_buffer is not None:
                cookie = f"sync{self._link_count}"
                self._send_buffer.send(lines.encode_json_line({"msg": "gauges", "cookie": cookie}))

    def _resend(self) -> None:
        """Send again what may have been lost; all missed notices are read."""
        with self._lock:
            resent = self._unacknowledged.lines_to_resend()
            self._ready = True
            if self._send_buffer is not None:
                for line in resent:
                    self._send_buffer.send(line)
                if self._link_count > 1 and resent:
                    self._counters.add("runtime.sent_again", len(resent))

    def _on_load(self, message: dict[str, Any]) -> None:
        cookie = str(message["cookie"])
        if cookie == f"sync{self._link_count}":
            self._resend()
            return
        with self._lock:
            self._unacknowledged.acknowledge_gauges(cookie)
        self._post(GaugesReceived(cookie, tuple(float(value) for value in message["stats"])))

    def _acknowledge(self, call: str) -> None:
        """Record that the runtime has read the commands for a run."""
        with self._lock:
            self._unacknowledged.acknowledge_run(call)

    def _on_end(self, message: dict[str, Any]) -> None:
        call, outcome = str(message["call"]), OUTCOMES[message["how"]]
        self._acknowledge(call)
        result = Result(lines.decode_body(message.get("blob", ""))) if outcome is Outcome.OK else None
        self._post(RunFinished(call, outcome, int(float(message.get("duration", 0)) * 1000), result))

    def _on_wants(self, message: dict[str, Any]) -> None:
        call = str(message["call"])
        self._acknowledge(call)
        self._post(CallRequested(call, int(message["serial"]), lines.decode_body(message.get("blob", ""))))

    def _on_nack(self, message: dict[str, Any]) -> None:
        call, name = str(message.get("call", "")), message.get("how")
        self._counters.warn("runtime.nack", "runtime: the command {} for {} was rejected", name, call)
        self._acknowledge(call)
        if name == "start":  # nothing was started, and nothing will be
            self._post(RunFinished(call, Outcome.NOT_STARTED))
