"""Partitions, terms, positions and version vectors.

There is one partition for each control member, named after it. Rendezvous hashing (Thaler and Ravishankar
1998) assigns a tenant's name to a partition. A term is `round * 8 + ordinal`, where `ordinal` is the place of
its leader among the sorted control members, like a ballot number in a consensus protocol: concurrent
take-overs by different members begin different terms, and every position identifies its leader. A version
vector has a replica's position in each partition.
"""

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from itertools import pairwise
from math import inf
from typing import NamedTuple

from reelusher.fleet.replication.messages import MAX_CONTROL_MEMBERS, Base
from reelusher.fleet.replication.replica_store import PartitionState

FORMAT_VERSION = 1  # of the format of entries and segments; members with different versions exchange none
LATER_TERM_GAIN = 1 << 32  # exceeds any number of entries of one term


class Position(NamedTuple):
    """A replica's progress in a partition; any position of a later term is further."""

    term: int
    log_index: int  # not named `index`, which is a method of tuples


VersionVector = dict[str, Position]  # positions by partition


def sorted_control(control: Sequence[str]) -> tuple[str, ...]:
    """Return the partitions in the order that vectors have: the sorted names of the control members."""
    return tuple(sorted(set(control)))


def control_digest(control: Sequence[str]) -> int:
    """Return a 32-bit digest of the control members and the format version."""
    text = "\0".join((str(FORMAT_VERSION), *sorted_control(control))).encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest())


def partition_of(name: str, control: Sequence[str]) -> str:
    """Return the partition that a name belongs to: the control member with the highest random weight."""
    return max(
        control,
        key=lambda member: (blake2b(name.encode(), digest_size=8, key=member.encode()[:64]).digest(), member),
    )


def first_term(partition: str, control: Sequence[str]) -> int:
    """Return the first term of a partition; the control member it is named after leads in it."""
    return MAX_CONTROL_MEMBERS + sorted_control(control).index(partition)


def next_term(term: int, leader: str, control: Sequence[str]) -> int:
    """Return the term of the next round that this control member leads."""
    next_round = term // MAX_CONTROL_MEMBERS + 1
    return next_round * MAX_CONTROL_MEMBERS + sorted_control(control).index(leader)


def leader_of(term: int, control: Sequence[str]) -> str:
    """Return the name of the control member that leads in a term."""
    return sorted_control(control)[term % MAX_CONTROL_MEMBERS]


def is_valid_term(term: int, control: Sequence[str]) -> bool:
    """Return whether the leader that a term encodes is one of the control members."""
    return term % MAX_CONTROL_MEMBERS < len(control)


def pack(vector: Mapping[str, Position], control: Sequence[str]) -> list[int]:
    """Return a vector as datagrams carry it: digest, then term and index of each partition."""
    packed = [control_digest(control)]
    for partition in sorted_control(control):
        packed += vector[partition]
    return packed


def unpack(packed: Sequence[int], control: Sequence[str]) -> VersionVector | None:
    """Return the vector that was packed; None if for another list of control members or another format."""
    partitions = sorted_control(control)
    if len(packed) != 1 + 2 * len(partitions) or packed[0] != control_digest(control):
        return None
    return {partition: position_at(packed, ordinal) for ordinal, partition in enumerate(partitions)}


def position_at(packed: Sequence[int], ordinal: int) -> Position:
    """Return the position in the partition at an ordinal of the sorted control list."""
    return Position(packed[1 + 2 * ordinal], packed[2 + 2 * ordinal])


def shared_through_index(first: Sequence[Base], second: Sequence[Base]) -> float:
    """Return the last index up to which two histories are equal; infinite if their bases are equal.

    A history is described by the bases of its terms. Two histories diverge after the lowest index among the
    bases that only one of them has.
    """
    shared_count = 0
    while shared_count < min(len(first), len(second)) and first[shared_count] == second[shared_count]:
        shared_count += 1
    return min((base for _, base in (*first[shared_count:], *second[shared_count:])), default=inf)


def is_valid_history(bases: Sequence[Base], term: int, initial_term: int) -> bool:
    """Return whether a term can have these bases: terms and indexes ascend, and the last base is its own."""
    if not bases:
        return term == initial_term
    return (
        bases[-1][0] == term
        and bases[0][0] > initial_term
        and all(before[0] < after[0] and before[1] <= after[1] for before, after in pairwise(bases))
    )


class ReplicaPositions:
    """A replica's states and the vector that it announces.

    Both are replaced as a whole, so that other threads can read them without a lock.
    """

    def __init__(self, control: Sequence[str]) -> None:
        self.control = sorted_control(control)
        self.digest = control_digest(control)
        self.states: dict[str, PartitionState] = {}  # by partition
        self.announced: list[int] = []  # the packed vector; callers must not modify it

    def replace_all(self, states: dict[str, PartitionState]) -> None:
        """Set the states of all partitions."""
        self.states = states
        positions = {name: Position(state.term, state.announced_index) for name, state in states.items()}
        self.announced = pack(positions, self.control)

    def update(self, partition: str, state: PartitionState) -> None:
        """Set the state of one partition."""
        self.replace_all(self.states | {partition: state})

    def is_compatible(self, vector: Sequence[int]) -> bool:
        """Return whether a packed vector has the same control members and format version."""
        return len(vector) == len(self.announced) and vector[0] == self.digest

    def is_ahead(self, vector: Sequence[int]) -> bool:
        """Return whether a packed vector is past this replica's position in any partition."""
        own = self.announced
        if vector == own or len(vector) != len(own) or vector[0] != self.digest:
            return False
        for offset in range(1, len(own), 2):
            term = own[offset]
            if vector[offset] > term or (vector[offset] == term and vector[offset + 1] > own[offset + 1]):
                return True
        return False

    def gain(self, vector: Sequence[int]) -> int:
        """Return by how many entries a packed vector is ahead; a later term counts as `LATER_TERM_GAIN`."""
        own, gain = self.announced, 0
        for offset in range(1, len(own), 2):
            if vector[offset] > own[offset]:
                gain += LATER_TERM_GAIN
            elif vector[offset] == own[offset] and vector[offset + 1] > own[offset + 1]:
                gain += vector[offset + 1] - own[offset + 1]
        return gain
