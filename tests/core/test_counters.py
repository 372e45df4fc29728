"""Counters and invariants."""

import pytest

from reelusher.core.counters import Counters


def test_invariants_are_asserted_in_debug_builds() -> None:
    counters = Counters()
    assert counters.must(True, "fine")
    with pytest.raises(AssertionError, match="one answer a request"):
        counters.must(False, "one answer a request")
