"""Write golden data from the program as it is: `PYTHONPATH=.:tests .venv/bin/python -m golden.record`.

Only for a change of an external form that is meant: the tests hold the program to what is recorded.
"""

import json
import shutil
import tempfile
from pathlib import Path

from golden import test_decisions, test_exchanges, test_interfaces, test_messages, test_stored_data
from golden.recordings import path_of, save
from reelusher.admin import openapi

OLD_STATE_FILE = {
    "tenants": [
        {"name": "clinic", "backend": "w", "hosts": ["clinic.example"]},
        {"name": "ward", "backend": "w", "hosts": ["ward.example", "www.ward.example"], "prefix": "/ward"},
    ]
}


def main() -> None:
    """Record everything."""
    save(test_decisions.GOLDEN, {name: test_decisions.observed(name) for name in test_decisions.RUNS})
    save(test_messages.GOLDEN, test_messages.observed())
    save(test_messages.AGREEMENTS, test_messages.agreements())
    stored = path_of(test_stored_data.FOLDER)
    shutil.rmtree(stored, ignore_errors=True)
    test_stored_data.record(stored)
    save(test_stored_data.GOLDEN, test_stored_data.written_by(stored))
    save(test_exchanges.GOLDEN, test_exchanges.observed())
    save(test_interfaces.OPENAPI, openapi.document())
    save(test_interfaces.ANSWERS, test_interfaces.answers())
    save(test_interfaces.COUNTERS, test_interfaces.counter_names())
    save(test_interfaces.ERRORS, test_interfaces.configuration_errors())
    save(test_interfaces.REASONS, test_interfaces.reason_phrases())
    save(test_interfaces.IMPORTED, test_interfaces.imported())
    (stored / "state.json").write_text(json.dumps(OLD_STATE_FILE))
    with tempfile.TemporaryDirectory() as folder:
        old = Path(folder) / "state.json"
        old.write_text(json.dumps(OLD_STATE_FILE))
        save(test_stored_data.FROM_OLD_FILE, test_stored_data.taken_over(Path(folder) / "new", old))


if __name__ == "__main__":
    main()
