"""The stored state of tenants: its format and its changes."""

import pytest

from reelusher.storage.errors import UnreadableStateError
from reelusher.storage.tenant_state import (
    ChangeKind,
    StoredTenants,
    TenantChange,
    decode_change,
    decode_state,
    encode,
)


@pytest.mark.parametrize(
    ("payload", "message"),
    [
        (b'{"op":"put"}', "name"),
        (b'{"op":"put","name":"a","who":"x","at_ms":1,"v":9}', "version 9"),
        (b'{"op":"put","name":"a","who":"x","at_ms":1,"more":1}', "more"),
        (b"[]", "object"),
        (b"nonsense", "JSON"),
    ],
)
def test_unreadable_change_raises_with_the_reason(payload: bytes, message: str) -> None:
    with pytest.raises(UnreadableStateError, match=message):
        decode_change(payload)


def test_change_that_does_not_follow_from_the_state_raises() -> None:
    with pytest.raises(UnreadableStateError, match="'remove' of 'a'"):
        StoredTenants().apply(1, TenantChange(ChangeKind.REMOVE, "a", "x", 1))
    state = StoredTenants()
    for number in range(1, 1500):
        state.apply(
            number, TenantChange(ChangeKind.PUT, "a", "x", 1, {"name": "a"}, idempotency_key=f"k{number}")
        )
    assert len(state.audit) == 1000 == len(state.idempotency_keys)
    assert decode_state(encode(state)) == state
