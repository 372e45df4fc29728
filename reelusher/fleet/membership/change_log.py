"""Logging of member changes: at most one line a second, since hundreds may change at once."""

from loguru import logger

from reelusher.core.counters import Counters
from reelusher.fleet.membership.member_table import MemberChange
from reelusher.fleet.membership.messages import MemberState

LOG_INTERVAL_S = 1.0
MAX_LOGGED_NAMES = 5


class ChangeLog:
    """Counts the changes of members, and logs them in batches. Not thread-safe."""

    def __init__(self, counters: Counters, now: float) -> None:
        self._counters, self._logged_s = counters, now
        self._change_count = 0  # changes since the last log line
        self._descriptions: list[str] = []  # descriptions of the first of these changes

    def record(self, change: MemberChange) -> None:
        """Record a change, to be logged later."""
        event = change.update.state.name.lower()
        if change.update.state is MemberState.ALIVE and change.previous is not None:
            event = "back"
        self._change_count += 1
        self._counters.add(f"fleet.{event}")
        if len(self._descriptions) < MAX_LOGGED_NAMES:
            self._descriptions.append(f"{change.update.name} {event}")

    def is_due(self, now: float) -> bool:
        """Return whether there are changes, and the last line was written at least `LOG_INTERVAL_S` ago."""
        return self._change_count > 0 and now - self._logged_s >= LOG_INTERVAL_S

    def write(self, now: float, fleet_size: int, duplicate_names: dict[str, list[str]]) -> None:
        """Log the changes since the last line, and a warning for each name that several live members have."""
        unlisted = self._change_count - len(self._descriptions)
        described = ", ".join(self._descriptions)
        self._change_count, self._descriptions, self._logged_s = 0, [], now
        logger.info(
            "fleet: {} live; {}{}", fleet_size, described, f" and {unlisted} more" if unlisted > 0 else ""
        )
        for name, addresses in duplicate_names.items():
            self._counters.warn(
                "fleet.namesakes", "fleet: two live members have one name, {}: {}", name, ", ".join(addresses)
            )
