"""Processes of simulated members that join the real nodes of a run."""

import asyncio
import json
import sys
import time
from collections.abc import Sequence
from typing import Any

from reelusher.lab.capacity.fault_run_context import FaultRunContext
from reelusher.lab.capacity.fault_run_plan import SETTLE_TIMEOUT_S, START_TIMEOUT_S
from reelusher.lab.capacity.hollow import loopback_hosts
from reelusher.lab.capacity.tenant_changes import SERIAL_BASE
from reelusher.lab.fleet.processes import ROOT
from reelusher.lab.fleet.rig import free_port

# wait after a kill, on the members' clock, for each simulated member of a process: the process gossips the
# news of the kill for all of its members
GOSSIP_S_PER_MEMBER = 0.01
COMMAND_TIMEOUT_S = 120.0  # in which a process of simulated members must reply to a command


class SimulatedMembers:
    """The processes that run the simulated members of a run, each a shard of them."""

    def __init__(self, context: FaultRunContext) -> None:
        self._context = context
        self._checker, self._loop = context.checker, context.loop
        self.processes: list[asyncio.subprocess.Process] = []
        self._command_lock = asyncio.Lock()
        self._status_before: dict[str, Any] = {}

    async def start(self) -> None:
        """Start the processes, and have their members ask the nodes to join."""
        count, shard_count = self._context.plan.simulated_members, self._context.plan.member_process_count
        port, incarnation = free_port(loopback_hosts(count)), int(time.time() * 1000)
        for shard in range(shard_count):
            log = self._context.nodes.log_file(f"hollow-{shard}").open("ab")
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-O",
                    "-m",
                    "reelusher.lab.capacity.hollow",
                    "--members",
                    str(count),
                    "--control",
                    *self._context.control,
                    "--secret",
                    str(self._context.nodes.secret),
                    "--sealed",
                    "--part",
                    str(shard),
                    "--parts",
                    str(shard_count),
                    "--port",
                    str(port),
                    "--life",
                    str(incarnation),
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=log,
                    cwd=ROOT,
                )
            )
            log.close()
        await asyncio.gather(*map(self._read_status, self.processes))
        await self.command_all(
            join=["{}:{}".format(*addresses.advertise) for addresses in self._context.addresses.values()]
        )

    async def begin_measuring(self) -> None:
        """Measure from now on which part of real time and of a core the processes use."""
        self._status_before = await self.command_all()

    def kill(self) -> None:
        """Kill the processes that still run."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()

    async def _read_status(self, process: asyncio.subprocess.Process) -> dict[str, Any]:
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), COMMAND_TIMEOUT_S)
        if not line:
            raise RuntimeError("a process of simulated members has ended")
        status: dict[str, Any] = json.loads(line)
        return status

    async def _command(self, process: asyncio.subprocess.Process, command: dict[str, Any]) -> dict[str, Any]:
        assert process.stdin is not None
        process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self._read_status(process)

    async def command_all(self, **command: Any) -> dict[str, Any]:
        """Send a command to all processes of simulated members; return their merged status."""
        async with self._command_lock:
            return merged_statuses(
                await asyncio.gather(*(self._command(process, command) for process in self.processes))
            )

    async def end(self) -> None:
        """Check that all simulated members have the expected table, and end their processes."""
        if not self.processes:
            return
        wanted = {
            name: [SERIAL_BASE + row[0], row[1]] for name, row in self._checker.expected().items() if row
        }
        deadline_s, status = self._loop.time() + SETTLE_TIMEOUT_S, dict[str, Any]()
        member_count = self._context.plan.simulated_members
        while (status := await self.command_all(rows=wanted))["right"] < member_count:
            if self._loop.time() > deadline_s:
                self._checker.violations.append(
                    f"only {status['right']} of {member_count} simulated members have all changes"
                )
                break
            await asyncio.sleep(0.5)
        clock_s, lost_s, processor_s = (
            status[key] - self._status_before[key] for key in ("clock_s", "lost_s", "processor_s")
        )
        self._context.figures["hollow"] = status | {
            "of_real_time": round(clock_s / (clock_s + lost_s), 3),
            "of_a_core": round(processor_s / (clock_s + lost_s), 3),
        }
        for process in self.processes:
            assert process.stdin is not None
            process.stdin.close()
            await asyncio.wait_for(process.wait(), START_TIMEOUT_S)

    async def wait_for_gossip(self) -> None:
        """Wait until simulated members have had time, by their clock, to gossip about a kill."""
        if not self.processes:
            return
        gossip_s = (
            self._context.plan.simulated_members
            / self._context.plan.member_process_count
            * GOSSIP_S_PER_MEMBER
        )
        until_s = (await self.command_all())["clock_s"] + gossip_s
        deadline_s = self._loop.time() + COMMAND_TIMEOUT_S
        while (await self.command_all())["clock_s"] < until_s:
            if self._loop.time() > deadline_s:
                self._checker.violations.append(
                    f"simulated members took more than {COMMAND_TIMEOUT_S:.0f} s to gossip about a kill"
                )
                return
            await asyncio.sleep(0.2)


def merged_statuses(statuses: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Merge the statuses of several processes of simulated members.

    Values are summed, but of clocks the slowest counts, of lost time the most, and of `live_*` the extreme.
    """
    combine = {"clock_s": min, "lost_s": max, "live_least": min, "live_most": max}
    return {
        key: combine.get(key, sum)([status.get(key, 0) for status in statuses])
        for key in dict.fromkeys(key for status in statuses for key in status)
    }
