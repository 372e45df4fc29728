"""Named counters of the node, rate-limited warnings, and the check of invariants."""

import threading
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass

from loguru import logger

# Number of tenants with their own counters. The least recently counted ones are merged into `tenants.others`.
MAX_TENANTS = 1000
WARNING_INTERVAL_S = 10.0  # minimum time between two log lines of the same warning
MAX_LOGGED_CHARACTERS = 200  # the last value of a suppressed warning is cut to this length


@dataclass(slots=True)
class RepeatedWarning:
    """A warning that was logged, and how often it was suppressed since then."""

    logged_s: float  # monotonic time of the log line
    suppressed: int = 0
    last_value: str = ""  # last template value of the latest suppressed warning


class Counters:
    """Named counts. Any thread may call all methods."""

    def __init__(self) -> None:
        self._warnings: dict[str, RepeatedWarning] = {}
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._by_tenant: OrderedDict[str, Counter[str]] = OrderedDict()  # least recently counted first

    def add(self, name: str, by: int = 1) -> None:
        """Add to a count."""
        with self._lock:
            self._counts[name] += by

    def add_for(self, tenant: str, name: str) -> None:
        """Add 1 to a count of a tenant.

        If too many tenants have counts, those of the least recently counted tenant are merged into
        `tenants.others`.
        """
        with self._lock:
            counts = self._by_tenant.get(tenant)
            if counts is None:
                counts = self._by_tenant[tenant] = Counter()
                if len(self._by_tenant) > MAX_TENANTS:
                    self._merge_least_recent()
            else:
                self._by_tenant.move_to_end(tenant)
            counts[name] += 1

    def _merge_least_recent(self) -> None:
        _, counts = self._by_tenant.popitem(last=False)
        for name, count in counts.items():
            self._counts[f"tenants.others.{name}"] += count

    def of_tenant(self, tenant: str) -> dict[str, int]:
        """Return the counts of one tenant by name, without counts that were merged into `tenants.others`."""
        with self._lock:
            return dict(sorted(self._by_tenant.get(tenant, Counter()).items()))

    def snapshot(self) -> dict[str, int]:
        """Return all counts by name."""
        with self._lock:
            of_tenants = {
                f"tenant.{tenant}.{name}": count
                for tenant, counts in self._by_tenant.items()
                for name, count in counts.items()
            }
            return dict(sorted({**self._counts, **of_tenants}.items()))

    def summary(self) -> dict[str, int]:
        """Return all counts by name, with the counts of all tenants summed up as `tenants.all`."""
        with self._lock:
            totals = Counter(self._counts)
            for counts in self._by_tenant.values():
                for name, count in counts.items():
                    totals[f"tenants.all.{name}"] += count
            for name, count in self._counts.items():
                if name.startswith("tenants.others."):
                    totals["tenants.all." + name.removeprefix("tenants.others.")] += count
                    del totals[name]
            return dict(sorted(totals.items()))

    def warn(self, name: str, template: str, *values: object) -> None:
        """Count a warning. Log it too, unless the same template was logged within `WARNING_INTERVAL_S`.

        A log line for each bad message would let its sender exhaust the processor time of the node.
        """
        now_s = time.monotonic()
        with self._lock:
            self._counts[name] += 1
            previous = self._warnings.get(template)
            if previous is not None and now_s - previous.logged_s < WARNING_INTERVAL_S:
                previous.suppressed += 1
                previous.last_value = str(values[-1])[:MAX_LOGGED_CHARACTERS] if values else ""
                return
            self._warnings[template] = RepeatedWarning(now_s)
        logger.warning(template, *values)

    def log_suppressed(self, now_s: float | None = None) -> None:
        """Log how often each warning was suppressed whose interval has ended; `now_s` is monotonic time."""
        now_s = time.monotonic() if now_s is None else now_s
        for template, warning in self._take_expired_warnings(now_s):
            if warning.suppressed:
                logger.warning(
                    "{} more warnings in {:.0f} s like «{}», last value: {}",
                    warning.suppressed,
                    now_s - warning.logged_s,
                    template,
                    warning.last_value,
                )

    def _take_expired_warnings(self, now_s: float) -> list[tuple[str, RepeatedWarning]]:
        with self._lock:
            expired = [
                (template, warning)
                for template, warning in self._warnings.items()
                if now_s - warning.logged_s >= WARNING_INTERVAL_S
            ]
            for template, _ in expired:
                del self._warnings[template]
        return expired

    def must(self, holds: bool, invariant: str) -> bool:
        """Check an invariant and return whether it holds.

        A violation raises AssertionError in debug builds. In release builds (`python -O`) it is counted and
        logged.
        """
        if not holds:
            if __debug__:
                raise AssertionError(invariant)
            self.add("broken." + invariant.replace(" ", "_"))
            logger.error("invariant broken: {}", invariant)
        return holds
