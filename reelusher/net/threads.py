"""Threads with small stacks."""

import threading
from collections.abc import Callable

STACK_BYTES = 256 * 1024  # stack of every thread; the deepest parser needs a small part of that


def start_thread(name: str, function: Callable[[], object]) -> threading.Thread:
    """Start a daemon thread with a small stack. Raises RuntimeError if it cannot be started."""
    threading.stack_size(STACK_BYTES)
    thread = threading.Thread(target=function, name=name, daemon=True)
    thread.start()
    return thread
