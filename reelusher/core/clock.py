"""The node's clock: Unix time in microseconds that never goes backwards."""

import threading
import time
from collections.abc import Callable


class Clock:
    """Reads the system's Unix clock; a step back of that clock is held flat."""

    def __init__(self, read: Callable[[], int] = time.time_ns) -> None:
        self._read = read
        self._last = 0
        self._lock = threading.Lock()

    def now(self) -> int:
        """Return the time in microseconds, at least as late as any time returned before."""
        with self._lock:  # two threads at once could set it back
            self._last = max(self._last, self._read() // 1000)
            return self._last
