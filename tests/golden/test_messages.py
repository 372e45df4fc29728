"""The messages between members of a fleet, byte for byte: members of two builds may be in one fleet."""

from random import Random
from typing import Any

import msgspec
import pytest

from golden.recordings import as_json, load
from reelusher.fleet.membership import messages as membership
from reelusher.fleet.membership.authentication import MessageAuthenticator
from reelusher.fleet.membership.member_table import MemberTable, bucket_of, digest_of
from reelusher.fleet.membership.messages import (
    Datagram,
    DatagramKind,
    MemberState,
    Observation,
    ObservationsReply,
    ObservationsRequest,
    Update,
)
from reelusher.fleet.replication import messages as replication
from reelusher.fleet.replication.messages import LogEntry, LogSegment
from reelusher.fleet.replication.positions import (
    Position,
    control_digest,
    first_term,
    leader_of,
    next_term,
    pack,
    partition_of,
)
from reelusher.fleet.warm_start.observations import select_donors

GOLDEN, AGREEMENTS = "messages.json", "agreements.json"
SECRET = b"a secret of sixteen or more"
OWN, OTHER, THIRD = "127.0.0.1:7001", "127.0.0.1:7002", "10.20.30.40:65535"
PROCESS_START = 1_700_000_000_123_456_789
CONTROL = ("c1", "c2", "c3")

UPDATES = [
    Update(
        address=OTHER, name="n2", zone="zone-a", region="region-1", incarnation=3, state=MemberState.ALIVE
    ),
    Update(
        address=THIRD,
        name="n3",
        zone="",
        region="region-2",
        incarnation=1 << 40,
        state=MemberState.SUSPECT,
        accuser=OWN,
    ),
    Update(
        address="127.0.0.1:7004", name="n4-é", zone="zone-b", region="", incarnation=0, state=MemberState.DEAD
    ),
    Update(
        address="127.0.0.1:7005", name="n5", zone="z", region="r", incarnation=70_000, state=MemberState.LEFT
    ),
]
ENTRIES = [
    LogEntry(
        index=41,
        name="clinic",
        at_ms=1_700_000_000_000,
        who="operator",
        state="active",
        tenant=b'{"name":"clinic"}',
        key="key-1",
        term=17,
    ),
    LogEntry(index=42, name="removed", at_ms=1_700_000_000_001, who="c2", state="", tenant=b""),
    LogEntry(
        index=43,
        name="held",
        at_ms=1_700_000_000_002,
        who="",
        state="suspended",
        tenant=b'{"name":"held"}',
        key="",
        term=25,
    ),
]
SEGMENT = LogSegment(
    partition="c1",
    term=17,
    bases=((9, 3), (17, 40)),
    since=40,
    through_index=43,
    entries=ENTRIES,
    more=True,
    horizon=12,
    covered=40,
    goal=44,
)
OBSERVATIONS = [
    Observation(subject="run:search", value=0.75, observed_s=1.7e9),
    Observation(subject="away:w1", value=1.0, observed_s=1.8e9),
]

