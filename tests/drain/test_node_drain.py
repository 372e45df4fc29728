"""Graceful shutdown of a whole process, also on a core that it shares with busy processes."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import pytest
import scenario
import starved
from helpers import free_address

ROOT = Path(__file__).parents[2]


# Starts a thread that blocks no signals, as a preloaded library may do, and then runs the program.
PROGRAM_WITH_FOREIGN_THREAD = """
import runpy, sys, threading, time
threading.Thread(target=time.sleep, args=(60,), daemon=True).start()
runpy.run_module("reelusher", run_name="__main__", alter_sys=True)
"""


@contextlib.contextmanager
def program(
    folder: Path, stop_ms: int, arguments: Sequence[str] = ("-m", "reelusher")
) -> Iterator["subprocess.Popen[bytes]"]:
    """Run the program until the end of the block, which is entered once the program listens."""
    path = folder / "config.json"
    address = "{}:{}".format(*free_address())
    path.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": address,
                "runtime": "127.0.0.1:1",
                "stop_ms": stop_ms,
                "settings": scenario.SETTINGS,
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-O", *arguments],
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path)},
        stderr=subprocess.PIPE,
    )
    try:
        assert process.stderr is not None
        while b"listens on" not in (line := process.stderr.readline()):
            assert line, "the program ended before it listened"
        yield process
    finally:
        process.kill()


def test_signals_are_received_after_the_process_was_stopped_and_continued(tmp_path: Path) -> None:
    """Guard against an interrupted wait that ends the thread that receives signals.

    A platform that limits processor time stops and continues processes in this way.
    """
    with program(tmp_path, 1000) as process:
        for _ in range(20):
            process.send_signal(signal.SIGSTOP)
            time.sleep(0.06)  # longer than the poll interval, so that each wait has expired afterwards
            process.send_signal(signal.SIGCONT)
            time.sleep(0.01)
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=30)
        assert process.returncode == 0
        assert b"thread failed" not in errors


def test_signal_delivered_to_a_thread_that_blocks_none_drains_the_node(tmp_path: Path) -> None:
    """Guard against SIGTERM ending the node at once, with all its open requests.

    The masks of the program's threads have no effect on a signal if another thread does not block it. This
    happened in the fleet's bench.
    """
    with program(tmp_path, 1000, ("-c", PROGRAM_WITH_FOREIGN_THREAD)) as process:
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=30)
        assert b"reload: new addresses: none" in errors
        assert b"drain: finished after" in errors
        assert process.returncode == 0


def test_drain_starts_while_a_reload_waits_for_its_file(tmp_path: Path) -> None:
    """Guard against a reload that delays SIGTERM until the process is killed.

    A single thread handled all signals, so a configuration file that could not be read blocked it.
    """
    with program(tmp_path, 2000) as process:
        path = tmp_path / "config.json"
        path.unlink()
        os.mkfifo(path)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0


@pytest.mark.parametrize(
    "load",
    [
        starved.Load(busy_processes=9, requests_per_s=120.0, new_connections_per_s=0.0, seed=1),
        starved.Load(
            busy_processes=9, requests_per_s=40.0, new_connections_per_s=230.0, seed=2, sighup_before_s=0.2
        ),
    ],
    ids=["callers", "connections"],
)
def test_drain_on_a_tenth_of_a_core_meets_the_requirements(load: starved.Load) -> None:
    tally = starved.measure_drain(load)
    violations = tally.violations()
    violations.pop("late", None)  # the delay of a starved node's answers depends on the machine
    assert violations == {}, f"{dict(tally)}\n{tally.log}"
    assert tally["served"] > 0, f"{dict(tally)}\n{tally.log}"
