"""The link to the runtime: sends commands, reads notices, and recovers from a broken link."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Container
from random import Random
from typing import Any, NamedTuple

from loguru import logger

from reelusher.backends.unacknowledged_commands import Command, UnacknowledgedCommands
from reelusher.codecs import lines
from reelusher.codecs.errors import MalformedError
from reelusher.core.counters import Counters
from reelusher.core.messages import (
    CallReply,
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

MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.25  # range of the delay between attempts to connect
MIN_LINK_S = 1.0  # a link that broke sooner is reopened after a backoff, others at once
CONNECT_TIMEOUT_S = 2.0
DESCRIPTORS = 3  # file descriptors: the link, and two being opened for changes of its address
MAX_BACKLOG_BYTES = 8 << 20
READ_BYTES = 1 << 16
MIN_RESTART_S = 5.0  # a smaller difference between two start times is inaccuracy of clocks, not a restart
START, STOP, RESUME, GIVE, OMIT = "start", "stop", "cont", "give", "omit"  # names of commands
# commands that the runtime has read when a run requests its next call
READ_BEFORE_CALL = frozenset({START, GIVE, OMIT})
OUTCOMES = {  # by the value of `how` in the notice `end`
    "ok": Outcome.OK,
    "failed": Outcome.ERROR,
    "halted": Outcome.CANCELLED,
    "void": Outcome.NOT_STARTED,
}


class OpenedLink(NamedTuple):
    """An open connection that is not in use yet."""

    address: Address
    sock: socket.socket


class RuntimeLink:
    """Runs attempts on the runtime.

    The runtime reads a link in order, so its reply to a gauge request acknowledges all commands sent before
    that request, and a notice acknowledges the commands for its run. Commands without acknowledgement are
    sent again on the next link, but only after the missed notices, which may acknowledge them. There `sync`
    requests the missed notices, a gauge request follows the notice `ready`, and the reply to it comes after
    all missed notices.

    `give` is the exception, since it doesn't name its call: if the first one was read, and the run is at its
    next call meanwhile, a second one would be taken for the reply to that. `omit` names its call and is
    sent instead. Where the call can't be omitted nothing is, and a run whose reply was lost waits in vain.
    """

    def __init__(
        self, address: Address, post: Callable[[Message], None], counters: Counters, random: Random
    ) -> None:
        """`random` adds jitter to attempts to connect, so it must be seeded differently on each node."""
        self._random = random
        self._address = address  # the configured address
        self._linked_address: Address | None = None  # the address of the link in use
        self._next: OpenedLink | None = None  # replaces the link in use after a change of address
        self._post = post
        self._counters = counters
        self._lock = threading.Lock()
        self._send_buffer: SendBuffer | None = None
        self._ready = False  # whether all missed notices have been read on this link
        self._unacknowledged = UnacknowledgedCommands()
        self._serial = 0  # serial number of the last notice that was handled
        self._malformed_serial: object = None  # serial number of the last malformed notice
        self._link_count = 0
        self._closed = False
        self._runtime_started_s = 0.0  # monotonic time at which the runtime started; 0: unknown
        self._handlers: dict[str, Callable[[dict[str, Any]], None]] = {
            "ready": self._on_ready,
            "end": self._on_end,
            "wants": self._on_wants,
            "load": self._on_load,
            "nack": self._on_nack,
            "info": lambda message: None,
        }

    def connect(self) -> None:
        """Start the thread that opens the link, reads it, and reopens it when it breaks."""
        start_thread("runtime", self._run)

    def move(self, address: Address) -> None:
        """Change the address. The old link stays in use until the new one is open; runs continue.

        Raises RuntimeError if no thread can be started; the address is then the one before.
        """
        with self._lock:
            previous, self._address = self._address, address
        if address == previous:
            return
        try:
            start_thread("runtime-move", lambda: self._open_next(address))
        except RuntimeError:
            with self._lock:
                self._address = previous
            raise

    def _open_next(self, address: Address) -> None:
        """Open a link to replace the one in use; retry until it is open or the address is obsolete."""
        backoff = Backoff(Random(self._random.random()), MIN_BACKOFF_S, MAX_BACKOFF_S)  # for this thread only
        while True:
            sock = None
            with contextlib.suppress(OSError):
                sock = connect(address, CONNECT_TIMEOUT_S)
            with self._lock:
                needed = address == self._address != self._linked_address and not self._closed
                if needed and sock is not None:
                    superseded = self._next  # opened for an earlier change of address, not in use yet
                    self._next = OpenedLink(address, sock)
                    sock, needed = superseded.sock if superseded else None, False
                    if self._send_buffer is not None:
                        self._send_buffer.close()  # ends `_read`, and `_run` then uses the next link
            if sock is not None:
                sock.close()
            if not needed:
                return
            time.sleep(backoff.next_s())

    def close(self) -> None:
        """Close the link; it is not reopened."""
        with self._lock:
            self._closed = True
            if self._send_buffer is not None:
                self._send_buffer.close()

    @property
    def up(self) -> bool:
        """Whether the runtime is connected and all missed notices have been read."""
        return self._ready

    # Commands, called on the event loop's thread

    def start(self, request: IncomingRequest, class_name: str) -> None:
        """Start a run."""
        self._send_repeatable(START, request.run_id, service=class_name, blob=lines.encode_body(request.body))

    def stop(self, run_id: str) -> None:
        """Stop a run: the preemption mode of the settings decides whether it ends or is paused."""
        self._send_repeatable(STOP, run_id)

    def resume(self, run_id: str) -> None:
        """Resume a paused run."""
        self._send_repeatable(RESUME, run_id)

    def deliver_reply(self, run_id: str, reply: CallReply) -> None:
        """Deliver the reply to a call."""
        command = _command(GIVE, run_id, blob=lines.encode_body(reply.body))
        repetition = _command(OMIT, run_id, serial=reply.serial) if reply.is_optional else None
        self._send_command(command, repetition)

    def skip_call(self, run_id: str, serial: int) -> None:
        """Let a run continue without the call that the notice `serial` requested."""
        self._send_repeatable(OMIT, run_id, serial=serial)

    def request_gauges(self, cookie: str) -> bool:
        """Request the gauges; return False if the link is not ready or the request was not sent."""
        with self._lock:
            if not self._ready or self._send_buffer is None:
                return False
            self._unacknowledged.mark(cookie)
            return self._send_buffer.send(lines.encode_json_line({"msg": "gauges", "cookie": cookie}))

    def _send_repeatable(self, name: str, run_id: str, **fields: Any) -> None:
        """Send a command that the runtime may read twice."""
        command = _command(name, run_id, **fields)
        self._send_command(command, repetition=command)

    def _send_command(self, command: Command, repetition: Command | None) -> None:
        """Send a command, or keep it until the link is ready.

        Each new link sends `repetition` until it is acknowledged; it sends the command itself as long as no
        link has carried it.
        """
        with self._lock:
            entry = self._unacknowledged.add(command, repetition)
            if self._ready and self._send_buffer is not None:
                entry.sent = self._send_buffer.send(command.line)

    # The link

    def _open(self) -> socket.socket | None:
        """Return a link opened after a change of address, or a new one; None if it failed or is obsolete."""
        with self._lock:
            address = self._address
            next_link, self._next = self._next, None
            if next_link is not None and next_link.address == address:
                self._linked_address = address
                return next_link.sock
        if next_link is not None:  # the address changed again after it was opened
            next_link.sock.close()
        try:
            sock = connect(address, CONNECT_TIMEOUT_S)
        except OSError:
            return None
        with self._lock:
            if self._next is None:
                self._linked_address = address
                return sock
        sock.close()  # meanwhile a link for a changed address was opened
        return None

    def _run(self) -> None:
        backoff = Backoff(self._random, MIN_BACKOFF_S, MAX_BACKOFF_S)
        while not self._closed:
            sock = self._open()
            if sock is None:
                time.sleep(backoff.next_s())
                continue
            send_buffer, opened_s = SendBuffer(sock, MAX_BACKLOG_BYTES), time.monotonic()
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
            if time.monotonic() - opened_s < MIN_LINK_S:
                time.sleep(backoff.next_s())
            else:  # reconnect at once, since runs wait for their commands
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
        """Handle a notice, unless it was handled before. Raises `MalformedError`, which closes the link.

        A notice that is still malformed when it is repeated on the next link fails its run instead.
        """
        serial = message.get("serial")
        if isinstance(serial, int) and serial <= self._serial:
            self._counters.add("runtime.replayed")
            return
        try:
            self._handle(message)
        except (KeyError, TypeError, ValueError, OverflowError, MalformedError) as error:
            if not isinstance(serial, int) or self._malformed_serial != serial:
                self._malformed_serial = serial  # possibly corrupted in transit: the next link repeats it
                raise MalformedError(f"the notice {message.get('msg')!r}: {error!r}") from None
            self._fail_run_of(message)
        if isinstance(serial, int):
            self._serial = serial  # only once handled, so that the next link repeats notices that were not

    def _handle(self, message: dict[str, Any]) -> None:
        """Handle a notice. Raises `MalformedError`, or the error of a field that is missing or malformed."""
        name = message.get("msg")
        handler = self._handlers.get(name) if isinstance(name, str) else None
        if handler is None:
            raise MalformedError("unknown")
        handler(message)

    def _fail_run_of(self, message: dict[str, Any]) -> None:
        """End the run of a notice that no link can read: its outcome is unknown."""
        self._counters.warn(
            "runtime.spoilt_twice",
            "runtime: the notice {} is malformed, its run counts as failed",
            message["serial"],
        )
        if isinstance(run_id := message.get("call"), str):
            self._post(RunFinished(run_id, Outcome.ERROR))

    def _on_ready(self, message: dict[str, Any]) -> None:
        """Detect whether the runtime has restarted, and request gauges.

        The reply to that request comes after all missed notices.
        """
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
        """Send all unacknowledged commands again, now that all missed notices have been read."""
        with self._lock:
            self._replace_sent_replies()
            resent = self._unacknowledged.lines_to_resend()
            self._ready = True
            if self._send_buffer is not None:
                for line in resent:
                    self._send_buffer.send(line)
                if self._link_count > 1 and resent:
                    self._counters.add("runtime.sent_again", len(resent))

    def _replace_sent_replies(self) -> None:
        """Repeat no reply that a broken link may have delivered. The lock is held."""
        outcome = self._unacknowledged.replace_sent()
        if outcome.replaced:
            self._counters.add("runtime.reply_omitted", outcome.replaced)
        if outcome.dropped:
            self._counters.add("runtime.reply_not_repeated", outcome.dropped)

    def _on_load(self, message: dict[str, Any]) -> None:
        """Handle the reply to a gauge request.

        The reply to the request that followed `sync` comes after all missed notices, so that commands without
        acknowledgement can be sent again.
        """
        cookie = str(message["cookie"])
        if cookie == f"sync{self._link_count}":
            self._resend()
            return
        with self._lock:
            self._unacknowledged.acknowledge_gauges(cookie)
        self._post(GaugesReceived(cookie, tuple(float(value) for value in message["stats"])))

    def _acknowledge_end(self, run_id: str) -> None:
        """Forget all commands for a run that has ended."""
        with self._lock:
            self._unacknowledged.acknowledge_run(run_id)

    def _acknowledge(self, run_id: str, names: Container[str]) -> None:
        """Record that the runtime has read the commands of these names for a run."""
        with self._lock:
            self._unacknowledged.acknowledge_names(run_id, names)

    def _on_end(self, message: dict[str, Any]) -> None:
        run_id, outcome = str(message["call"]), OUTCOMES[message["how"]]
        self._acknowledge_end(run_id)
        result = Result(lines.decode_body(message.get("blob", ""))) if outcome is Outcome.OK else None
        self._post(RunFinished(run_id, outcome, int(float(message.get("duration", 0)) * 1000), result))

    def _on_wants(self, message: dict[str, Any]) -> None:
        run_id = str(message["call"])
        self._acknowledge(run_id, READ_BEFORE_CALL)
        self._post(CallRequested(run_id, int(message["serial"]), lines.decode_body(message.get("blob", ""))))

    def _on_nack(self, message: dict[str, Any]) -> None:
        run_id, name = str(message.get("call", "")), str(message.get("how"))
        self._counters.warn("runtime.nack", "runtime: the command {} for {} was rejected", name, run_id)
        if name == START:  # the run was not started and will not be
            self._acknowledge_end(run_id)
            self._post(RunFinished(run_id, Outcome.NOT_STARTED))
        else:
            self._acknowledge(run_id, (name,))


def _command(name: str, run_id: str, **fields: Any) -> Command:
    return Command(run_id, name, lines.encode_json_line({"msg": name, "call": run_id, **fields}))
