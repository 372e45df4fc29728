"""Forwards calls of the administration API to other members of the fleet, and queries their state."""

import json
import threading
from random import Random
from typing import Any, Protocol
from urllib.parse import quote, urlencode

from reelusher.admin.calls import ApiCall, ApiError, Reply, Route
from reelusher.core.counters import Counters
from reelusher.fleet.membership.messages import Update
from reelusher.fleet.membership.requests import MemberUnreachableError, NoReplyError
from reelusher.fleet.replication.messages import MAX_CHANGE_BYTES, ChangeReply, ChangeRequest
from reelusher.tenancy.replicated import MAX_ACTOR_LENGTH

COPIES_TIMEOUT_S = 5.0  # time limit for other members to receive a change
FORWARD_TIMEOUT_S = 4.0  # time limit for the leader's reply to a forwarded call, without the wait for copies
QUERY_TIMEOUT_S = 1.0  # time limit for a member's reply to a query about its state
MAX_FORWARDED_CALLS = 8  # calls in progress at once; each uses a connection
MAX_TARGET_LENGTH = 4096  # characters of the path and query of a forwarded call
RETRY_AFTER_S = 2, 6  # range of the random Retry-After of calls that can't be served now
FORWARDED_HEADERS = "if-match", "idempotency-key"


class Fleet(Protocol):
    """The part of the membership that the client uses."""

    def live(self) -> list[Update]:
        """Return the live members, this one first."""

    def request_once(
        self, address: str, request: Any, reply_type: type[ChangeReply], timeout_s: float
    ) -> ChangeReply:
        """Send a request and return the reply.

        Raises `MemberUnreachableError` if nothing was sent, and `NoReplyError` if no valid reply arrived in
        time: the member may then have acted on the request.
        """


class FleetClient:
    """Calls other members by name. Without a fleet there are no other members."""

    def __init__(self, fleet: Fleet | None, counters: Counters, random: Random) -> None:
        self._fleet = fleet
        self._counters = counters
        self._random = random
        self._forwarding = threading.BoundedSemaphore(MAX_FORWARDED_CALLS)

    def live(self) -> list[Update]:
        """Return the live members, this one first; an empty list without a fleet."""
        return self._fleet.live() if self._fleet else []

    def is_live(self, name: str) -> bool:
        """Return whether a live member has this name."""
        return any(member.name == name for member in self.live())

    def retry_later(self, text: str, **extra: Any) -> ApiError:
        """Return a 503 whose random Retry-After spreads the retries; `extra` is added to its body."""
        headers = {"Retry-After": str(self._random.randint(*RETRY_AFTER_S))}
        return ApiError(503, text, headers=headers, extra=extra)

    def sole_address(self, name: str) -> str:
        """Return the address of the live member with this name, or an empty string if there is none.

        Raises `ApiError` if several members have the name: if two of them numbered changes of the same
        partition, its replicas would diverge.
        """
        addresses = [member.address for member in self.live() if member.name == name]
        if len(addresses) > 1:
            raise self.retry_later(f"{len(addresses)} live members are named {name!r}: nothing was changed")
        return addresses[0] if addresses else ""

    def query(self, name: str, target: str, default: Any) -> Any:
        """Return the decoded reply of a member to a query about its state.

        Returns `default` if the member is not live, does not reply in time, or replies with an error.

        Raises `ApiError` if several members have the name.
        """
        assert self._fleet is not None
        request = ChangeRequest(self.live()[0].address, "GET", target, {})
        try:
            reply = self._fleet.request_once(self.sole_address(name), request, ChangeReply, QUERY_TIMEOUT_S)
        except (MemberUnreachableError, NoReplyError):
            return default
        return json.loads(reply.value) if reply.status == 200 else default

    def forward(self, route: Route, call: ApiCall, leader: str, tenant: str) -> Reply:
        """Forward a change of a tenant to the leader of its partition; return the reply.

        Raises `ApiError` if the call is too long to be forwarded (413), if the leader can't be called now
        (503), or if it has not replied in time (504).
        """
        address = self.sole_address(leader)
        if not address or self._fleet is None:
            self._counters.add("replication.holder_away")
            raise self.retry_later(
                f"{leader!r} makes the changes of {tenant!r} and is not there: nothing was changed"
            )
        request = self._forwarded_request(route, call)
        if not self._forwarding.acquire(blocking=False):
            raise self.retry_later("too many calls are on their way to other members: nothing was changed")
        try:
            timeout_s = FORWARD_TIMEOUT_S + (COPIES_TIMEOUT_S if "copies" in call.query else 0.0)
            reply = self._fleet.request_once(address, request, ChangeReply, timeout_s)
        except MemberUnreachableError:
            self._counters.add("replication.holder_away")
            raise self.retry_later(
                f"{leader!r} makes the changes of {tenant!r} and can't be reached: nothing was changed"
            ) from None
        except NoReplyError:
            self._counters.add("replication.answers_lost")
            raise ApiError(
                504,
                f"{leader!r} was asked and did not answer: it may have been made; the same "
                "Idempotency-Key, or If-Match, tells",
            ) from None
        finally:
            self._forwarding.release()
        self._counters.add("replication.calls_sent_on")
        return Reply(reply.status, json.loads(reply.value), reply.headers)

    def _forwarded_request(self, route: Route, call: ApiCall) -> ChangeRequest:
        name = f"/{quote(call.name, '')}" if call.name else ""
        action = route.resource.removeprefix("tenants")
        target = f"/v1/tenants{name}{action}?{urlencode(call.query)}"
        body = b"" if call.body is None else json.dumps(call.body).encode()
        if len(target) > MAX_TARGET_LENGTH or len(body) > MAX_CHANGE_BYTES:
            raise ApiError(413, "it is too long to be carried to the member that makes the change")
        headers = {name: call.headers[name] for name in FORWARDED_HEADERS if name in call.headers}
        return ChangeRequest(
            self.live()[0].address, route.method, target, headers, body, call.actor[:MAX_ACTOR_LENGTH]
        )