MESSAGES: dict[str, tuple[Any, Any]] = {
    **{
        f"datagram {kind.name.lower()}": (
            Datagram,
            Datagram(
                kind=kind,
                sender=OWN,
                seq=7 + kind,
                target=THIRD,
                updates=UPDATES[:kind],
                vector=[1, 2, 1 << 62],
            ),
        )
        for kind in DatagramKind
    },
    "datagram without a vector": (Datagram, Datagram(kind=DatagramKind.GOSSIP, sender=OWN, updates=UPDATES)),
    "state request": (membership.StateRequest, membership.StateRequest(sender=OWN, updates=UPDATES)),
    "state reply": (
        membership.StateReply,
        membership.StateReply(updates=UPDATES, alternatives=[OTHER, THIRD]),
    ),
    "digest request": (membership.DigestRequest, membership.DigestRequest(sender=OWN, digest=1 << 61)),
    "digest reply": (membership.DigestReply, membership.DigestReply(digests=[0, 1, 1 << 61])),
    "buckets request": (
        membership.BucketsRequest,
        membership.BucketsRequest(sender=OWN, buckets=[0, 255], updates=UPDATES),
    ),
    "facts request": (ObservationsRequest, ObservationsRequest(sender=OWN)),
    "facts reply": (ObservationsReply, ObservationsReply(warm=True, observations=OBSERVATIONS)),
    "entries request": (
        replication.EntriesRequest,
        replication.EntriesRequest(
            sender=OWN, control_digest=control_digest(CONTROL), vector=[1, 2, 3], covered=[40, 41]
        ),
    ),
    "entries reply": (
        replication.EntriesReply,
        replication.EntriesReply(segments=[SEGMENT], alternatives=[OTHER]),
    ),
    "change request": (
        replication.ChangeRequest,
        replication.ChangeRequest(
            sender=OWN,
            method="PATCH",
            target="/v1/tenants/clinic?dry_run=true",
            headers={"if-match": '"4"'},
            body=b'{"prefix":"/x"}',
            who="operator",
        ),
    ),
    "change reply": (
        replication.ChangeReply,
        replication.ChangeReply(status=200, value=b'{"a":1}', headers={"ETag": '"5"'}),
    ),
}


def sealed_bytes(name: str) -> bytes:
    """Return the bytes of a message that is the first one of its sender."""
    return MessageAuthenticator(SECRET, "fleet-1", OWN, PROCESS_START).seal(MESSAGES[name][1])


def sealed_messages() -> dict[str, str]:
    """Return the bytes of one message of each kind, as hexadecimal digits."""
    return {name: sealed_bytes(name).hex() for name in MESSAGES}


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_is_encoded_and_decoded_byte_for_byte(name: str) -> None:
    recorded = bytes.fromhex(load(GOLDEN)[name])
    assert sealed_bytes(name) == recorded
    kind, message = MESSAGES[name]
    assert MessageAuthenticator(SECRET, "fleet-1", OTHER, 1).open(recorded, kind, 1 << 19) == (OWN, message)


def test_every_kind_of_message_is_recorded() -> None:
    kinds = {
        kind
        for module in (membership, replication)
        for kind in vars(module).values()
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and kind.__module__ == module.__name__
    }
    embedded = {
        Update,
        Observation,
        LogEntry,
        LogSegment,
        *(kind for kind in kinds if kind.__name__ == "Enveloped"),
    }
    assert kinds - embedded == {kind for kind, _ in MESSAGES.values()}


def test_requests_are_distinguished_by_their_recorded_tags() -> None:
    kinds = [kind for kind, message in MESSAGES.values() if kind.__struct_config__.tag]
    any_request: Any = membership.StateRequest
    for kind in kinds:
        any_request = any_request | kind
    for name, (kind, message) in MESSAGES.items():
        if kind in kinds:
            recorded = bytes.fromhex(load(GOLDEN)[name])
            assert MessageAuthenticator(SECRET, "fleet-1", OTHER, 1).open(recorded, any_request, 1 << 19) == (
                OWN,
                message,
            )


def agreed_values() -> dict[str, Any]:
    """Return values that each member computes on its own and all must agree on, such as digests."""
    table = MemberTable(Random(1))
    for update in UPDATES:
        table.apply(update, 0.0)
    vector = {
        member: Position(first_term(member, CONTROL), 10 + index) for index, member in enumerate(CONTROL)
    }
    return {
        "buckets": [bucket_of(update.address) for update in UPDATES],
        "marks": [digest_of(update) for update in UPDATES],
        "digests": [[index, digest] for index, digest in enumerate(table.digests) if digest],
        "owners": "".join(partition_of(f"tenant-{number}", CONTROL)[1] for number in range(60)),
        "control digest": control_digest(CONTROL),
        "vector": pack(vector, CONTROL),
        "epochs": [first_term("c2", CONTROL), next_term(9, "c3", CONTROL), leader_of(18, CONTROL)],
        "donors": select_donors(OWN, [f"127.0.0.1:{port}" for port in range(7001, 7020)]),
    }


def test_members_agree_on_the_recorded_hashes() -> None:
    assert as_json(agreed_values()) == load(AGREEMENTS)
