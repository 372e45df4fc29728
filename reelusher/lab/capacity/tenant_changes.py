"""Changes of tenants through the administration API of any node, each repeated until its outcome is known."""

import asyncio
import contextlib
from typing import Any, Protocol

from reelusher.lab.capacity.books import ACTIVE, SUSPENDED, History, Revision, Row, Step, worker_of
from reelusher.lab.capacity.fault_run_context import FaultRunContext
from reelusher.lab.capacity.nodes import CLASS
from reelusher.lab.capacity.wires import ApiResponse, NodeUnreachableError

RETRY_PAUSE_RANGE_S = 0.05, 0.3  # shortest and longest pause before a change is sent again
SERIAL_BASE = 1_000_000  # a row's `max_open` is this plus its serial number
INDEFINITE_STATUSES = {500, 502, 504}  # after these statuses a change may have been made or not
# the status by which each operation is rejected if an earlier attempt has already made the change
ALREADY_MADE_STATUS = {"put": 412, "patch": 412, "suspend": 412, "resume": 412, "create": 409, "delete": 404}


def revision_of(headers: dict[str, str]) -> Revision | None:
    """Return the revision in an `ETag` header, or None without one."""
    text = headers.get("etag", "").strip('"')
    epoch, _, number = text.rpartition(".")
    return (int(epoch or 0), int(number)) if number.isdigit() else None


def row_of(tenant: dict[str, Any]) -> Row:
    """Return the row of a tenant that the administration API returned."""
    return tenant["max_open"] - SERIAL_BASE, tenant["state"]


class ChangeListener(Protocol):
    """Is told of the progress of changes, and may inject faults."""

    def on_attempt(self, name: str, node: str) -> None:
        """A change of a tenant is about to be sent to a node."""

    def on_acknowledged(self, name: str) -> None:
        """A change of a tenant was acknowledged."""


