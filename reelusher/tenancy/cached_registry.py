"""The tenants of a node that has a table of tenants on the disk and keeps those in use in memory."""

from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from functools import partial
from typing import Any

from reelusher.config.operator.tenants import Tenant
from reelusher.core.event_loop import Core
from reelusher.core.messages import EventLoopTask, Runner
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.index import IndexedTenant
from reelusher.tenancy.lifecycle import TenantRecord, TenantState
from reelusher.tenancy.reader_pool import READ_TIMEOUT_S, ReaderPool
from reelusher.tenancy.registry import Match, TenantRegistry
from reelusher.tenancy.tenant_cache import (
    IDLE_TIMEOUT_US,
    CachedTenant,
    IdleTenant,
    TenantCache,
    TenantLoad,
)
from reelusher.tenancy.tenant_source import (
    UNREADABLE_ROW_ERRORS,
    TenantRow,
    TenantSource,
    TenantUnavailableError,
    parse_row,
)

IDLE_CHECK_INTERVAL_US = 1_000_000
CROWDED_FRACTION = 7 / 8  # above this fill level of the cache, the shorter idle time-out below applies
CROWDED_IDLE_TIMEOUT_US = 1_000_000
GUARANTEE_TOLERANCE = 1e-9  # allowed excess of the sum of all guarantees over 1, for rounding errors


