"""Partitions of the replicated table over the administration API: their progress and changes of leader."""

from collections import Counter
from typing import Any

from loguru import logger

from reelusher.admin.calls import ApiCall, ApiError, Handler, Reply, Route
from reelusher.admin.fleet_client import FleetClient
from reelusher.core.counters import Counters
from reelusher.fleet.replication.positions import Position
from reelusher.tenancy.replicated import ReplicatedTable, TableBusyError, format_position

MAX_LISTED_ROWS = 100  # rows in each list of a reply: unreadable rows, divergent rows
MAX_ORPHAN_NUMBER = 1 << 53  # JSON numbers represent all integers up to this exactly
POSITIONS_TARGET, COUNTED_TARGET = "/positions", "/counted"  # paths of queries between members


class PartitionApi:
    """Answers the calls that concern partitions; `routes` holds the handlers."""

    def __init__(self, table: ReplicatedTable, fleet: FleetClient, counters: Counters) -> None:
        self._table = table
        self._fleet = fleet
        self._counters = counters
        self.routes: dict[Route, Handler] = {
            Route("GET", "fleet/changes", False): self._changes,
            Route("POST", "fleet/take-over", True): self._take_over,
        }

    # Progress

    def _changes(self, call: ApiCall) -> Reply:
        """Return how far this node and the other members have replicated each partition."""
        table = self._table
        body = {
            "own": table.own_name,
            "control": list(table.replica.control),
            "tenants": table.store.count(),
            "guaranteed": table.store.guarantee_sum(),
            "streams": self._partitions(),
            "unreadable": self._unreadable(),
            "orphans": self._orphans(call.integer("after", 0, MAX_ORPHAN_NUMBER)),
        }
        return Reply(200, body)

    def _partitions(self) -> list[dict[str, Any]]:
        addresses: dict[str, list[str]] = {}
        for member in self._fleet.live():
            addresses.setdefault(member.name, []).append(member.address)
        reports = {report["stream"]: report for report in self._progress_reports()}
        return [
            self._partition(partition, addresses, reports.get(partition))
            for partition in self._table.replica.control
        ]

    def _partition(
        self, partition: str, addresses: dict[str, list[str]], progress: dict[str, Any] | None
    ) -> dict[str, Any]:
        table = self._table
        state, leader = table.replica.states[partition], table.leader(partition)
        return {
            "stream": partition,
            "holder": leader,
            "holder_at": addresses.get(leader, []),
            "position": format_position(table.position(partition)),
            "heard_of": _format_optional(table.position_ahead(partition)),
            "refilling": state.cursor >= 0,
            "lost": state.lost,
            "put_back": state.restored,
            "counted": progress,
            "taken_over": [{"epoch": epoch, "after": base} for epoch, base in state.bases],
        }

    def _progress_reports(self) -> list[dict[str, Any]]:
        """Return the progress report of each partition that this node leads, or a live member that replies.

        A report counts the members that have the newest change of its partition. There is none of a leader
        whose name several live members have, since one of them may lead without knowing of the other.
        """
        table = self._table
        reports: list[dict[str, Any]] = table.replication.progress_report()
        leaders = {table.leader(partition) for partition in table.replica.control} - {table.own_name}
        members_by_name = Counter(member.name for member in self._fleet.live())
        for leader in sorted(leader for leader in leaders if members_by_name[leader] == 1):
            reports += self._fleet.query(leader, COUNTED_TARGET, [])
        return reports

    def _unreadable(self) -> dict[str, Any]:
        replica = self._table.store
        rows = [{"name": name, "why": reason} for name, reason in replica.unreadable(MAX_LISTED_ROWS)]
        return {"count": replica.unreadable_count(), "tenants": rows}

    def _orphans(self, after: int) -> list[dict[str, Any]]:
        return [
            {
                "number": row["number"],
                "stream": row["stream"],
                "version": f"{row['epoch']}.{row['revision']}",
                "tenant": row["name"],
                "who": row["who"],
                "at_ms": row["at_ms"],
                "state": row["state"],
            }
            for row in self._table.store.divergent_rows(after, MAX_LISTED_ROWS)
        ]

    # Change of leader

    def _take_over(self, call: ApiCall) -> Reply:
        """Make this member the leader of a partition, on an operator's order.

        Raises `ApiError` if another member is ahead, unless the call has force=true: then the changes that
        this member lacks are lost.
        """
        table, partition = self._table, call.name
        force = self._check_take_over(call)
        position = table.position(partition)
        ahead = self._position_ahead(partition)
        leader = table.leader(partition)
        situation = {
            "stream": partition,
            "holder": leader,
            "has": format_position(position),
            "holder_lives": self._has_other_live_leader(partition),
            "heard_of": _format_optional(ahead),
            "lost": _changes_between(position, ahead),
        }
        if call.is_dry_run:
            return Reply(200, {"dry_run": True, **situation})
        if ahead is not None and not force:
            raise self._fleet.retry_later(
                f"others have stream {partition!r} up to {format_position(ahead)}, this member up to "
                f"{format_position(position)}: wait for them, or lose them by force=true",
                **situation,
            )
        term_start = self._start_term(partition, force, call.actor, _format_optional(ahead) or "none")
        return Reply(200, {**situation, "begins": format_position(term_start)})

    def _check_take_over(self, call: ApiCall) -> bool:
        """Raise `ApiError` if this member can't become the leader; return whether the call has force=true."""
        table, partition, own = self._table, call.name, self._table.own_name
        members = ", ".join(table.replica.control)
        if partition not in table.replica.control:
            raise ApiError(404, f"there is no stream {partition!r}: they are {members}")
        if own not in table.replica.control:
            raise ApiError(409, f"{own!r} writes nothing: call one of {members}")
        force = call.boolean("force")
        if table.leader(partition) == own and not table.replica.states[partition].lost:
            raise ApiError(409, f"{own!r} writes stream {partition!r} already")
        self._fleet.sole_address(own)
        return force

    def _has_other_live_leader(self, partition: str) -> bool:
        leader = self._table.leader(partition)
        return leader != self._table.own_name and self._fleet.is_live(leader)

    def _position_ahead(self, partition: str) -> Position | None:
        """Return the furthest known position of other members; None if it is not ahead of this one's."""
        ahead = self._table.position_ahead(partition)
        if self._has_other_live_leader(partition):  # it may have changes that it has not announced yet
            ahead = max(filter(None, (ahead, self._leader_position(partition))), default=None)
        return None if ahead is not None and ahead <= self._table.position(partition) else ahead

    def _leader_position(self, partition: str) -> Position | None:
        """Return the position that the leader of a partition reports; None without such a report."""
        position = self._fleet.query(self._table.leader(partition), POSITIONS_TARGET, {}).get(partition)
        return None if position is None else Position(*position)

    def _start_term(self, partition: str, force: bool, actor: str, ahead: str) -> Position:
        try:
            term_start = self._table.take_over(partition, force)
        except TableBusyError as error:
            raise self._fleet.retry_later(f"{error}: nothing was changed") from None
        self._counters.add("replication.taken_over")
        logger.warning(
            "replication: {} leads partition {} from {}, ordered by {}; position ahead elsewhere: {}",
            self._table.own_name,
            partition,
            format_position(term_start),
            actor,
            ahead,
        )
        return term_start


def _format_optional(position: Position | None) -> str | None:
    return None if position is None else format_position(position)


def _changes_between(position: Position, ahead: Position | None) -> int | None:
    """Return how many changes `ahead` is past a position: 0 if it is None, None if the terms differ."""
    if ahead is None:
        return 0
    return ahead.log_index - position.log_index if ahead.term == position.term else None