class TenantChanges:
    """Changes the tenants of a run at random times, and records the history of each."""

    def __init__(self, context: FaultRunContext, faults: ChangeListener) -> None:
        self._context, self._faults = context, faults
        self._checker, self._loop, self._random = context.checker, context.loop, context.random
        self._etags: dict[str, str] = {}  # newest entity tag of each tenant

    async def repeat(self, name: str) -> None:
        """Change a tenant repeatedly at random times."""
        while self._context.changing and name not in self._checker.unverifiable:
            await self._change(name)
            if self._context.changing:
                await asyncio.sleep(
                    self._random.expovariate(self._context.plan.changes_per_s / len(self._context.tenants))
                )

    def _next_change(self, history: History) -> tuple[str, Row]:
        """Choose the next change of a tenant: an operation, and a row that the tenant has not had before."""
        row, serial = history.last.row, history.serial() + 1
        if row is None:
            return "create", (serial, ACTIVE)
        changed = serial, row[1]
        candidates: list[tuple[str, Row]] = [("put", changed), ("patch", changed), ("delete", None)]
        toggle = ("suspend", (row[0], SUSPENDED)) if row[1] == ACTIVE else ("resume", (row[0], ACTIVE))
        if toggle[1] not in history.rows():
            candidates.append(toggle)
        return self._random.choices(candidates, [3, 3, 1, 2 if row[1] == ACTIVE else 8][: len(candidates)])[0]

    def _api_call_of(self, name: str, step: Step, key: str) -> tuple[str, str, Any, dict[str, str]]:
        """Return the method, path, body and headers of the API call for a change."""
        path = f"/v1/tenants/{name}"
        precondition = {"If-Match": self._etags[name]} if name in self._etags else {}
        serial = step.row[0] if step.row else 0
        fields = {"backend": worker_of(serial), "max_open": SERIAL_BASE + serial}
        tenant = {"name": name, "hosts": [f"{name}.example"], "default_class": CLASS, **fields}
        match step.op:
            case "create":
                return "POST", "/v1/tenants", tenant, {"Idempotency-Key": key}
            case "put":
                return "PUT", path, tenant, precondition
            case "patch":
                return "PATCH", path, fields, precondition
            case "delete":
                return (
                    "DELETE",
                    path if self._context.control else f"{path}?within_ms=500",
                    None,
                    precondition,
                )
        return "POST", f"{path}/{step.op}", None, precondition

    async def _change(self, name: str) -> None:
        """Make a tenant's next change; retry until its answer is definite or the tenant is unverifiable."""
        checker, history = self._checker, self._checker.history(name)
        step = checker.begin(name, *self._next_change(history), self._loop.time())
        key = f"{name}-{len(history.steps)}-{self._context.plan.seed}"
        while True:
            up = self._context.up()
            node = self._random.choice(up) if up else ""
            if node:
                step.in_flight = True
                self._faults.on_attempt(name, node)
                method, path, body, headers = self._api_call_of(name, step, key)
                try:
                    response = await self._context.call_api(node, method, path, body, headers)
                except NodeUnreachableError:
                    step.in_flight = False
                else:
                    if await self._record_attempt(name, step, response) or name in checker.unverifiable:
                        return
            await asyncio.sleep(self._random.uniform(*RETRY_PAUSE_RANGE_S))

    async def _record_attempt(self, name: str, step: Step, response: ApiResponse | None) -> bool:
        """Record the answer to an attempt at a change; return whether the change is known to be made.

        Raises RuntimeError for a status such as 400 or 422, which no correct change gets.
        """
        checker = self._checker
        if response is None or response.status in INDEFINITE_STATUSES:
            checker.note_indeterminate(name, response.status if response else 0)
            return False
        if 200 <= response.status < 300:
            etag = response.headers.get("etag")
            if step.row is None:
                self._etags.pop(name, None)
            elif etag:
                self._etags[name] = etag
            else:
                checker.violations.append(
                    f"{name}: {step.op} was answered {response.status} without a revision"
                )
            checker.note_acked(name, revision_of(response.headers), self._loop.time())
            self._faults.on_acknowledged(name)
            return True
        if response.status in (400, 401, 403, 405, 422):
            raise RuntimeError(f"{step.op} of {name} was answered {response.status}: {response.value}")
        if response.status == ALREADY_MADE_STATUS[step.op] and await self._was_made_before(
            name, step, response.status
        ):
            return True
        if response.status == 404:
            checker.unverifiable.add(name)
            checker.violations.append(
                f"{name}: {step.op} found no tenant, though its last change was acknowledged"
            )
        if step.in_flight:
            checker.note_refused(name, response.status)
        return False

    async def _was_made_before(self, name: str, step: Step, status: int) -> bool:
        """Check whether the newest step is made already, and if so record that it is acknowledged.

        A deletion that finds no tenant counts as made. If no earlier attempt was indeterminate, a step that
        is made already is recorded as a violation, and so is any precondition that fails (412).
        """
        step.in_flight = (
            step.indeterminate
        )  # during this check only such an attempt can explain a node that shows it
        if step.row is None:
            self._etags.pop(name, None)
            self._checker.note_already_applied(name, status)
            self._checker.note_acked(name, None, self._loop.time())
            return True
        if status == 412 and not step.indeterminate:
            self._checker.note_already_applied(name, status)
            return False

        def showing() -> list[str]:
            return [node for node in self._context.up() if self._context.rows[node].get(name) == step.row]

        if not await self._context.until(lambda: bool(showing()), 5.0):
            step.in_flight = True
            return False
        with contextlib.suppress(NodeUnreachableError, IndexError):
            response = await self._context.call_api(showing()[0], "GET", f"/v1/tenants/{name}")
            if response is not None and response.status == 200 and row_of(response.value) == step.row:
                self._etags[name] = response.headers["etag"]
                self._checker.note_already_applied(name, status)
                self._checker.note_acked(name, revision_of(response.headers), self._loop.time())
                return True
        step.in_flight = True
        return False
