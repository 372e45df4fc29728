"""One caller's connection: the requests that are open on it, and its answers."""

import socket
import threading
import time

from reelusher.codecs import msgpack
from reelusher.drain.connection_shutdown import unread_bytes
from reelusher.drain.schedule import ConnectionPhase, ConnectionState
from reelusher.frontends.rpc.fields import LAST_CALL_NOTICE
from reelusher.frontends.rpc.requests import Reply
from reelusher.net.send_buffer import ByteBudget, SendBuffer
from reelusher.net.sockets import Address

ANSWER, NOTICE = 1, 2  # message types of MessagePack-RPC; 0 is a request
MAX_FRAME_BYTES = 1 << 14  # of one request; its body and fields take a third of that
MAX_BACKLOG_BYTES = 1 << 18  # answers that a slow caller may leave unread


class Connection:
    """One caller's connection. Only the poller reads it; answers come from the event loop."""

    def __init__(self, sock: socket.socket, budget: ByteBudget, peer: Address = ("", 0)) -> None:
        self.sock = sock
        self.peer = peer
        self.send_buffer = SendBuffer(sock, MAX_BACKLOG_BYTES, budget)
        self.decoder = msgpack.Decoder(MAX_FRAME_BYTES)
        self.lock = threading.Lock()
        self.open_requests: dict[int, str] = {}  # by message id: the run id
        self._answers_in_progress = 0
        self.last_used_s = time.monotonic()
        self.messages_read = 0
        self.bad_requests = 0
        self.rejecting_since_s = (
            0.0  # since when all requests on it are rejected, until it ends; 0: they aren't
        )
        self.partial_since_s = 0.0  # when the message that is incomplete so far began; 0: there is none
        self.last_call_s = 0.0  # when the last call was sent; 0: not yet
        self.ended = False  # nothing more is read; it is closed once all is answered
        self.peer_closed = False  # the other side has shut its writing side, so nothing more can come
        self.phase = ConnectionPhase.SERVING  # of a drain

    @property
    def state(self) -> ConnectionState:
        """What is unfinished on it."""
        return ConnectionState(
            self.unanswered, self.send_buffer.backlog, 0 if self.ended else unread_bytes(self.sock)
        )

    @property
    def unanswered(self) -> int:
        """How many requests have not got their answer."""
        return len(self.open_requests) + self._answers_in_progress

    def answer(self, message_id: int, reply: Reply) -> None:
        """Answer an open request, once: the event loop, and the poller at the end, may both do so."""
        with self.lock:
            if message_id not in self.open_requests:
                return
            # counted until it is sent: a look between the two must not find everything answered
            self._answers_in_progress += 1
            del self.open_requests[message_id]
        self.send_reply(message_id, reply)
        with self.lock:
            self._answers_in_progress -= 1
            self.last_used_s = time.monotonic()

    def send_reply(self, message_id: int, reply: Reply) -> None:
        """Send an answer; for requests that never were open."""
        self.send_buffer.send(msgpack.pack([ANSWER, message_id, reply.error, reply.result]))

    def send_last_call(self, now: float) -> None:
        """Ask the caller to send nothing more on this connection."""
        with self.lock:
            if self.last_call_s:
                return
            self.last_call_s = now
        self.send_buffer.send(msgpack.pack([NOTICE, LAST_CALL_NOTICE, []]))

    def idle_s(self, now: float) -> float:
        """Return for how long no request has been open."""
        with self.lock:
            return 0.0 if self.unanswered else now - self.last_used_s

    def use(self) -> None:
        """Record that a message was read."""
        self.messages_read += 1
        with self.lock:
            self.last_used_s = time.monotonic()