class CachedTenantRegistry(TenantRegistry):
    """The tenants of a table on the disk, which change through `rows_changed` only."""

    def __init__(
        self,
        class_names: tuple[str, ...],
        runner_of: Callable[[str], Runner | None],
        core: Core,
        fair_queue: FairQueue,
        backends: frozenset[str],
        source: TenantSource,
        idle_timeout_us: int = IDLE_TIMEOUT_US,
    ) -> None:
        """Start without any tenant in memory; `source` is the table on the disk."""
        super().__init__((), class_names, runner_of, core, fair_queue, backends)
        self._source = source
        self._idle_timeout_us = idle_timeout_us
        self._readers = ReaderPool(core.counters)
        self.cache = TenantCache(source, self._readers.read, core.clock.now, READ_TIMEOUT_S)
        self.idle_check_scheduled = False
        self.is_bootstrapping: Callable[[], bool] = lambda: False  # True while rows of the table are missing
        fair_queue.advances_while_idle = True

    # Reads, from any thread

    def records(self) -> tuple[TenantRecord, ...]:
        """Return the tenants that are in memory and their states, in no particular order."""
        return tuple(indexed.record for indexed in self.cache.indexed_tenants())

    def page(self, after: str, limit: int) -> tuple[list[TenantRecord], str]:
        """Return at most `limit` tenants with names after `after`, and the last name if more follow.

        Rows that this node can't serve are left out.
        """
        rows = self._source.page(after, limit + 1)
        records = [record for row in rows[:limit] if (record := self._parse(row)) is not None]
        return records, rows[limit - 1].name if len(rows) > limit else ""

    def record(self, name: str) -> TenantRecord | None:
        """Return a tenant and its state, from the disk if it is not in memory; None if it does not exist."""
        cached = self.cache.get(name)
        if cached is not None:
            return cached.indexed.record
        row = self._source.get(name)
        return None if row is None else self._parse(row)

    def unreadable(self) -> dict[str, str]:
        """Return the most recent reasons why requested tenants can't be served, by name of the tenant."""
        return self.cache.unreadable()

    def close(self) -> None:
        """Stop the threads that read the table."""
        self._readers.close()

    def _guarantee_fits(self, tenant: Tenant) -> bool:
        previous = self.record(tenant.name)
        other_guarantees = self._source.guarantee_sum() - (
            previous.tenant.share.guarantee if previous else 0.0
        )
        return other_guarantees + tenant.share.guarantee <= 1 + GUARANTEE_TOLERANCE

    def _parse(self, row: TenantRow) -> TenantRecord | None:
        """Return the tenant of a row; None where this node can't serve it."""
        try:
            tenant = parse_row(row.name, row.tenant, self._class_names, self._backends)
            record = TenantRecord(tenant, row.number, TenantState(row.state))
        except UNREADABLE_ROW_ERRORS as error:
            self.cache.set_unreadable(row.name, str(error))
            self._core.counters.warn(
                "tenants.unreadable", "tenants: {!r} can't be served: {}", row.name, error
            )
            return None
        self.cache.set_readable(row.name)
        return record

    # Look-ups, by front ends

    @contextmanager
    def pinned_match(self, method: str, host: str, path: str) -> Iterator[Match | None]:
        """Resolve the tenant of a request, and keep it in memory until the end of the `with` block.

        The request must be posted to the event loop within the block.

        Raises `TenantUnavailableError` where it can't be resolved now.
        """
        match = self.match(method, host, path)
        try:
            yield match
        finally:
            if match is not None and match.pin is not None:
                self.cache.release(match.pin)

    def match(self, method: str, host: str, path: str) -> Match | None:
        """Return the tenant, pinned, and class of a request; None where it belongs to no tenant."""
        cached = self._find(host.lower(), path)
        return None if cached is None else Match.of(cached.indexed, method, path, cached)

    def _find(self, host: str, path: str) -> CachedTenant | None:
        try:
            cached = self.cache.find(host, path, self._load)
        except TenantUnavailableError as error:
            self._core.counters.warn("tenants.unserved", "tenants: request rejected: {}", error)
            raise
        if cached is None and self.is_bootstrapping():  # its row may be among the missing ones
            self._core.counters.add("tenants.refused_filling")
            raise TenantUnavailableError("the table of tenants is being filled")
        return cached

    def _load(self, name: str, load: TenantLoad) -> bool:
        """Read a tenant and put it in memory; return False if it does not exist or has changed since."""
        row = load.row or self._readers.read(lambda: self._source.get(name))
        if row is None:
            return False
        record = self._parse(row)
        if record is None:
            raise TenantUnavailableError(f"{name!r} can't be served by this node")
        put = self.cache.put(IndexedTenant(record), load, partial(self._post, partial(self._add, record)))
        if put is None:
            self._post(partial(self._evict_idle, CROWDED_IDLE_TIMEOUT_US))
            self._core.counters.add("tenants.refused_full")
            raise TenantUnavailableError("too many tenants are in use")
        return put

    # Changes of the table, called by the thread that made them

    def rows_changed(self, names: list[str]) -> None:
        """Apply changes of the table to the tenants in memory."""
        self.cache.rows_changed(names, self._row_changed)

    def _row_changed(self, name: str, row: TenantRow | None) -> None:
        record = None if row is None else self._parse(row)
        self._post(partial(self._apply, name, record, row is not None))

    def _post(self, action: Callable[[], None]) -> None:
        """Have the event loop run an action after everything that is in its queue now."""
        task = EventLoopTask(action)
        task.future.add_done_callback(self._report_failure)
        self._core.post(task)

    def _report_failure(self, done: Future[Any]) -> None:
        if not done.cancelled() and (error := done.exception()) is not None:
            self._core.counters.warn("tenants.change_failed", "tenants: applying a change failed: {}", error)

    # Called by the event loop

    def _add(self, record: TenantRecord) -> None:
        """Add a tenant that was put in the cache; its requests are admitted from now on."""
        self.lifecycle.put(record.tenant, record.state, record.number)
        self._apply_quota_and_runner(record.tenant, record.number)
        if len(self.cache) >= CROWDED_FRACTION * self.cache.max_tenants:
            self._evict_idle(CROWDED_IDLE_TIMEOUT_US)
        if not self.idle_check_scheduled:
            self.idle_check_scheduled = True
            self._core.call_later(IDLE_CHECK_INTERVAL_US, self._check_idle)

    def _apply(self, name: str, changed: TenantRecord | None, exists: bool) -> None:
        """Apply a change of a tenant in memory.

        `changed` is None if the tenant was removed or, where its row exists, can't be served.
        """
        current = self.lifecycle.get(name)
        if self.cache.get(name) is None or current is None:
            return
        if changed is None and exists:
            record = self.lifecycle.set_state(name, TenantState.SUSPENDED)
        elif changed is None or changed.number != current.number:
            self._remove(name)
            return
        else:
            self.lifecycle.put(changed.tenant)
            record = self.lifecycle.set_state(name, changed.state)
        assert record is not None
        self._apply_quota_and_runner(record.tenant, record.number)
        self.cache.replace(IndexedTenant(record))

    def _remove(self, name: str) -> None:
        """Drain a tenant that is no longer in the table; a new tenant can have its name at once."""
        record = self.lifecycle.remove(name, self._core.clock.now())
        self.lifecycle.release_name(name)
        self.cache.remove(name)
        self._core.requests.runners.pop(name, None)
        if record is not None:
            self._remove_drained([record.number])

    # Eviction of idle tenants, by the event loop

    def _check_idle(self) -> None:
        self.idle_check_scheduled = len(self.cache) > 0
        if self.idle_check_scheduled:
            self._evict_idle(self._idle_timeout_us)
            self._core.call_later(IDLE_CHECK_INTERVAL_US, self._check_idle)

    def _evict_idle(self, idle_us: int) -> None:
        """Post the eviction of idle tenants to the event loop, behind any queued requests of theirs."""
        idle = self.cache.idle_tenants(idle_us)
        if idle:
            self._core.post(EventLoopTask(partial(self._evict, idle)))

    def _evict(self, idle_tenants: list[IdleTenant]) -> None:
        for idle in idle_tenants:
            record = idle.cached.indexed.record
            if self.cache.evict(idle, partial(self._may_evict, record.number)):
                self.lifecycle.evict(record.tenant.name)
                self._core.requests.runners.pop(record.tenant.name, None)
                self._core.counters.add("tenants.let_go")

    def _may_evict(self, number: int) -> bool:
        if self._core.attempts.count_of_tenant(number):
            return False
        return self._fair_queue.evict(number, self._core.clock.now())
