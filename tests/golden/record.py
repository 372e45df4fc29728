"""Record all golden data anew: `PYTHONPATH=.:tests .venv/bin/python -m golden.record`.

Run this only after an intended change of an external format, since the tests compare the program with these
data.
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
    """Record all golden files."""
    save(test_decisions.GOLDEN, {name: test_decisions.simulate(name) for name in test_decisions.RUNS})
    save(test_messages.GOLDEN, test_messages.sealed_messages())
    save(test_messages.AGREEMENTS, test_messages.agreed_values())
    stored = path_of(test_stored_data.FOLDER)
    shutil.rmtree(stored, ignore_errors=True)
    test_stored_data.record(stored)
    save(test_stored_data.GOLDEN, test_stored_data.stored_contents(stored))
    save(test_exchanges.GOLDEN, test_exchanges.sent_bytes())
    save(test_interfaces.OPENAPI, openapi.document())
    save(test_interfaces.ANSWERS, test_interfaces.all_answers())
    save(test_interfaces.COUNTERS, test_interfaces.counter_names())
    save(test_interfaces.ERRORS, test_interfaces.configuration_errors())
    save(test_interfaces.REASONS, test_interfaces.reason_phrases())
    save(test_interfaces.IMPORTED, test_interfaces.imported())
    (stored / "state.json").write_text(json.dumps(OLD_STATE_FILE))
    with tempfile.TemporaryDirectory() as folder:
        old_file = Path(folder) / "state.json"
        old_file.write_text(json.dumps(OLD_STATE_FILE))
        save(
            test_stored_data.FROM_OLD_FILE, test_stored_data.migrate_old_file(Path(folder) / "new", old_file)
        )


if __name__ == "__main__":
    main()
