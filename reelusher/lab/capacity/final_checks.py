"""The checks at the end of a run: all nodes are up, agree, answer as they must, and drain."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable
from statistics import median

from reelusher.lab.capacity.books import Revision, expected_answer
from reelusher.lab.capacity.fault_run_context import FaultRunContext
from reelusher.lab.capacity.fault_run_plan import SETTLE_TIMEOUT_S, START_TIMEOUT_S
from reelusher.lab.capacity.simulated_members import SimulatedMembers
from reelusher.lab.capacity.tenant_changes import revision_of
from reelusher.lab.capacity.wires import NodeUnreachableError


class FinalChecks:
    """Checks a run once its faults are over, and ends its processes."""

    def __init__(
        self,
        context: FaultRunContext,
        members: SimulatedMembers,
        request: Callable[[str, str], Awaitable[tuple[int, str] | None]],
    ) -> None:
        """Use `request(node, tenant)` to get the status and the worker of an answer, None without one."""
        self._context, self._members, self._request = context, members, request
        self._checker, self._loop = context.checker, context.loop

    async def run(self) -> None:
        """Wait until all nodes are up and show the same rows, and check those against the history."""
        checker = self._checker
        if not await self._context.until(
            lambda: len(self._context.up()) == len(self._context.names) and not self._context.cut_active,
            2 * START_TIMEOUT_S,
        ):
            checker.violations.append(f"not all nodes are up again: {self._context.state}")
        self._context.changing = False
        if not await self._context.until(
            lambda: all(
                history.last.acked_s is not None or history.name in checker.unverifiable
                for history in checker.histories.values()
            ),
            SETTLE_TIMEOUT_S,
        ):
            checker.violations.append("not all changes have a definite answer although all nodes are up")
        began_s = self._loop.time()
        settled: set[str] = set()

        def poll() -> bool:
            now = self._loop.time()
            settled.update(
                node
                for node in self._context.up()
                if checker.has_final_rows(node, self._context.rows[node], now)
            )
            return len(settled) == len(self._context.names)

        if not await self._context.until(poll, SETTLE_TIMEOUT_S):
            checker.violations.append(
                f"{sorted(set(self._context.names) - settled)} show another table at the end"
            )
        self._context.figures["settled_s"] = round(self._loop.time() - began_s, 3)
        self._context.requesting = False
        await asyncio.gather(*map(self._check_answers, self._context.up()))
        shown = {node: self._context.rows[node] for node in self._context.up()}
        revisions = dict(zip(shown, await asyncio.gather(*map(self._revisions, shown)), strict=True))
        checker.check_final_state(shown, revisions)
        resident_kb = median(map(self._context.nodes.resident_kb, self._context.up()))
        self._context.figures["resident_mb"] = round(resident_kb / 1024, 1)
        await self._members.end()
        await self._drain_all()

    async def _check_answers(self, node: str) -> None:
        """Check that a request for each tenant is answered as its last row, or its absence, demands."""
        for name, row in self._checker.expected().items():
            answer, deadline_s = None, self._loop.time() + SETTLE_TIMEOUT_S
            while answer != expected_answer(row) and self._loop.time() < deadline_s:
                answer = await self._request(node, name)
                if answer is not None and answer[0] != 503:
                    break
                if answer != expected_answer(row):
                    await asyncio.sleep(0.1)  # a node may reject requests for a while, whatever the row
            if answer != expected_answer(row):
                self._checker.violations.append(
                    f"{node} answers {answer} for {name} at the end, whose row is {row}"
                )

    async def _revisions(self, node: str) -> dict[str, Revision]:
        revisions = {}
        for name, row in self._checker.expected().items():
            with contextlib.suppress(NodeUnreachableError):
                response = await self._context.call_api(node, "GET", f"/v1/tenants/{name}")
                if row and response and (revision := revision_of(response.headers)):
                    revisions[name] = revision
        return revisions

    async def _drain_all(self) -> None:
        """Drain all nodes with SIGTERM, and report errors in their logs."""
        draining = self._context.up()
        for name in draining:
            self._context.mark_away(name, "leaving")
            self._context.nodes.send(name, signal.SIGTERM)
        if not await self._context.until(
            lambda: not any(map(self._context.nodes.alive, draining)), START_TIMEOUT_S
        ):
            self._checker.violations.append("not all nodes ended in time")
        for name in draining:
            if (status := self._context.nodes.running[name].poll()) != 0:
                self._checker.violations.append(f"{name} ended with status {status}")
        for name in self._context.names:
            self._checker.violations += [
                f"{name} logged: {line}" for line in self._context.nodes.error_lines(name)[:3]
            ]
