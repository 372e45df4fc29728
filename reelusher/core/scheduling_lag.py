"""How late this process is; an input of the core and of drains, free of I/O."""

FADE_S = 2.0  # the worst lateness that was seen counts half after this


class SchedulingLag:
    """How late this process does what is due: the worst that was seen lately, which fades.

    On a core that is its own a timer is late by less than a millisecond. On one that is shared it is late by
    all that others run meanwhile, and by the threads that wait for the interpreter; that is what stages of a
    drain must be brought forward by.
    """

    def __init__(self) -> None:
        self._late_s = 0.0
        self._at_s = 0.0

    def observe(self, late_s: float, now_s: float) -> None:
        """Note that something was done so many seconds after its time."""
        self._late_s = max(late_s, self.lag_s(now_s))
        self._at_s = now_s

    def lag_s(self, now_s: float) -> float:
        """Return the seconds by which things are late at present."""
        faded: float = self._late_s * 0.5 ** (max(0.0, now_s - self._at_s) / FADE_S)
        return faded
