"""The decisions of the simulator's adapter for fixed seeds, compared by a digest of all its replies."""

import os
import struct
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

from golden.recordings import load
from golden.simulated_worker import SITES, Simulation

ROOT = Path(__file__).parent.parent.parent
DURATION_US = 18_000_000
RUNS = {**{site: ([site], 1) for site in SITES}, "mixed": ([*SITES], 2)}
GOLDEN = "decisions.json"


def sim_command() -> list[str]:
    """Return the command in the deploy file that starts the adapter."""
    deployed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return ["sh", "-c", deployed["sim"]]


def simulate(name: str, record_to: Path | None = None) -> dict[str, Any]:
    """Simulate one of RUNS with a process of the adapter, and return the result.

    The input is written to `record_to`, if given, to measure the speed of the adapter with it.
    """
    sites, seed = RUNS[name]
    process = subprocess.Popen(
        sim_command(),
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONHASHSEED": "random"},
    )
    assert process.stdin is not None
    assert process.stdout is not None
    stdin, stdout, sent = process.stdin, process.stdout, bytearray()

    def exchange(frame: bytes) -> tuple[bytes, bytes]:
        stdin.write(frame)
        stdin.flush()
        if record_to is not None:
            sent.extend(frame)
        header = stdout.read(12)
        return header, stdout.read(struct.unpack("<III", header)[2])

    with process, stdin:
        simulation = Simulation(exchange, sites, seed, DURATION_US)
        simulation.run()
        stdin.close()
        assert process.wait(10) == 0
    if record_to is not None:
        record_to.write_bytes(sent)
    return simulation.result()


@pytest.mark.parametrize("name", RUNS)
def test_decisions_are_the_recorded_ones(name: str) -> None:
    assert simulate(name) == load(GOLDEN)[name]


def test_the_recorded_runs_contain_every_action() -> None:
    codes = {code for run in load(GOLDEN).values() for code in run["actions"]}
    assert codes == {str(code) for code in (1, 2, 3, 4, 5, 6, 8, 9, 10, 12, 13, 14, 15)}
