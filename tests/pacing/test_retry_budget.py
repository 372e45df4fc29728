"""Budget of immediate retries."""

from hypothesis import given
from hypothesis import strategies as st

from reelusher.pacing.retry_budget import RetryBudget


@given(st.lists(st.booleans(), max_size=300))
def test_retries_never_exceed_the_maximum_plus_those_earned_by_successes(outcomes: list[bool]) -> None:
    budget, retries, successes = RetryBudget(3, 0.5), 0, 0
    for success in outcomes:
        if success:
            budget.record_success()
            successes += 1
        else:
            retries += budget.try_acquire()
    assert retries <= 3 + 0.5 * successes
