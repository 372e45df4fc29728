#!/bin/sh
# Builds the stand-ins of the cases: they are Python and need the environment of the deploy file's build only.
# Checks that it is there and that all that a script starts can be compiled and imported. No network is needed.
folder=$(cd "$(dirname "$0")" && pwd) || exit 1
cd "$folder/.." || exit 1
export PYTHONDONTWRITEBYTECODE=1
.venv/bin/python - <<'PYTHON'
import ast
import sys
from pathlib import Path

sys.path[:0] = ["review", "."]
for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
import reelusher.codecs.ajp13
import reelusher.codecs.msgpack

import standins.fleet
import standins.hosted
import standins.platform

print("review: the stand-ins are ready")
PYTHON
