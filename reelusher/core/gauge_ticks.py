"""The periodic ticks of the controller, each with the gauges of its time."""

from reelusher.core.context import CoreContext
from reelusher.core.messages import GaugesReceived, Runner
from reelusher.policy.actions import SetTimer
from reelusher.policy.events import Gauges, Tick

GAUGES_TIMEOUT_US = 50_000  # after which a tick goes without gauges
REARM_DELAY_US = 100_000  # until the next tick, when a fault has lost the timer of the controller


class GaugeTicks:
    """Sets the timers that the controller asks for, and reads the gauges when one is due."""

    def __init__(self, context: CoreContext, runner: Runner) -> None:
        """`runner` is the one that knows the gauges."""
        self._context = context
        self._runner = runner
        self._last_cookie = 0
        self._label_by_cookie: dict[str, int] = {}  # of ticks that wait for gauges
        self.pending = 0  # timers that are set, or wait for their gauges

    def set_timer(self, action: SetTimer) -> None:
        """Set a timer of the controller."""
        self.pending += 1
        due_us = self._context.now_us + action.delay_us
        self._context.timers.call_at(due_us, lambda: self._request_gauges(action.label))

    def rearm_if_lost(self) -> None:
        """Set the one timer of the controller again, if a fault has lost it."""
        if not self.pending:
            self.set_timer(SetTimer(REARM_DELAY_US, 0))

    def on_gauges(self, message: GaugesReceived) -> None:
        """Let the tick that waits for these gauges follow."""
        label = self._label_by_cookie.pop(message.cookie, None)
        if label is None:
            return
        readings = zip(self._context.gauge_fields, message.values, strict=False)
        self._tick(label, Gauges(**{name: value for name, value in readings if name}))

    def _request_gauges(self, label: int) -> None:
        self._last_cookie += 1
        cookie = f"t{self._last_cookie}"
        if not self._runner.request_gauges(cookie):
            self._tick(label, Gauges())
            return
        self._label_by_cookie[cookie] = label
        timeout_us = self._context.now_us + GAUGES_TIMEOUT_US
        self._context.timers.call_at(timeout_us, lambda: self._on_gauges_timeout(cookie))

    def _on_gauges_timeout(self, cookie: str) -> None:
        label = self._label_by_cookie.pop(cookie, None)
        if label is not None:
            self._context.counters.add("gauges.missing")
            self._tick(label, Gauges())

    def _tick(self, label: int, gauges: Gauges) -> None:
        self.pending -= 1
        self._context.pending_events.append(Tick(label, gauges))
