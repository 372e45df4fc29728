"""An upgrade after new settings at SIGHUP: the two processes of one node both run one keyed request."""

import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parents[1])]

from standins.case import TROUBLE, Case, CouldNotRunError, run, text, wait_until  # noqa: E402
from standins.platform import Caller, Catalog, Runtime, operator_call  # noqa: E402

WINDOW_MS = 22_971
KEY, BODY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", b"chair 4, Monday 9:00"


def category(name: str, deadline_ms: int, aim_ms: int, worth: float, window_ms: int = 0) -> dict[str, Any]:
    """Return a class of the settings; with a window it is keyed."""
    return {
        "name": name,
        "effect": "token" if window_ms else "pure",
        "deadline_us": deadline_ms * 1000,
        "objective_us": aim_ms * 1000,
        "worth": worth,
        "late_share": 0.0,
        "repeat_window_us": (window_ms or 5000) * 1000,
    }


SLOT_SEARCH = category("slot-search", 10_000, 3_100, 1.0)
DAY_VIEW = category("day-view", 5_100, 1_500, 1.0)
PATIENT_FILE = category("patient-file", 13_000, 3_800, 2.0)
BOOK_VISIT = category("book-visit", 7_700, 2_600, 4.0, WINDOW_MS)
BEFORE = [SLOT_SEARCH, DAY_VIEW, PATIENT_FILE, BOOK_VISIT]
AFTER = [SLOT_SEARCH, DAY_VIEW, BOOK_VISIT]  # the class patient-file is dropped


def settings(categories: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the settings of a small node of the last tier."""
    return {
        "categories": categories,
        "family_info": {
            "below": "silent",
            "blowup": 16.0,
            "caller_idle_us": 30_000_000,
            "class_calls": [False] * len(categories),
            "class_skip_worth": [0.0] * len(categories),
            "clients_total": 3,
            "cores": 2,
            "entry_kb": 20.0,
            "fresh_start": False,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "pause",
            "heard_for_us": 1_000_000,
            "ram_kb": 20_000.0,
            "say": "tokens",
        },
        "group_size": 4,
        "limits": {"retry_after": True, "max_retry_after_us": 1_000_000},
        "rules": {
            "answer_slack_us": 80_000,
            "cold_from": 0.31,
            "cold_us": 18_000_000,
            "drain_grace_us": 2_500_000,
            "fall_us": 2_000_000,
            "tip_multiple": 6.0,
        },
        "tick_us": 5000,
    }


class Process:
    """One process of the node `n3`: its runtime, its second address, its file."""

    def __init__(self, case: Case, name: str, listen: tuple[str, int], directory: tuple[str, int]) -> None:
        self._case, self.name = case, name
        self.runtime = Runtime(f"runtime of {name}", case.record)
        self.operator = case.address()
        self._path = case.folder / f"{name}.json"
        self._config = {
            "name": "n3",
            "listen": text(listen),
            "runtime": text(self.runtime.address),
            "directory": text(directory),
            "operator": text(self.operator),
            "seed": "8c1f30d27a5be964",
            "stop_ms": 4000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        }

    def write_config(self, categories: list[dict[str, Any]]) -> None:
        """Replace the file of the process."""
        self._case.record(f"{self.name}: file with the classes {[each['name'] for each in categories]}")
        temporary = self._path.with_suffix(".new")
        temporary.write_text(json.dumps({**self._config, "settings": settings(categories)}))
        temporary.rename(self._path)

    def start(self, within_s: float = 20.0) -> None:
        """Start the process, and wait until its health check says yes."""
        environment = {"PROXY_CONFIG": str(self._path), "TMPDIR": str(self._case.folder)}
        self.node = self._case.start_node(self.name, environment)
        wait_until(f"{self.name} says yes", self._says_yes, within_s)
        self._case.record(f"{self.name}: GET /healthcheck says yes")

    def _says_yes(self) -> bool:
        return operator_call(self.operator, "GET", "/healthcheck")[0] == 200

    def reload(self) -> None:
        """Send SIGHUP, and wait until the file is taken up."""
        before = self._applied()
        self.node.signal(signal.SIGHUP)
        wait_until("the new settings are applied", lambda: self._applied() > before)
        self._case.record(f"{self.name}: sighup_applied is {before + 1}")

    def _applied(self) -> int:
        return int(operator_call(self.operator, "GET", "/stats")[1].get("sighup_applied", 0))


def play(case: Case) -> str:
    """Return how the rule was broken, or an empty string."""
    listen, catalog, caller = case.address(), Catalog(), Caller(4, case.record)
    old = Process(case, "old", listen, catalog.address)
    new = Process(case, "new", listen, catalog.address)
    old.write_config(BEFORE)
    old.start()
    time.sleep(1.2)  # never in the first second of service
    classes = BEFORE
    if TROUBLE:
        classes = AFTER
        old.write_config(classes)
        old.reload()
        time.sleep(1.2)  # callers use new settings 1.2 s later

    first_door_s = time.time()
    verdict, _ = caller.request(listen, "book-visit", KEY, BODY)
    if verdict != "served" or len(old.runtime.runs) != 1:
        raise CouldNotRunError(f"the first try was answered {verdict}")

    new.write_config(classes)  # the same file as the old process has now
    new.start(within_s=6)
    old.node.signal(signal.SIGTERM)
    if old.node.wait(6) != 0 or "handing over" not in old.node.log():
        raise CouldNotRunError("the old process did not hand over")

    verdict, result = caller.request(listen, "book-visit", KEY, BODY)
    age_ms = (time.time() - first_door_s) * 1000
    if age_ms > WINDOW_MS:
        raise CouldNotRunError(f"the second try came {age_ms:.0f} ms after the first")
    runs = old.runtime.runs + new.runtime.runs
    case.record(f"runs of {KEY}: {[run_id for run_id, *_ in runs]}, second try at most {age_ms:.0f} ms after")
    if len(runs) > 1:
        return f"{len(runs)} runs of one book-visit within its window; the second try: {verdict} {result!r}"
    return ""


if __name__ == "__main__":
    run(FOLDER, play)
