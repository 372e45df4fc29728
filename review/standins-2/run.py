"""Plays the case whose number is the argument; status 2 if it can't even be loaded."""

import os
import runpy
import signal
import sys
import traceback
from pathlib import Path

signal.signal(signal.SIGTERM, signal.default_int_handler)  # the case then ends what it has started
try:
    runpy.run_path(str(Path(__file__).resolve().parents[1] / sys.argv[1] / "play.py"))
except BaseException:
    traceback.print_exc()
    os._exit(2)
