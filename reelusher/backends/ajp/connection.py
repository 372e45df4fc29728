"""A connection to an AJP worker."""

import select
from typing import TYPE_CHECKING

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.net.sockets import connect

if TYPE_CHECKING:
    from reelusher.config.operator.workers import Worker


READ_BYTES = 1 << 16


class WorkerUnreachableError(Exception):
    """The worker can't be reached: nothing was sent, so nothing ran."""


class WorkerConnection:
    """One connection; it carries one request at a time."""

    def __init__(self, config: "Worker") -> None:
        """Connect; raise OSError where that fails."""
        self.sock = connect((config.host, config.port), config.connect_timeout_ms / 1000)
        self._packets = ajp13.PacketDecoder(ajp13.TO_SERVER, ajp13.MAX_PACKET_BYTES)
        self._replies: list[ajp13.Reply] = []

    def reply(self) -> ajp13.Reply:
        """Wait for the next reply."""
        while not self._replies:
            data = self.sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError("the worker closed the connection")
            self._replies += map(ajp13.read_reply, self._packets.feed(data))
        return self._replies.pop(0)

    def ping(self, timeout_s: float) -> None:
        """Check that the container answers."""
        self.sock.settimeout(timeout_s)
        self.sock.sendall(ajp13.packet(ajp13.TO_CONTAINER, bytes([ajp13.CPING])))
        if not isinstance(self.reply(), ajp13.Pong):
            raise MalformedError("something other than a CPong")

    def is_stale(self) -> bool:
        """Return whether the container has closed, or sent something unrequested."""
        poll = select.poll()  # a peek would wait: the time-out of a socket overrides MSG_DONTWAIT
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()
