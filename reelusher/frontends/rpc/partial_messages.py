"""The memory of incomplete messages, over all connections of callers together."""

from reelusher.frontends.rpc.connection import Connection


class PartialMessages:
    """Limits the memory that incomplete messages take. All methods run on the poller's thread.

    Each connection may hold a part of one message. Beyond the limit those that have been incomplete for the
    longest time have to go: a message of a usual caller is complete soon after it began.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._total_bytes = 0
        self._bytes_by_connection: dict[Connection, int] = {}  # in the order in which the messages began

    @property
    def total_bytes(self) -> int:
        """The memory that all incomplete messages take at most."""
        return self._total_bytes

    def update(self, connection: Connection) -> list[Connection]:
        """Record what a connection holds now; return the connections to end, so that the limit holds."""
        held_bytes = connection.decoder.held_bytes
        if not held_bytes:
            self.remove(connection)
            return []
        self._total_bytes += held_bytes - self._bytes_by_connection.get(connection, 0)
        self._bytes_by_connection[connection] = held_bytes
        return self._remove_oldest() if self._total_bytes > self._max_bytes else []

    def remove(self, connection: Connection) -> None:
        """Record that a connection holds no part of a message any more."""
        self._total_bytes -= self._bytes_by_connection.pop(connection, 0)

    def _remove_oldest(self) -> list[Connection]:
        removed = []
        while self._total_bytes > self._max_bytes:
            oldest = next(iter(self._bytes_by_connection))
            self.remove(oldest)
            removed.append(oldest)
        return removed
