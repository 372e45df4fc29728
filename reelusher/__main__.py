"""Run one booking node."""

import os
import signal
import sys

from reelusher.drain.signals import SignalWatch

if __name__ == "__main__":
    # before the rest is imported, which takes the longest part of a start: not even a SIGHUP then may end it
    watch = SignalWatch((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    from reelusher.node import main

    status = main(watch)
    sys.stderr.flush()
    os._exit(status)  # daemon threads hold sockets; nothing is left to do
