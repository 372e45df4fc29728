"""The classes that front ends accept, and when they stop to accept one that was removed."""

import pytest
from helpers import KEYED, MUST_CALL, SAFE

from reelusher.core.current_classes import CurrentClasses


def test_removed_class_is_accepted_for_the_grace_period_with_its_old_index(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("reelusher.core.current_classes.time.monotonic", lambda: now_s[0])
    classes = CurrentClasses(["safe", "visits"], [SAFE, KEYED])
    classes.replace({"visits": 1, "new": 2}, [SAFE, KEYED, MUST_CALL])
    now_s[0] += 4.9
    classes.replace({"visits": 1}, [SAFE, KEYED, MUST_CALL])  # must not end the grace of the other class
    assert [classes.index_of(name) for name in ("safe", "visits", "new", "other")] == [0, 1, 2, None]
    assert [name in classes for name in ("safe", "visits", "new")] == [False, True, False]
    now_s[0] += 0.2
    assert [classes.index_of(name) for name in ("safe", "visits", "new")] == [None, 1, 2]
    classes.replace({"visits": 1, "safe": 0}, [SAFE, KEYED, MUST_CALL])
    assert classes.index_of("safe") == 0
