"""What a segment of another member is checked for, and what it makes of the state of a partition."""

from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

from reelusher.fleet.replication.messages import LogSegment
from reelusher.fleet.replication.positions import first_term, is_history, is_valid_term, partition_of
from reelusher.fleet.replication.replica_store import PartitionState


def find_fault(segment: LogSegment, own: PartitionState, control: Sequence[str]) -> str:
    """Return "", or a word for the counters where a segment of a known partition can't be valid."""
    if segment.term < own.term or not is_valid_term(segment.term, control):
        return "epoch"
    same_term_differs = segment.term == own.term and segment.bases != own.bases
    first = first_term(segment.partition, control)
    if same_term_differs or not is_history(segment.bases, segment.term, first):
        return "bases"
    if not segment.since <= segment.through_index <= segment.goal:
        return "numbers"
    return _find_entry_fault(segment, control)


def _find_entry_fault(segment: LogSegment, control: Sequence[str]) -> str:
    last_index, names = segment.since, set[str]()
    for entry in segment.entries:
        if not last_index < entry.index <= segment.through_index or entry.name in names:
            return "numbers"
        if entry.term > segment.term:
            return "epoch"
        last_index = entry.index
        names.add(entry.name)
        if partition_of(entry.name, control) != segment.partition:
            return "name"
    return ""


class AdvancedState(NamedTuple):
    """The state after a segment, and whether that ends a refill."""

    state: PartitionState
    refilled: bool


def advance(state: PartitionState, segment: LogSegment) -> AdvancedState:
    """Return the state once a segment that begins at `state.since` is applied."""
    through_index = segment.through_index
    known_covered = min(state.covered, segment.covered) if state.since else segment.covered
    covered = max(through_index, known_covered)
    goal = max(state.goal, segment.goal)
    state = replace(state, covered=covered, horizon=_horizon(state, segment), goal=goal)
    if state.cursor < 0:
        return AdvancedState(replace(state, index=through_index), False)
    if through_index >= goal:
        return AdvancedState(replace(state, index=through_index, cursor=-1), True)
    return AdvancedState(replace(state, cursor=through_index), False)


def _horizon(state: PartitionState, segment: LogSegment) -> int:
    """Return the tombstone horizon: the sender's matters for the entries that it sent, those past `since`."""
    if not segment.since:
        return segment.horizon
    return state.horizon if segment.since >= segment.horizon else max(state.horizon, segment.horizon)
