"""Times that several decisions share. All are microseconds."""

PERIOD_US = 100_000  # between two runs of the periodic decisions
REPLY_MARGIN_US = 60_000  # a reply is given a period, two ticks and this before it is due
NEVER_US = 1 << 62  # a time that does not come


def reply_margin_us(tick_us: int) -> int:
    """Return how long before its due time a request must be answered at the latest."""
    return PERIOD_US + 2 * tick_us + REPLY_MARGIN_US
