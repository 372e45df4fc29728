"""Tenants of the replicated table over the administration API of any node.

What is looked at comes from the node's own copy. A change is answered by the holder of the name's stream: a
node that is not the holder sends the call on, whole, and gives back the answer. Who calls was told by the
token which the asking node has checked; members believe each other.
"""

import json
import threading
from collections.abc import Callable
from random import Random
from typing import Any, Protocol
from urllib.parse import parse_qsl, quote, urlencode

from loguru import logger

from reelusher.admin.tenant_api import ApiCall, ApiError, Handler, Reply, TenantApi, etag, refusing
from reelusher.config.operator import Tenant
from reelusher.core.event_loop import Core
from reelusher.fleet.membership.messages import Update
from reelusher.fleet.membership.service import MemberUnreachableError, NoReplyError
from reelusher.fleet.replication.messages import MAX_CHANGE_BYTES, ChangeReply, ChangeRequest
from reelusher.fleet.replication.positions import Position
from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.storage.tenant_state import TenantVersion as Kept
from reelusher.storage.tenant_state import shown
from reelusher.tenancy.registry import TenantRegistry
from reelusher.tenancy.replicated import MOST_WHO, ReplicatedTable, ReplicatedTenant, TableBusyError, told

COPIES_S = 5.0  # that a call waits for copies
CARRIED_S = 4.0  # that the holder has for a call that is carried there, beside the wait for copies
MOST_WAITS = 3  # calls that wait for copies at once: members need the rest of the connections among them
MOST_SENT = 8  # calls that are on their way to other members at once; each holds a connection
RETRY_S = 2, 6  # after which a call may come again that can't be answered now: drawn, so that they spread
MOST_LISTED = 100  # rows that are told of at once
POSITIONS, COUNTED = "/positions", "/counted"  # what members ask each other: how far they are, and others
ASK_S = 1.0  # that a member has to say it
MOST_TARGET = 4096  # characters of path and query, as a carried call has them
HEADERS = "if-match", "idempotency-key"  # that a call is carried with

Key = tuple[str, str, bool]  # method, kind, is a name given


class Fleet(Protocol):
    """The other members, as far as calls are concerned."""

    def live(self) -> list[Update]:
        """Return the live members, this one first."""

    def ask_once(self, place: str, request: Any, kind: type[ChangeReply], within_s: float) -> ChangeReply:
        """Ask a member. Raises `MemberUnreachableError` where it was told nothing, and `NoReplyError`."""


