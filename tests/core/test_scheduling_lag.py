"""The scheduling lag."""

import pytest

from reelusher.core.scheduling_lag import SchedulingLag


def test_largest_scheduling_lag_decays() -> None:
    lag = SchedulingLag()
    lag.observe(0.4, 10.0)
    lag.observe(0.01, 10.1)
    assert 0.35 < lag.lag_s(10.1) < 0.4
    assert lag.lag_s(12.0) == pytest.approx(0.2)
    assert lag.lag_s(40.0) < 0.001
