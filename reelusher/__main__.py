"""Run one booking node."""

import os
import signal
import sys

from reelusher.drain.signals import SignalWatch

if __name__ == "__main__":
    # made before the other imports, which take most of a start: even a SIGHUP must not end the process then
    watch = SignalWatch((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    from reelusher.node import main

    status = main(watch)
    sys.stderr.flush()
    os._exit(status)  # daemon threads still hold sockets; the interpreter's cleanup is not needed