class ReplicatedTenantApi(TenantApi):
    """The calls that have to do with tenants, where they are kept in the replicated table."""

    def __init__(
        self, core: Core, tenants: TenantRegistry, table: ReplicatedTable, fleet: Fleet | None, random: Random
    ) -> None:
        super().__init__(core, tenants, table)
        self._replicated, self._fleet = table, fleet
        self._counters, self._random = core.counters, random
        self._waits = threading.BoundedSemaphore(MOST_WAITS)
        self._sends = threading.BoundedSemaphore(MOST_SENT)
        self._makes: dict[Key, Handler] = {
            key: react for key, react in self.routes.items() if key[0] != "GET"
        }
        self.routes |= {key: self._sender(key) for key in self._makes} | {
            ("GET", "fleet/changes", False): self._changes,
            ("POST", "fleet/take-over", True): self._take_over,
        }
        self.routes = {key: self._readable(react) for key, react in self.routes.items()}

    # Looking, at this node's copy

    def _list(self, asked: ApiCall) -> Reply:
        limit, after = asked.whole("limit", 1000, 1000, 1), asked.query.get("after", "")
        found = self._replicated.page(after, limit + 1)
        page = found[:limit]
        more = {"next": page[-1].tenant["name"]} if len(found) > limit else {}
        return Reply(200, {"tenants": [shown(one) for one in page], **more})

    def _show(self, asked: ApiCall) -> Reply:
        kept = self._replicated.kept(asked.name)
        if kept is None:
            raise self._nobody(asked.name)
        more = {"unreadable": kept.unreadable} if kept.unreadable else {}
        return Reply(200, {**(self._told(self._replicated.overlapping(kept)) or {}), **more}, etag(kept))

    def _changes(self, asked: ApiCall) -> Reply:
        """Tell how far the members have the changes."""
        table = self._replicated
        places: dict[str, list[str]] = {}
        for member in self._live():
            places.setdefault(member.name, []).append(member.place)
        counted = {one["stream"]: one for one in self._counted()}
        streams = []
        for stream in table.replica.control:
            state, further = table.replica.states[stream], table.lacks(stream)
            holder = table.holder(stream)
            streams.append(
                {
                    "stream": stream,
                    "holder": holder,
                    "holder_at": places.get(holder, []),
                    "position": told(table.position(stream)),
                    "heard_of": told(further) if further else None,
                    "refilling": state.cursor >= 0,
                    "lost": state.lost,
                    "put_back": state.restored,
                    "counted": counted.get(stream),
                    "taken_over": [{"epoch": epoch, "after": base} for epoch, base in state.bases],
                }
            )
        return Reply(
            200,
            {
                "own": table.own_name,
                "control": list(table.replica.control),
                "tenants": table.copy.count(),
                "guaranteed": table.copy.guaranteed(),
                "streams": streams,
                "unreadable": {
                    "count": table.copy.unreadable_count(),
                    "tenants": [
                        {"name": name, "why": why} for name, why in table.copy.unreadable(MOST_LISTED)
                    ],
                },
                "orphans": [
                    {
                        "number": one["number"],
                        "stream": one["stream"],
                        "version": f"{one['epoch']}.{one['revision']}",
                        "tenant": one["name"],
                        "who": one["who"],
                        "at_ms": one["at_ms"],
                        "state": one["state"],
                    }
                    for one in table.copy.divergent_rows(asked.whole("after", 0, 1 << 53), MOST_LISTED)
                ],
            },
        )

    # Changing

    def _read(self, value: Any, name: str | None = None) -> Tenant:
        return self._replicated.read(value, name)

    def _known(self, name: str) -> bool:
        return self._replicated.kept(name) is not None

    def _apply(self, change: Callable[[], object]) -> None:
        """Do nothing: the node goes by its copy, which has told it by now."""

    def _told(self, kept: Kept | None) -> dict[str, Any] | None:
        made = shown(kept)
        if made is not None and isinstance(kept, ReplicatedTenant):
            for key, overlaps in (("shadowed", kept.lost), ("shadows", kept.won)):
                if overlaps:
                    made[key] = [one.to_json() for one in overlaps]
        return made

    def _would(self, before: Kept | None, after: Kept | None) -> Reply:
        if after is not None:
            after = self._replicated.overlapping(ReplicatedTenant(after.tenant, after.state, ""))
        return super()._would(before, after)

    def _delete(self, asked: ApiCall) -> Reply:
        if "within_ms" in asked.query:
            raise ApiError(400, "each node ends what it has in hand within its own time", "within_ms")
        with self._table.changing():
            before = self._current(asked)
            if asked.dry:
                return self._would(before, None)
            self._table.change("remove", asked.name, asked.who)
        return Reply(204)

    def _make(self, key: Key, asked: ApiCall) -> Reply:
        """Make a change at its holder, and wait until as many others have it as the caller wants."""
        copies = asked.whole("copies", 0, max(0, len(self._live()) - 1))
        stream = self._replicated.partition_of(self._name(asked))
        self._sole(self._replicated.own_name)
        if copies and not self._waits.acquire(blocking=False):
            raise self._later("others wait for copies: nothing was changed")
        try:
            reply = self._makes[key](asked)
            if copies and not asked.dry and reply.status < 300:
                position = self._replicated.position(stream)
                have = self._replicated.replication.wait_for_copies(stream, position, copies, COPIES_S)
                if have < copies:
                    raise ApiError(
                        504,
                        f"made, and {have} other members have it so far, not {copies}",
                        "copies",
                        reply.headers,
                        {"made": True, "copies": have, "value": reply.value},
                    )
        except TableBusyError as error:
            raise self._later(f"{error}: nothing was changed") from None
        finally:
            if copies:
                self._waits.release()
        return reply

    def _name(self, asked: ApiCall) -> str:
        """Return the name of the tenant that a call is about."""
        if asked.name:
            return asked.name
        # without a name it is refused wherever it is read
        name = asked.value.get("name") if isinstance(asked.value, dict) else None
        return name if isinstance(name, str) else ""

    def _take_over(self, asked: ApiCall) -> Reply:
        """Have this member write a stream from now on, as an operator orders."""
        table, stream, own = self._replicated, asked.name, self._replicated.own_name
        if stream not in table.replica.control:
            raise ApiError(404, f"there is no stream {stream!r}: they are {', '.join(table.replica.control)}")
        if own not in table.replica.control:
            raise ApiError(409, f"{own!r} writes nothing: call one of {', '.join(table.replica.control)}")
        force, holder = asked.flag("force"), table.holder(stream)
        if holder == own and not table.replica.states[stream].lost:
            raise ApiError(409, f"{own!r} writes stream {stream!r} already")
        self._sole(own)
        lives = holder != own and any(member.name == holder for member in self._live())
        position, further = table.position(stream), table.lacks(stream)
        if lives and self._fleet is not None:  # what it has just made was not told to anybody yet
            further = max(filter(None, (further, self._asked_holder(stream, holder))), default=None)
            further = None if further is not None and further <= position else further
        found = {
            "stream": stream,
            "holder": holder,
            "has": told(position),
            "holder_lives": lives,
            "heard_of": told(further) if further else None,
            "lost": _changes_past(position, further),
        }
        if asked.dry:
            return Reply(200, {"dry_run": True, **found})
        if further is not None and not force:
            raise self._later(
                f"others have stream {stream!r} up to {told(further)}, this member up to "
                f"{told(position)}: wait for them, or lose them by force=true",
                **found,
            )
        try:
            begun = table.take_over(stream, force)
        except TableBusyError as error:
            raise self._later(f"{error}: nothing was changed") from None
        self._counters.add("replication.taken_over")
        logger.warning(
            "replication: {} writes stream {} from {} on, as {} ordered; others had heard of {}",
            own,
            stream,
            told(begun),
            asked.who,
            found["heard_of"] or "no more",
        )
        return Reply(200, {**found, "begins": told(begun)})

    def _counted(self) -> list[dict[str, Any]]:
        """Return who has the newest changes, as holders have counted it; who does not say is left out."""
        table = self._replicated
        found: list[dict[str, Any]] = table.replication.progress_report()
        holders = {table.holder(stream) for stream in table.replica.control} - {table.own_name}
        for holder in sorted(holders & {member.name for member in self._live()}):
            found += self._asked(holder, COUNTED, [])
        return found

    def _asked_holder(self, stream: str, holder: str) -> Position | None:
        """Return how far the holder of a stream says that it is; None where it does not say."""
        found = self._asked(holder, POSITIONS, {}).get(stream)
        return None if found is None else Position(*found)

    def _asked(self, name: str, target: str, otherwise: Any) -> Any:
        """Ask a member of this fleet's what only it knows."""
        assert self._fleet is not None
        request = ChangeRequest(self._live()[0].place, "GET", target, {})
        try:
            reply = self._fleet.ask_once(self._sole(name), request, ChangeReply, ASK_S)
        except (MemberUnreachableError, NoReplyError):
            return otherwise
        return json.loads(reply.value) if reply.status == 200 else otherwise

    # Between nodes

    def _live(self) -> list[Update]:
        return self._fleet.live() if self._fleet else []

    def _later(self, text: str, **more: Any) -> ApiError:
        return ApiError(503, text, headers={"Retry-After": str(self._random.randint(*RETRY_S))}, more=more)

    def _sole(self, name: str) -> str:
        """Return the place of the one live member of a name. Raises `ApiError`."""
        places = [member.place for member in self._live() if member.name == name]
        if len(places) > 1:  # two that number the same stream would never be one table again
            raise self._later(f"{len(places)} live members are named {name!r}: nothing was changed")
        return places[0] if places else ""

    def _readable(self, react: Handler) -> Handler:
        """Return what answers the same, and 503 where this node's copy can't be read."""

        def answer(asked: ApiCall) -> Reply:
            try:
                return react(asked)
            except ReplicaError as error:
                raise self._later(f"this node's copy can't be read: {error}: nothing was changed") from None

        return answer

    def _sender(self, key: Key) -> Handler:
        """Return what makes a change here or sends it on to its holder."""

        def react(asked: ApiCall) -> Reply:
            stream = self._replicated.partition_of(self._name(asked))
            holder = self._replicated.holder(stream)
            if holder == self._replicated.own_name:
                return self._make(key, asked)
            return self._send_on(key, asked, holder)

        return react

    def _send_on(self, key: Key, asked: ApiCall, holder: str) -> Reply:
        method, kind, _ = key
        place = self._sole(holder)
        if not place or self._fleet is None:
            self._counters.add("replication.holder_away")
            raise self._later(
                f"{holder!r} makes the changes of {self._name(asked)!r} and is not there: nothing was changed"
            )
        path = f"/v1/tenants{'/' * bool(asked.name)}{quote(asked.name, '')}{kind.removeprefix('tenants')}"
        target = f"{path}?{urlencode(asked.query)}"
        body = b"" if asked.value is None else json.dumps(asked.value).encode()
        if len(target) > MOST_TARGET or len(body) > MAX_CHANGE_BYTES:
            raise ApiError(413, "it is too long to be carried to the member that makes the change")
        request = ChangeRequest(
            self._live()[0].place,
            method,
            target,
            {name: asked.headers[name] for name in HEADERS if name in asked.headers},
            body,
            asked.who[:MOST_WHO],
        )
        if not self._sends.acquire(blocking=False):
            raise self._later("too many calls are on their way to other members: nothing was changed")
        try:
            within_s = CARRIED_S + (COPIES_S if "copies" in asked.query else 0.0)
            reply = self._fleet.ask_once(place, request, ChangeReply, within_s)
        except MemberUnreachableError:
            self._counters.add("replication.holder_away")
            raise self._later(
                f"{holder!r} makes the changes of {self._name(asked)!r} and can't be reached: "
                "nothing was changed"
            ) from None
        except NoReplyError:
            self._counters.add("replication.answers_lost")
            raise ApiError(
                504,
                f"{holder!r} was asked and did not answer: it may have been made; the same "
                "Idempotency-Key, or If-Match, tells",
            ) from None
        finally:
            self._sends.release()
        self._counters.add("replication.calls_sent_on")
        return Reply(reply.status, json.loads(reply.value), reply.headers)

    def carried(self, request: ChangeRequest) -> ChangeReply:
        """Answer a call that another member was asked."""
        self._counters.add("replication.calls_carried")
        try:
            with refusing(request.method, request.target):
                reply = self._carried(request)
        except ReplicaError as error:
            later = self._later(
                f"the copy of {self._replicated.own_name!r} can't be read: {error}: nothing was changed"
            )
            reply = Reply(later.status, later.value, later.headers)
        except ApiError as error:
            reply = Reply(error.status, error.value, error.headers)
        except Exception:
            logger.exception("admin: {} {} failed", request.method, request.target)
            reply = Reply(500, {"error": "internal error"})
        return ChangeReply(reply.status, json.dumps(reply.value).encode(), reply.headers)

    def _carried(self, request: ChangeRequest) -> Reply:
        path, _, query = request.target.partition("?")
        match path.strip("/").split("/"):
            case ["positions"]:
                return Reply(
                    200,
                    {
                        stream: self._replicated.position(stream)
                        for stream in self._replicated.replica.control
                    },
                )
            case ["counted"]:
                return Reply(200, self._replicated.replication.progress_report())
            case ["v1", "tenants"]:
                kind, name = "tenants", ""
            case ["v1", "tenants", name]:
                kind = "tenants"
            case ["v1", "tenants", name, part]:
                kind = f"tenants/{part}"
            case _:
                raise ApiError(404, "no such resource")
        key = request.method, kind, bool(name)
        if key not in self._makes:
            raise ApiError(404, "no such change")
        try:
            value = json.loads(request.body) if request.body else None
        except (ValueError, RecursionError) as error:
            raise ApiError(400, f"the body is not JSON: {error}") from None
        asked = ApiCall(request.who, name, value, dict(parse_qsl(query)), request.headers)
        stream = self._replicated.partition_of(self._name(asked))
        holder = self._replicated.holder(stream)
        if holder != self._replicated.own_name:  # who asked knows it otherwise; one of the two will learn
            raise self._later(f"{holder!r} makes the changes of {self._name(asked)!r}: nothing was changed")
        return self._make(key, asked)


def _changes_past(position: Position, further: Position | None) -> int | None:
    """Return how many changes are past a position; None where that is not known."""
    if further is None:
        return 0
    return further.log_index - position.log_index if further.term == position.term else None
