"""Partitions, terms, positions and version vectors.

A tenant's name belongs to the partition of one of the control members, by rendezvous hashing (Thaler and
Ravishankar 1998). A term is `round * 8 + the ordinal of its leader` among the sorted control members, as
ballots are numbered: two take-overs that don't know of each other can't begin one term, and every position
names its leader. A version vector has a replica's position in each partition.
"""

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from itertools import pairwise
from math import inf
from typing import NamedTuple

from reelusher.fleet.replication.messages import MAX_CONTROL_MEMBERS, Base
from reelusher.fleet.replication.replica_store import PartitionState

FORMAT_VERSION = 1  # of entries and segments; members of other versions do not exchange any
LATER_TERM_GAIN = 1 << 32  # counts for more than any number of entries of one term


class Position(NamedTuple):
    """How far a replica is in a partition; any position of a later term is further."""

    term: int
    log_index: int  # not `index`, which is a method of tuples


VersionVector = dict[str, Position]  # by partition


def sorted_control(control: Sequence[str]) -> tuple[str, ...]:
    """Return the partitions in the order of vectors: sorted names of the control members."""
    return tuple(sorted(set(control)))


def control_digest(control: Sequence[str]) -> int:
    """Return 32 bits that identify this list of control members, and the format."""
    text = "\0".join((str(FORMAT_VERSION), *sorted_control(control))).encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest())


def partition_of(name: str, control: Sequence[str]) -> str:
    """Return the partition that a name belongs to: the control member with the highest random weight."""
    return max(
        control,
        key=lambda member: (blake2b(name.encode(), digest_size=8, key=member.encode()[:64]).digest(), member),
    )


def first_term(partition: str, control: Sequence[str]) -> int:
    """Return the term that a partition begins with, led by the control member of its name."""
    return MAX_CONTROL_MEMBERS + sorted_control(control).index(partition)


def next_term(term: int, leader: str, control: Sequence[str]) -> int:
    """Return the term that follows with this leader."""
    next_round = term // MAX_CONTROL_MEMBERS + 1
    return next_round * MAX_CONTROL_MEMBERS + sorted_control(control).index(leader)


def leader_of(term: int, control: Sequence[str]) -> str:
    """Return the name of the control member that leads in a term."""
    return sorted_control(control)[term % MAX_CONTROL_MEMBERS]


def is_valid_term(term: int, control: Sequence[str]) -> bool:
    """Return whether a term names one of the control members."""
    return term % MAX_CONTROL_MEMBERS < len(control)


def pack(vector: Mapping[str, Position], control: Sequence[str]) -> list[int]:
    """Return a vector as datagrams carry it: digest, then term and index of each partition."""
    packed = [control_digest(control)]
    for partition in sorted_control(control):
        packed += vector[partition]
    return packed


def unpack(packed: Sequence[int], control: Sequence[str]) -> VersionVector | None:
    """Read a vector; None where it is of another list of control members."""
    partitions = sorted_control(control)
    if len(packed) != 1 + 2 * len(partitions) or packed[0] != control_digest(control):
        return None
    return {partition: position_at(packed, ordinal) for ordinal, partition in enumerate(partitions)}


def position_at(packed: Sequence[int], ordinal: int) -> Position:
    """Return the position in the partition at an ordinal of the sorted control list."""
    return Position(packed[1 + 2 * ordinal], packed[2 + 2 * ordinal])


def shared_through_index(first: Sequence[Base], second: Sequence[Base]) -> float:
    """Return the last index up to which two histories are equal; infinite where one continues the other.

    The bases of its terms describe a history. It leaves another at the first base that only one has.
    """
    same = 0
    while same < min(len(first), len(second)) and first[same] == second[same]:
        same += 1
    return min((base for _, base in (*first[same:], *second[same:])), default=inf)


def is_history(bases: Sequence[Base], term: int, first: int) -> bool:
    """Return whether bases can be those of a term: both parts ascend, and the last is its own."""
    if not bases:
        return term == first
    return (
        bases[-1][0] == term
        and bases[0][0] > first
        and all(before[0] < after[0] and before[1] <= after[1] for before, after in pairwise(bases))
    )


class ReplicaPositions:
    """A replica's states and the vector it announces; each is replaced as a whole, for concurrent readers."""

    def __init__(self, control: Sequence[str]) -> None:
        self.control = sorted_control(control)
        self.digest = control_digest(control)
        self.states: dict[str, PartitionState] = {}
        self.announced: list[int] = []  # the packed vector; not to be changed

    def replace_all(self, states: dict[str, PartitionState]) -> None:
        """Set the states of all partitions."""
        self.states = states
        positions = {name: Position(state.term, state.index) for name, state in states.items()}
        self.announced = pack(positions, self.control)

    def update(self, partition: str, state: PartitionState) -> None:
        """Set the state of one partition."""
        self.replace_all(self.states | {partition: state})

    def is_compatible(self, vector: Sequence[int]) -> bool:
        """Return whether a packed vector is of the same control list and format."""
        return len(vector) == len(self.announced) and vector[0] == self.digest

    def is_ahead(self, vector: Sequence[int]) -> bool:
        """Return whether a packed vector has anything that this replica lacks."""
        own = self.announced
        if vector == own or len(vector) != len(own) or vector[0] != self.digest:
            return False
        for at in range(1, len(own), 2):
            term = own[at]
            if vector[at] > term or (vector[at] == term and vector[at + 1] > own[at + 1]):
                return True
        return False

    def gain(self, vector: Sequence[int]) -> int:
        """Return how many entries a packed vector is ahead by; a later term counts for more than any."""
        own, gain = self.announced, 0
        for at in range(1, len(own), 2):
            if vector[at] > own[at]:
                gain += LATER_TERM_GAIN
            elif vector[at] == own[at] and vector[at + 1] > own[at + 1]:
                gain += vector[at + 1] - own[at + 1]
        return gain
