"""Time constants shared by several decisions, in microseconds."""

PERIOD_US = 100_000  # interval of the periodic decisions
REPLY_MARGIN_US = 60_000  # added to a period and two ticks: see `reply_margin_us`
NEVER_US = 1 << 62  # later than any time that occurs


def reply_margin_us(tick_us: int) -> int:
    """Return how long before its due time a request must be answered at the latest."""
    return PERIOD_US + 2 * tick_us + REPLY_MARGIN_US
