"""One caller's connection: the requests that are open on it, and its answers."""

import socket
import threading
import time

from reelusher.codecs import msgpack
from reelusher.core.messages import IncomingRequest
from reelusher.drain.connection_shutdown import unread_bytes
from reelusher.drain.schedule import ConnectionPhase, ConnectionState
from reelusher.frontends.rpc.fields import LAST_CALL_NOTICE
from reelusher.frontends.rpc.requests import Reply
from reelusher.net.send_buffer import ByteBudget, SendBuffer
from reelusher.net.sockets import Address

ANSWER, NOTICE = 1, 2  # message types of MessagePack-RPC; 0 is a request
MAX_FRAME_BYTES = 1 << 14  # size limit of one request; its body and fields take at most a third
MAX_FRAME_VALUES = 256  # limit on the values in one request; one with all fields has 22
MAX_BACKLOG_BYTES = 1 << 18  # size limit of the answers that wait for a slow caller


class Connection:
    """One caller's connection. Only the poller's thread reads it; the event loop sends on it too."""

    def __init__(self, sock: socket.socket, budget: ByteBudget, peer: Address = ("", 0)) -> None:
        self.sock = sock
        self.peer = peer
        self.send_buffer = SendBuffer(sock, MAX_BACKLOG_BYTES, budget)
        self.decoder = msgpack.Decoder(MAX_FRAME_BYTES, MAX_FRAME_VALUES)
        self.lock = threading.Lock()
        self.open_requests: dict[int, IncomingRequest] = {}  # by message id
        self._answers_in_progress = 0
        self.last_used_s = time.monotonic()
        self.messages_read = 0
        self.bad_requests = 0
        self.rejecting_since_s = 0.0  # time since which all its requests are rejected; 0: they are not
        self.partial_since_s = 0.0  # when the present incomplete message began; 0: there is none
        self.last_call_s = 0.0  # when the caller was sent the notice `lastCall`; 0: it was not
        self.ended = False  # nothing more is read; it is closed once all requests are answered
        self.peer_closed = False  # the caller has shut down its writing side, so nothing more can arrive
        self.phase = ConnectionPhase.SERVING  # how far its shutdown has come in a drain

    @property
    def state(self) -> ConnectionState:
        """The numbers of unanswered requests, unsent bytes and unread bytes."""
        return ConnectionState(
            self.unanswered, self.send_buffer.backlog, 0 if self.ended else unread_bytes(self.sock)
        )

    @property
    def unanswered(self) -> int:
        """The number of requests that have not been answered."""
        return len(self.open_requests) + self._answers_in_progress

    def answer(self, message_id: int, reply: Reply) -> None:
        """Answer an open request; do nothing if it is not open any more.

        The event loop may call this, and so may the poller's thread when it ends the connection.
        """
        with self.lock:
            if message_id not in self.open_requests:
                return
            # counted as unanswered until it is sent: a check in between must not find everything answered
            self._answers_in_progress += 1
            del self.open_requests[message_id]
        self.send_reply(message_id, reply)
        with self.lock:
            self._answers_in_progress -= 1
            self.last_used_s = time.monotonic()

    def send_reply(self, message_id: int, reply: Reply) -> None:
        """Send a reply. Requests that were never open are answered by this alone."""
        self.send_buffer.send(msgpack.pack([ANSWER, message_id, reply.error, reply.result]))

    def send_last_call(self, now: float) -> None:
        """Tell the caller, once, to send nothing more on this connection."""
        with self.lock:
            if self.last_call_s:
                return
            self.last_call_s = now
        self.send_buffer.send(msgpack.pack([NOTICE, LAST_CALL_NOTICE, []]))

    def idle_s(self, now: float) -> float:
        """Return the seconds since a message was last read or answered; 0 while a request is open."""
        with self.lock:
            return 0.0 if self.unanswered else now - self.last_used_s

    def record_message(self) -> None:
        """Record that a message was read."""
        self.messages_read += 1
        with self.lock:
            self.last_used_s = time.monotonic()
