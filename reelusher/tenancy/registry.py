"""The tenants of a node. The event loop changes them; front ends look them up without a lock."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from reelusher.config.checked_table import CheckedTable, ConfigError
from reelusher.config.operator.tenants import Tenant, read_tenant
from reelusher.core.event_loop import Core
from reelusher.core.messages import Runner
from reelusher.tenancy.fair_queue import FairQueue
from reelusher.tenancy.index import IndexedTenant, TenantIndex
from reelusher.tenancy.lifecycle import (
    DEFAULT_DRAIN_TIMEOUT_US,
    Lifecycle,
    RemovedTenant,
    TenantRecord,
    TenantState,
)
from reelusher.tenancy.quota import Quota
from reelusher.tenancy.tenant_cache import CachedTenant

DRAIN_CHECK_INTERVAL_US = 50_000  # interval of checks for draining tenants without requests in flight


@dataclass(slots=True, frozen=True)
class Match:
    """The tenant and class of a request; the class is empty where no route matches."""

    tenant: Tenant
    number: int
    class_name: str
    admitted: bool = True
    pin: CachedTenant | None = field(default=None, compare=False, repr=False)

    @classmethod
    def of(cls, indexed: IndexedTenant, method: str, path: str, pin: CachedTenant | None = None) -> "Match":
        """Return the match of a request with the tenant that it belongs to."""
        record, class_name = indexed.record, indexed.class_of(method, path)
        return cls(record.tenant, record.number, class_name, record.state is TenantState.ACTIVE, pin)


class TenantRegistry:
    """The tenants of a node with their quotas, and the runners of those whose back end has its own."""

    def __init__(
        self,
        tenants: Iterable[tuple[Tenant, TenantState]],
        class_names: tuple[str, ...],
        runner_of: Callable[[str], Runner | None],
        core: Core,
        fair_queue: FairQueue,
        backends: frozenset[str],
    ) -> None:
        """Start with these tenants.

        `runner_of` returns the runner of a back end; None where it has none of its own.
        """
        self._class_names = class_names
        self._runner_of = runner_of
        self._core = core
        self._fair_queue = fair_queue
        self._backends = backends
        self.lifecycle = Lifecycle()
        self._index = TenantIndex()
        self._drain_check_scheduled = False
        core.requests.admits_tenant = self.lifecycle.admits
        core.on_classes_changed = self._apply_quotas
        for tenant, state in tenants:
            self.put(tenant, state)

    # Reads, from any thread

    def tenants(self) -> tuple[Tenant, ...]:
        """Return the tenants that are in memory."""
        return tuple(record.tenant for record in self.records())

    def records(self) -> tuple[TenantRecord, ...]:
        """Return the tenants that are in memory and their states, in no particular order."""
        return tuple(self._index.records())

    def page(self, after: str, limit: int) -> tuple[list[TenantRecord], str]:
        """Return at most `limit` tenants with names after `after`, and the last name if more follow."""
        return self._index.page(after, limit)

    def get(self, name: str) -> Tenant | None:
        """Return the tenant of a name; None where there is none."""
        record = self.record(name)
        return record.tenant if record else None

    def record(self, name: str) -> TenantRecord | None:
        """Return the tenant of a name and its state; None where there is none."""
        return self._index.get(name)

    @staticmethod
    def to_json(record: TenantRecord) -> dict[str, Any]:
        """Return a tenant as the administration API shows it."""
        return record.tenant.to_json() | {"state": record.state.value}

    def unreadable(self) -> dict[str, str]:
        """Return the reasons why requested tenants can't be served, by name of the tenant."""
        return {}

    def close(self) -> None:
        """Stop the threads that read tenants, if there are any."""

    # Validation

    def parse(self, value: Any, name: str | None = None) -> Tenant:
        """Validate a tenant in JSON; `name` is the name in the path of the call, where there is one.

        Raises `ConfigError`.
        """
        if isinstance(value, dict):
            value.pop("state", None)  # part of the answers of the API; other calls change the state
        if name is not None and isinstance(value, dict) and value.setdefault("name", name) != name:
            raise ConfigError("name", "is not the name in the path")
        tenant = read_tenant(CheckedTable(value), self._class_names, self._backends)
        self.check(tenant)
        return tenant

    def check(self, tenant: Tenant) -> None:
        """Raise `ConfigError` if a tenant's guarantee would raise the sum of all guarantees above 1."""
        if not self._guarantee_fits(tenant):
            raise ConfigError("share.guarantee", "the guarantees of all shares add up to more than 1")

    def _guarantee_fits(self, tenant: Tenant) -> bool:
        return self._index.guarantee_fits(tenant)

    # Look-ups, by front ends

    @contextmanager
    def pinned_match(self, method: str, host: str, path: str) -> Iterator[Match | None]:
        """Resolve the tenant of a request, and keep it in memory until the end of the `with` block.

        The request must be posted to the event loop within the block.

        Raises `TenantUnavailableError` where it can't be resolved now.
        """
        yield self.match(method, host, path)

    def match(self, method: str, host: str, path: str) -> Match | None:
        """Return the tenant and class of a request; None where it belongs to no tenant."""
        indexed = self._index.find(host.lower(), path)
        return None if indexed is None else Match.of(indexed, method, path)

    # Called by the event loop

    def usage(self, record: TenantRecord) -> dict[str, Any]:
        """Return the state of a tenant and its usage since it was put in memory, as the API shows them."""
        name = record.tenant.name
        usage = self._fair_queue.usage(record.number, self._core.clock.now())
        return {
            "name": name,
            "state": record.state.value,
            "in_hand": self._core.attempts.count_of_tenant(record.number),
            "answers": self._core.counters.of_tenant(name),
            **usage._asdict(),
        }

    def put(self, tenant: Tenant, state: TenantState = TenantState.ACTIVE) -> bool:
        """Add or replace a tenant; return whether it is new.

        Raises `TenantStateError` while it is being removed.
        """
        record, new = self.lifecycle.put(tenant, state)
        self._apply_quota_and_runner(tenant, record.number)
        self._index.put(record)
        return new

    def set_state(self, name: str, state: TenantState) -> TenantRecord | None:
        """Suspend or resume a tenant; None where there is none of this name.

        Raises `TenantStateError` while it is being removed.
        """
        record = self.lifecycle.set_state(name, state)
        if record is not None:
            self._index.put(record)
        return record

    def remove(self, name: str, drain_timeout_us: int = DEFAULT_DRAIN_TIMEOUT_US) -> TenantRecord | None:
        """Start to remove a tenant: it takes no new requests, and is removed once none are in flight.

        Requests without an answer at the deadline are answered then: those that never ran are rejected, the
        others fail.
        """
        record = self.lifecycle.remove(name, self._core.clock.now(), drain_timeout_us)
        if record is not None:
            self._index.put(record)
            self._remove_drained([record.number])
        return record

    def _apply_quota_and_runner(self, tenant: Tenant, number: int) -> None:
        self._fair_queue.set_quota(number, self._quota(tenant))
        runner = self._runner_of(tenant.backend)
        if runner is None:
            self._core.requests.runners.pop(tenant.name, None)
        else:
            self._core.requests.runners[tenant.name] = runner

    def _apply_quotas(self) -> None:
        """Set all quotas anew, since a reload has given new indexes to classes that have weights in them."""
        for record in self.lifecycle.records():
            self._fair_queue.set_quota(record.number, self._quota(record.tenant))

    def _quota(self, tenant: Tenant) -> Quota:
        share = tenant.share
        weights = dict(share.classes)
        return Quota(
            weight=share.weight,
            guarantee=share.guarantee,
            ceiling=share.ceiling,
            burst_us=share.burst_ms * 1000,
            held=share.held,
            running=share.running,
            memory_kb=share.memory_kb,
            keys=share.keys,
            class_weights={
                index: weights[name] for index, name in enumerate(self._core.class_names) if name in weights
            },
        )

    def _remove_drained(self, numbers: list[int] | None = None) -> None:
        now_us = self._core.clock.now()
        for removed in self.lifecycle.remove_drained(now_us, self._core.attempts.count_of_tenant, numbers):
            self._forget(removed)
        if self.lifecycle.is_draining() and not self._drain_check_scheduled:
            self._drain_check_scheduled = True
            self._core.call_later(DRAIN_CHECK_INTERVAL_US, self._check_draining)

    def _check_draining(self) -> None:
        self._drain_check_scheduled = False
        self._remove_drained()

    def _forget(self, removed: RemovedTenant) -> None:
        """Delete what remains of a removed tenant, and answer its requests in flight."""
        name, number = removed.record.tenant.name, removed.record.number
        if removed.in_flight:  # `end_tenant_requests` searches the requests of all tenants
            self._core.requests.end_tenant_requests(number)
        self._fair_queue.remove(number)
        if self.lifecycle.get(name) is None:
            self._core.requests.runners.pop(name, None)
        self._core.counters.add("tenants.removed")
        self._core.counters.add("tenants.ended_in_hand", removed.in_flight)
        self._index.remove(name)
