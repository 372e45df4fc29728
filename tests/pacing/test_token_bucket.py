"""Token buckets."""

from reelusher.pacing.token_bucket import TokenBucket


def test_token_bucket_allows_a_burst_and_then_its_rate() -> None:
    bucket = TokenBucket(rate_per_s=2.0, capacity=3.0, now_s=10.0)
    assert [bucket.try_take(10.0) for _ in range(4)] == [True, True, True, False]
    assert [bucket.try_take(10.5) for _ in range(2)] == [True, False]
    assert bucket.available(9.0) == 0.0  # a clock that goes back adds no tokens
    assert bucket.available(100.0) == 3.0


def test_token_bucket_pays_off_a_debt_first() -> None:
    bucket = TokenBucket(rate_per_s=2.0, capacity=3.0)
    bucket.take(5.0)
    assert not bucket.try_take(1.0)
    assert bucket.available(1.5) == 1.0
    assert bucket.try_take(1.5)
