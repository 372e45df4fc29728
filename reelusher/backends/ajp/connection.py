"""A TCP connection to an AJP worker."""

import select
from typing import TYPE_CHECKING

from reelusher.codecs import ajp13
from reelusher.codecs.errors import MalformedError
from reelusher.net.sockets import connect

if TYPE_CHECKING:
    from reelusher.config.operator.workers import Worker


READ_BYTES = 1 << 16


class WorkerUnreachableError(Exception):
    """No connection to the worker could be opened or validated: no request was sent, so none ran."""


class WorkerConnection:
    """An open connection to a worker. It carries one request at a time."""

    def __init__(self, config: "Worker") -> None:
        """Connect to the worker. Raises OSError if that fails."""
        self.sock = connect((config.host, config.port), config.connect_timeout_ms / 1000)
        self._decoder = ajp13.PacketDecoder(ajp13.TO_SERVER, ajp13.MAX_PACKET_BYTES)
        self._replies: list[ajp13.Reply] = []

    def next_reply(self) -> ajp13.Reply:
        """Wait for the next packet of the worker and return it decoded.

        Raises OSError if the connection is closed or times out, `MalformedError` for an invalid packet.
        """
        while not self._replies:
            data = self.sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError("the worker closed the connection")
            self._replies += map(ajp13.read_reply, self._decoder.feed(data))
        return self._replies.pop(0)

    def ping(self, timeout_s: float) -> None:
        """Send a CPing and wait for the CPong.

        Raises OSError if none arrives in time, `MalformedError` for any other reply.
        """
        self.sock.settimeout(timeout_s)
        self.sock.sendall(ajp13.packet(ajp13.TO_CONTAINER, bytes([ajp13.CPING])))
        if not isinstance(self.next_reply(), ajp13.Pong):
            raise MalformedError("received something other than a CPong")

    def is_stale(self) -> bool:
        """Return whether the worker has closed the connection or sent unrequested data."""
        poll = select.poll()  # not recv with MSG_DONTWAIT: a socket with a timeout would still wait
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()
