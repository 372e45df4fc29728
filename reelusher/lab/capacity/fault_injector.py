"""Injects the faults of a run: kills at chosen moments, pauses, cuts, restarts and lost replicas."""

import asyncio
import signal
from collections import Counter, deque

from reelusher.lab.capacity.fault_run_context import FaultRunContext
from reelusher.lab.capacity.fault_run_plan import SETTLE_TIMEOUT_S, START_TIMEOUT_S, ZONES
from reelusher.lab.capacity.simulated_members import SimulatedMembers
from reelusher.lab.fleet.plan import Fault

# Moments of kills, in turn. "during" and "after" kill the leader of a tenant's partition, while the tenant is
# being changed or right after the change is acknowledged; "asked" kills the node that a change is sent to,
# while the change is in progress; "any" kills any running node at once.
KILL_MOMENTS = ("after", "during", "asked", "after", "any")
# number of kills for each pause, cut, restart and lost replica
KILLS_PER_PAUSE, KILLS_PER_CUT, KILLS_PER_RESTART, KILLS_PER_LOST_REPLICA = 5, 20, 7, 9


class FaultInjector:
    """Injects the planned faults, some of them at moments of changes that it is told of."""

    def __init__(self, context: FaultRunContext, members: SimulatedMembers) -> None:
        self._context = context
        self._checker, self._loop, self._random = context.checker, context.loop, context.random
        self._members = members
        # kills that wait for their moment, and the futures to set then
        self._pending_kills: deque[tuple[str, asyncio.Future[None]]] = deque()
        self.counts: Counter[str] = Counter()
        self.heal_times_s: list[float] = []

    def on_attempt(self, name: str, node: str) -> None:
        """Kill the leader, or the node that the change is sent to, during a change if such a kill is due."""
        for moment, victim in (("during", self._context.leader_of[name]), ("asked", node)):
            if (
                self._pending_kills
                and self._pending_kills[0][0] == moment
                and self._context.state[victim] == "up"
            ):
                _, done = self._pending_kills.popleft()
                self._loop.call_later(self._random.uniform(0.0, 0.03), self._kill, victim, done)
                return

    def on_acknowledged(self, name: str) -> None:
        """Kill the leader right after its acknowledgement if such a kill is due."""
        victim = self._context.leader_of[name]
        if (
            self._pending_kills
            and self._pending_kills[0][0] == "after"
            and self._context.state[victim] == "up"
        ):
            self._kill(victim, self._pending_kills.popleft()[1])

    def _kill(
        self, name: str, done: "asyncio.Future[None] | None" = None, loses_replica: bool = False
    ) -> None:
        """Kill a process with SIGKILL, and start it again later."""
        if done is not None and not done.done():
            done.set_result(None)
        if self._context.state[name] != "up":  # another fault has already taken it down
            self.counts["kills_missed"] += 1
            return
        self.counts["kills"] += 1
        self.counts["kills_of_writers"] += name in self._context.leader_of.values()
        self._context.mark_away(name, "dead")
        self._context.nodes.send(name, signal.SIGKILL)
        self._context.spawn(self._restart_when_ended(name, loses_replica))

    async def _restart_when_ended(self, name: str, loses_replica: bool = False) -> None:
        """Start a node again once its process has ended, and record that it is up."""
        if not await self._context.until(lambda: not self._context.nodes.alive(name), START_TIMEOUT_S):
            self._checker.violations.append(f"{name} did not end within {START_TIMEOUT_S:.0f} s")
            return
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        if loses_replica:
            self.counts["copies_lost"] += 1
            self._context.nodes.delete_replica(name)
            self._checker.note_copy_lost(name)
            self._context.rows[name] = {}
        self._context.callers[name].close()
        await self._context.start_node(name)
        self._checker.note_available(name, self._loop.time())

    async def _pause(self, name: str, seconds: float) -> None:
        """Pause a process with SIGSTOP for a time."""
        self.counts["stops"] += 1
        self._context.mark_away(name, "still")
        self._context.nodes.send(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._context.nodes.send(name, signal.SIGCONT)
        self._context.state[name] = "up"
        self._checker.note_available(name, self._loop.time())

    async def _drain_and_restart(self, name: str) -> None:
        """Drain a process with SIGTERM and start it again."""
        self.counts["restarts"] += 1
        self._context.mark_away(name, "leaving")
        self._context.nodes.send(name, signal.SIGTERM)
        if not await self._context.until(lambda: not self._context.nodes.alive(name), START_TIMEOUT_S):
            self._checker.violations.append(f"{name} did not end within {START_TIMEOUT_S:.0f} s of SIGTERM")
            return
        if (status := self._context.nodes.running[name].returncode) != 0:
            self._checker.violations.append(f"{name} ended with status {status}")
        await self._restart_when_ended(name)

    async def _cut_off(self, zone: str, seconds: float) -> None:
        """Cut a zone off from the others for a time, and measure how long both sides then take to agree.

        They agree when all nodes that were available since the cut have the changes that were acknowledged by
        its end.
        """
        self.counts["cuts"] += 1
        inside = frozenset(
            name for name, addresses in self._context.addresses.items() if addresses.zone == zone
        )
        fault = Fault("cut", 0.0, 0.0, inside, frozenset(self._context.names) - inside)
        self._context.cut_active = True
        self._checker.note_cut(self._context.names, self._loop.time(), True)
        await self._members.command_all(cut=[zone])
        self._context.net.begin(fault)
        await asyncio.sleep(seconds)
        self._context.net.end(fault)
        await self._members.command_all(cut=[])
        healed_s = self._loop.time()
        histories = [self._checker.history(name) for name in self._context.tenants]
        targets = [
            (history, len(history.steps) - 1 - (history.last.acked_s is None)) for history in histories
        ]

        def agreed() -> bool:
            steady = [
                node
                for node in self._context.names
                if not self._checker.was_unavailable(node, healed_s - seconds, self._loop.time())
            ]
            return all(
                history.min_step_index.get(node, 0) >= number or history.steps[number].row is None
                for node in steady
                for history, number in targets
            )

        if await self._context.until(agreed, SETTLE_TIMEOUT_S):
            self.heal_times_s.append(self._loop.time() - healed_s)
        else:
            self._checker.violations.append(
                f"{SETTLE_TIMEOUT_S:.0f} s after a cut of zone {zone} the sides do not agree"
            )
        self._checker.note_cut(self._context.names, self._loop.time(), False)
        self._context.cut_active = False

    async def inject(self) -> None:
        """Inject the planned number of kills, with pauses, cuts and restarts in between."""
        began_s, max_away = (
            self._loop.time(),
            max(1, min(self._context.plan.max_away, len(self._context.names) // 4)),
        )
        for number in range(self._context.plan.kills):
            if not await self._context.until(
                lambda: len(self._context.names) - len(self._context.up()) < max_away, 2 * START_TIMEOUT_S
            ):
                self._checker.violations.append("too many nodes stay down")
                return
            if (
                number % KILLS_PER_CUT == KILLS_PER_CUT // 2
                and self._context.control
                and not self._context.cut_active
            ):
                zone = ZONES[number // KILLS_PER_CUT % len(ZONES)]
                self._context.spawn(self._cut_off(zone, self._random.uniform(2.0, 5.0)))
            if number % KILLS_PER_PAUSE == 2:
                self._context.spawn(
                    self._pause(self._random.choice(self._context.up()), self._random.uniform(0.5, 3.0))
                )
            if number % KILLS_PER_RESTART == 3 and (up := self._context.up()):
                self._context.spawn(self._drain_and_restart(self._random.choice(up)))
            await self._inject_kill(number)
            await self._members.wait_for_gossip()
        self._context.figures["faults_s"] = round(self._loop.time() - began_s, 3)

    async def _inject_kill(self, number: int) -> None:
        moment, kills_before = KILL_MOMENTS[number % len(KILL_MOMENTS)], self.counts["kills"]
        loses_replica = bool(self._context.control) and number % KILLS_PER_LOST_REPLICA == 4
        while self.counts["kills"] == kills_before:
            others = [name for name in self._context.up() if name not in self._context.control]
            if loses_replica and others:
                self._kill(self._random.choice(others), loses_replica=True)
            elif moment == "any" and (up := self._context.up()):
                self._kill(self._random.choice(up))
            else:
                done = self._loop.create_future()
                self._pending_kills.append((moment, done))
                try:
                    await asyncio.wait_for(done, START_TIMEOUT_S)
                except TimeoutError:
                    self._checker.violations.append(
                        f"no change within {START_TIMEOUT_S:.0f} s at which to kill a node"
                    )
                    return
            await asyncio.sleep(0.02)
