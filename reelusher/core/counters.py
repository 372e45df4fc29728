"""Counters of the node, and the one way to state what must hold."""

import threading
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass

from loguru import logger

MOST_TENANTS = 1000  # whose counts are told one by one; of those used longest ago they are summed up
QUIET_S = 10.0  # a warning is logged once, then summed up for so long


@dataclass(slots=True)
class Often:
    """A warning that may come often."""

    since: float  # when a line was last logged
    left_out: int = 0
    last: str = ""


class Counters:
    """Named counts that any thread may add to."""

    def __init__(self) -> None:
        self._often: dict[str, Often] = {}
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._of_tenants: OrderedDict[str, Counter[str]] = OrderedDict()  # the one counted last is the last

    def add(self, name: str, by: int = 1) -> None:
        """Add to a count."""
        with self._lock:
            self._counts[name] += by

    def add_for(self, tenant: str, what: str) -> None:
        """Add to a count of a tenant's. Where they become too many, that of another joins the others'."""
        with self._lock:
            counts = self._of_tenants.get(tenant)
            if counts is None:
                counts = self._of_tenants[tenant] = Counter()
                if len(self._of_tenants) > MOST_TENANTS:
                    _, summed_up = self._of_tenants.popitem(last=False)
                    for name, count in summed_up.items():
                        self._counts[f"tenants.others.{name}"] += count
            else:
                self._of_tenants.move_to_end(tenant)
            counts[what] += 1

    def of_tenant(self, tenant: str) -> dict[str, int]:
        """Return the counts of one tenant, as far as they are not among the others' by now."""
        with self._lock:
            return dict(sorted(self._of_tenants.get(tenant, Counter()).items()))

    def snapshot(self) -> dict[str, int]:
        """Return all counts, by name."""
        with self._lock:
            told = {
                f"tenant.{tenant}.{what}": count
                for tenant, counts in self._of_tenants.items()
                for what, count in counts.items()
            }
            return dict(sorted({**self._counts, **told}.items()))

    def summary(self) -> dict[str, int]:
        """Return all counts, by name, with those of all tenants together: it stays short."""
        with self._lock:
            told = Counter(self._counts)
            for counts in self._of_tenants.values():
                for what, count in counts.items():
                    told[f"tenants.all.{what}"] += count
            for name, count in self._counts.items():
                if name.startswith("tenants.others."):
                    told["tenants.all." + name.removeprefix("tenants.others.")] += count
                    del told[name]
            return dict(sorted(told.items()))

    def warn(self, name: str, line: str, *values: object) -> None:
        """Count, and log the first of its kind. What follows within the interval is summed up.

        A line for each message would let whoever sends bad ones spend the node's part of the core.
        """
        now = time.monotonic()
        with self._lock:
            self._counts[name] += 1
            known = self._often.get(line)
            if known is not None and now - known.since < QUIET_S:
                known.left_out += 1
                known.last = str(values[-1])[:200] if values else ""
                return
            self._often[line] = Often(now)
        logger.warning(line, *values)

    def sum_up(self, now: float | None = None) -> None:
        """Log how often each warning came that was left out, once its interval is over."""
        now = time.monotonic() if now is None else now
        with self._lock:
            over = [(line, often) for line, often in self._often.items() if now - often.since >= QUIET_S]
            for line, _ in over:
                del self._often[line]
        for line, often in over:
            if often.left_out:
                logger.warning(
                    "{} more in {:.0f} s like «{}», the last: {}",
                    often.left_out,
                    now - often.since,
                    line,
                    often.last,
                )

    def must(self, holds: bool, what: str) -> bool:
        """State what must hold: asserted in debug builds, counted and logged in release builds."""
        if not holds:
            if __debug__:
                raise AssertionError(what)
            self.add("broken." + what.replace(" ", "_"))
            logger.error("invariant broken: {}", what)
        return holds
