"""Rows and audit entries as the replica returns them, and the routing keys in a tenant's JSON."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

ANY_HOST = ""  # host key of tenants that name no host; the keys of named hosts begin with "="
GUARANTEE_UNITS = 1_000_000_000  # units in a guarantee of 1.0; summed as integers, so that sums are exact

ROW_COLUMNS = (
    "rows.name, rows.id, rows.state, rows.tenant, rows.epoch, rows.number, rows.stream,"
    " coalesce((SELECT reason FROM unreadable WHERE unreadable.name = rows.name), '')"
)


@dataclass(slots=True, frozen=True)
class ReplicaRow:
    """A tenant as the replica stores it."""

    name: str
    number: int  # id in this file; it stays the same while the tenant exists and is never reused
    state: str
    tenant: bytes  # JSON
    term: int  # term of the change that wrote this row
    index: int  # index of that change in the partition; 0 once the row was set aside as divergent
    partition: str
    unreadable: str = ""  # why this node can't serve the tenant; "" if it can


@dataclass(slots=True, frozen=True)
class ReplicaAuditEntry:
    """One change of a tenant, as this node's audit trail records it.

    Entries are numbered in the order in which the changes reached this node. The leader of a partition
    records all of its changes; other nodes miss those that were superseded before they pulled them, and those
    that they received while they caught up.
    """

    number: int  # id in this file
    partition: str
    term: int
    index: int
    name: str
    who: str
    at_ms: int
    before_state: str  # "" if the tenant did not exist; `before` is then empty
    before: bytes  # JSON
    after_state: str  # "" if the tenant was removed; `after` is then empty
    after: bytes  # JSON


class _Share(msgspec.Struct, frozen=True):
    guarantee: float = 0.0


class _RoutedTenant(msgspec.Struct, frozen=True):
    """The part of a tenant's JSON that look-ups and totals depend on."""

    hosts: list[str] = []
    prefix: str = "/"
    share: _Share = _Share()


_DECODER = msgspec.json.Decoder(_RoutedTenant)


class RoutingKeys(NamedTuple):
    """The values that a row adds to the look-up tables and the totals."""

    host_keys: tuple[str, ...]
    prefix: str
    guarantee: int  # in `GUARANTEE_UNITS`


_TOMBSTONE_KEYS = RoutingKeys((), "/", 0)


def host_key(host: str) -> str:
    """Return the key by which a named host is looked up."""
    return "=" + host.lower()


def routing_keys(state: str, tenant: bytes) -> RoutingKeys | None:
    """Return the routing keys of a row; None if its JSON can't be decoded."""
    if not state:
        return _TOMBSTONE_KEYS
    try:
        routed = _DECODER.decode(tenant)
    except msgspec.MsgspecError:
        return None
    host_keys = tuple({host_key(host) for host in routed.hosts}) or (ANY_HOST,)
    guarantee = min(max(routed.share.guarantee, 0.0), 1.0)
    return RoutingKeys(host_keys, routed.prefix, round(guarantee * GUARANTEE_UNITS))


def candidate_prefixes(path: str, lengths: Iterable[int]) -> list[str]:
    """Return the prefixes with one of these lengths that a path equals or lies under, longest first."""
    candidates = []
    for length in lengths:
        prefix = path[:length]
        if length == len(path) or (length < len(path) and (path[length] == "/" or prefix.endswith("/"))):
            candidates.append(prefix)
    return sorted(candidates, key=len, reverse=True)


def row_from_columns(columns: Any, partitions: tuple[str, ...]) -> ReplicaRow:
    """Return the row that the columns `ROW_COLUMNS` describe; `partitions` are the names, by id."""
    name, number, state, tenant, term, index, partition_id, reason = columns
    return ReplicaRow(name, number, state, tenant, term, index, partitions[partition_id], reason)
