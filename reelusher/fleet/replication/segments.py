"""Validation of segments from other members, and the state of a partition after a segment."""

from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

from reelusher.fleet.replication.messages import LogSegment
from reelusher.fleet.replication.positions import first_term, is_valid_history, is_valid_term, partition_of
from reelusher.fleet.replication.replica_store import PartitionState


def find_fault(segment: LogSegment, own_state: PartitionState, control: Sequence[str]) -> str:
    """Validate a segment of a known partition; return "" or the fault as a suffix of a counter's name."""
    if segment.term < own_state.term or not is_valid_term(segment.term, control):
        return "epoch"
    same_term_differs = segment.term == own_state.term and segment.bases != own_state.bases
    initial_term = first_term(segment.partition, control)
    if same_term_differs or not is_valid_history(segment.bases, segment.term, initial_term):
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
    """The state of a partition after a segment, and whether the segment completed a refill."""

    state: PartitionState
    refilled: bool


def advance(state: PartitionState, segment: LogSegment) -> AdvancedState:
    """Return the state after a segment that begins at `state.since` is applied."""
    through_index = segment.through_index
    # rows up to `since` reflect removals up to `state.covered`, later ones those up to `segment.covered`
    common_covered = min(state.covered, segment.covered) if state.since else segment.covered
    covered = max(through_index, common_covered)
    goal = max(state.goal, segment.goal)
    state = replace(state, covered=covered, horizon=_horizon(state, segment), goal=goal)
    if state.cursor < 0:
        return AdvancedState(replace(state, index=through_index), False)
    if through_index >= goal:
        return AdvancedState(replace(state, index=through_index, cursor=-1), True)
    return AdvancedState(replace(state, cursor=through_index), False)


def _horizon(state: PartitionState, segment: LogSegment) -> int:
    """Return the tombstone horizon after a segment.

    A segment from index 0 sets it, since a refill replaces all rows. Later, the sender's horizon counts only
    if it is past `since`: tombstones after `since` may then be missing. All entries up to `since` were
    received before.
    """
    if not segment.since:
        return segment.horizon
    return state.horizon if segment.since >= segment.horizon else max(state.horizon, segment.horizon)
