"""The requests in flight and their states. Times are microseconds."""

from enum import IntEnum

from reelusher.policy.events import Request
from reelusher.policy.settings import RequestClass, Settings
from reelusher.policy.tenant_scheduler import TenantScheduler


class RequestState(IntEnum):
    """The state of a request; the values are indices of `InFlightRequests.by_state`."""

    HELD = 0
    RUNNING = 1
    AWAITING_CALL = 2  # its run needs a call, which is not made yet
    CALLING = 3
    ATTACHED = 4  # waits for the result of its original


class InFlightRequest:
    """A request that has not finished."""

    __slots__ = (
        "answered",
        "arrived_us",
        "call_not_before_us",
        "call_retries",
        "call_until_us",
        "calls_are_optional",
        "due_us",
        "memory_kb",
        "objective_us",
        "request",
        "request_class",
        "started",
        "state",
    )

    def __init__(self, request: Request, request_class: RequestClass, now_us: int) -> None:
        self.request = request
        self.request_class = request_class
        self.state: RequestState | None = None
        self.memory_kb = 0.0  # memory that it takes in its state
        self.arrived_us = now_us - request.waited_us
        # an answer has its full value until this time
        self.objective_us = self.arrived_us + request_class.objective_us
        self.calls_are_optional = request_class.degraded_value_fraction > 0
        due_us = self.arrived_us + request_class.deadline_us
        if request.time_left_us:
            due_us = now_us + request.time_left_us
        self.due_us = max(now_us, due_us)
        self.answered = False
        self.started = False  # its run was started, so it may have had an effect
        self.call_retries = 0  # retries of rejected optional calls
        self.call_not_before_us = 0  # while it awaits its call: when the call may be made
        self.call_until_us = 0  # while it is calling: when the call is abandoned


class InFlightRequests:
    """All requests in flight, by id and by state, and the memory that they take.

    Only `move` changes the state of a request, so that counts, memory and tenant accounts stay consistent.
    """

    def __init__(self, settings: Settings, scheduler: TenantScheduler | None) -> None:
        self.settings = settings
        self._scheduler = scheduler
        self.by_id: dict[int, InFlightRequest] = {}
        self.held: dict[int, InFlightRequest] = {}
        self.running: dict[int, InFlightRequest] = {}
        self.awaiting_call: dict[int, InFlightRequest] = {}
        self.calling: dict[int, InFlightRequest] = {}
        self.attached: dict[int, InFlightRequest] = {}
        self.by_state = (self.held, self.running, self.awaiting_call, self.calling, self.attached)
        self.memory_kb = 0.0

    def __len__(self) -> int:
        return len(self.by_id)

    def add(self, in_flight: InFlightRequest, state: RequestState) -> None:
        """Add a request that was just read."""
        self.by_id[in_flight.request.id] = in_flight
        self.move(in_flight, state)

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request that has finished."""
        del self.by_id[in_flight.request.id]
        self.move(in_flight, None)

    def move(self, in_flight: InFlightRequest, state: RequestState | None) -> None:
        """Change the state of a request; None means that it has finished."""
        request, previous_state = in_flight.request, in_flight.state
        if previous_state is not None:
            del self.by_state[previous_state][request.id]
        memory_kb = 0.0
        if state is not None:
            self.by_state[state][request.id] = in_flight
            memory_kb = request.held_kb
            if state not in (RequestState.HELD, RequestState.ATTACHED):
                memory_kb *= self.settings.running_memory_factor
        change_kb = memory_kb - in_flight.memory_kb
        self.memory_kb += change_kb
        if self._scheduler:
            held = (state is RequestState.HELD) - (previous_state is RequestState.HELD)
            self._scheduler.holding_changed(request, held, change_kb)
        in_flight.state, in_flight.memory_kb = state, memory_kb
