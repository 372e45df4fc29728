"""Tenants of the replicated table over the administration API of any node.

Reads are answered from the node's own replica. A change is made by the leader of the partition that the
tenant's name belongs to; any other node forwards the call to it and returns its reply. The node that receives
a call checks its token; the leader trusts the member that forwards the call.
"""

import json
import threading
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import parse_qsl

from loguru import logger

from reelusher.admin.calls import ApiCall, ApiError, Handler, Reply, Route, errors_as_api_errors
from reelusher.admin.fleet_client import COPIES_TIMEOUT_S, Fleet, FleetClient
from reelusher.admin.partition_api import COUNTED_TARGET, POSITIONS_TARGET, PartitionApi
from reelusher.admin.tenant_api import MAX_PAGE, TenantApi, etag
from reelusher.config.operator.tenants import Tenant
from reelusher.core.event_loop import Core
from reelusher.fleet.replication.messages import ChangeReply, ChangeRequest
from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.storage.tenant_state import ChangeKind, TenantVersion, to_json
from reelusher.tenancy.registry import TenantRegistry
from reelusher.tenancy.replicated import ReplicatedTable, ReplicatedTenant, TableBusyError

MAX_COPY_WAITS = 3  # calls that may wait for copies at once; other calls need the remaining connections


class ReplicatedTenantApi(TenantApi):
    """Answers the calls that concern tenants of the replicated table, and its partitions."""

    def __init__(
        self, core: Core, tenants: TenantRegistry, table: ReplicatedTable, fleet: Fleet | None, random: Random
    ) -> None:
        super().__init__(core, tenants, table)
        self._replicated = table
        self._fleet = FleetClient(fleet, core.counters, random)
        self._counters = core.counters
        self._copy_waits = threading.BoundedSemaphore(MAX_COPY_WAITS)
        self._local_changes: dict[Route, Handler] = {
            route: handler for route, handler in self.routes.items() if route.method != "GET"
        }
        routes = self.routes | {route: self._leader_handler(route) for route in self._local_changes}
        routes |= PartitionApi(table, self._fleet, core.counters).routes
        self.routes = {route: self._with_replica_errors(handler) for route, handler in routes.items()}

    # Reads, from this node's replica

    def _list(self, call: ApiCall) -> Reply:
        limit, after = call.integer("limit", MAX_PAGE, MAX_PAGE, 1), call.query.get("after", "")
        versions = self._replicated.page(after, limit + 1)
        page = versions[:limit]
        next_page = {"next": page[-1].tenant["name"]} if len(versions) > limit else {}
        return Reply(200, {"tenants": [to_json(version) for version in page], **next_page})

    def _show(self, call: ApiCall) -> Reply:
        version = self._replicated.get(call.name)
        if version is None:
            raise self._not_found(call.name)
        body = self._to_json(self._replicated.with_overlaps(version)) or {}
        if version.unreadable:
            body["unreadable"] = version.unreadable
        return Reply(200, body, etag(version))

    # Changes, by the leader

    def _parse(self, body: Any, name: str | None = None) -> Tenant:
        return self._replicated.parse(body, name)

    def _exists(self, name: str) -> bool:
        return self._replicated.get(name) is not None

    def _apply(self, change: Callable[[], object]) -> None:
        """Do nothing: the replica has already notified the tenant registry."""

    def _to_json(self, version: TenantVersion | None) -> dict[str, Any] | None:
        body = to_json(version)
        if body is not None and isinstance(version, ReplicatedTenant):
            for key, overlaps in (("shadowed", version.shadowed_by), ("shadows", version.shadows)):
                if overlaps:
                    body[key] = [overlap.to_json() for overlap in overlaps]
        return body

    def _dry_run(self, before: TenantVersion | None, after: TenantVersion | None) -> Reply:
        if after is not None:
            after = self._replicated.with_overlaps(ReplicatedTenant(after.tenant, after.state, ""))
        return super()._dry_run(before, after)

    def _delete(self, call: ApiCall) -> Reply:
        if "within_ms" in call.query:
            raise ApiError(400, "each node ends what it has in hand within its own time", "within_ms")
        with self._table.exclusive():
            before = self._matching_version(call)
            if call.is_dry_run:
                return self._dry_run(before, None)
            self._table.change(ChangeKind.REMOVE, call.name, call.actor)
        return Reply(204)

    def _make_change(self, route: Route, call: ApiCall) -> Reply:
        """Make a change as the leader; wait until as many other members have it as the call asks for."""
        copies = call.integer("copies", 0, max(0, len(self._fleet.live()) - 1))
        self._fleet.sole_address(self._replicated.own_name)
        if copies and not self._copy_waits.acquire(blocking=False):
            raise self._fleet.retry_later("others wait for copies: nothing was changed")
        try:
            reply = self._local_changes[route](call)
            if copies and not call.is_dry_run and reply.status < 300:
                self._wait_for_copies(call, copies, reply)
        except TableBusyError as error:
            raise self._fleet.retry_later(f"{error}: nothing was changed") from None
        finally:
            if copies:
                self._copy_waits.release()
        return reply

    def _wait_for_copies(self, call: ApiCall, copies: int, reply: Reply) -> None:
        """Wait until `copies` other members have the change.

        Raises `ApiError` with status 504 when the time is up; the change has been made nevertheless.
        """
        partition = self._replicated.partition_of(_tenant_name(call))
        position = self._replicated.position(partition)
        count = self._replicated.replication.wait_for_copies(partition, position, copies, COPIES_TIMEOUT_S)
        if count < copies:
            raise ApiError(
                504,
                f"made, and {count} other members have it so far, not {copies}",
                "copies",
                reply.headers,
                {"made": True, "copies": count, "value": reply.body},
            )

    # Calls between nodes

    def _leader_of(self, call: ApiCall) -> str:
        return self._replicated.leader(self._replicated.partition_of(_tenant_name(call)))

    def _leader_handler(self, route: Route) -> Handler:
        """Return a handler that makes a change if this node leads, and else forwards it to the leader."""

        def handle(call: ApiCall) -> Reply:
            leader = self._leader_of(call)
            if leader == self._replicated.own_name:
                return self._make_change(route, call)
            return self._fleet.forward(route, call, leader, _tenant_name(call))

        return handle

    def _with_replica_errors(self, handler: Handler) -> Handler:
        """Return a handler that answers 503 if this node's replica can't be read."""

        def handle(call: ApiCall) -> Reply:
            try:
                return handler(call)
            except ReplicaError as error:
                raise self._fleet.retry_later(
                    f"this node's copy can't be read: {error}: nothing was changed"
                ) from None

        return handle

    def handle_forwarded(self, request: ChangeRequest) -> ChangeReply:
        """Answer a call that another member has forwarded, or a query from another member."""
        self._counters.add("replication.calls_carried")
        try:
            with errors_as_api_errors(request.method, request.target):
                reply = self._dispatch(request)
        except ReplicaError as error:
            reply = _error_reply(
                self._fleet.retry_later(
                    f"the copy of {self._replicated.own_name!r} can't be read: {error}: nothing was changed"
                )
            )
        except ApiError as error:
            reply = _error_reply(error)
        except Exception:
            logger.exception("admin: {} {} failed", request.method, request.target)
            reply = Reply(500, {"error": "internal error"})
        return ChangeReply(reply.status, json.dumps(reply.body).encode(), reply.headers)

    def _dispatch(self, request: ChangeRequest) -> Reply:
        path, _, query = request.target.partition("?")
        if path == POSITIONS_TARGET:
            partitions = self._replicated.replica.control
            return Reply(200, {partition: self._replicated.position(partition) for partition in partitions})
        if path == COUNTED_TARGET:
            return Reply(200, self._replicated.replication.progress_report())
        resource, name = _forwarded_resource(path)
        route = Route(request.method, resource, bool(name))
        if route not in self._local_changes:
            raise ApiError(404, "no such change")
        call = ApiCall(request.who, name, _decode(request.body), dict(parse_qsl(query)), request.headers)
        leader = self._leader_of(call)
        if leader != self._replicated.own_name:  # members disagree until one learns of the newer term
            raise self._fleet.retry_later(
                f"{leader!r} makes the changes of {_tenant_name(call)!r}: nothing was changed"
            )
        return self._make_change(route, call)


def _tenant_name(call: ApiCall) -> str:
    """Return the name of the tenant that a call concerns; empty if the call is invalid."""
    if call.name:
        return call.name
    name = call.body.get("name") if isinstance(call.body, dict) else None
    return name if isinstance(name, str) else ""


def _forwarded_resource(path: str) -> tuple[str, str]:
    """Return the resource of a path and the name in it; the name is empty where the path has none."""
    match path.strip("/").split("/"):
        case ["v1", "tenants"]:
            return "tenants", ""
        case ["v1", "tenants", name]:
            return "tenants", name
        case ["v1", "tenants", name, action]:
            return f"tenants/{action}", name
    raise ApiError(404, "no such resource")


def _decode(body: bytes) -> Any:
    try:
        return json.loads(body) if body else None
    except (ValueError, RecursionError) as error:
        raise ApiError(400, f"the body is not JSON: {error}") from None


def _error_reply(error: ApiError) -> Reply:
    return Reply(error.status, error.body, error.headers)
