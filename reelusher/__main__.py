"""Run one booking node."""

import os
import sys

from reelusher.server import main

if __name__ == "__main__":
    status = main()
    sys.stderr.flush()
    os._exit(status)  # daemon threads hold sockets; nothing is left to do
