"""The administration API: JSON over HTTP/1.1 on loopback, behind a bearer token."""

import hashlib
import hmac
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from loguru import logger

from reelusher.admin import openapi
from reelusher.admin.calls import ApiCall, ApiError, Handler, Reply, Route, errors_as_api_errors
from reelusher.admin.tenant_api import TenantApi
from reelusher.backends.ajp.worker_pool import WorkerPool
from reelusher.codecs import http1
from reelusher.config.checked_table import CheckedTable
from reelusher.config.operator.admin import Admin, Token
from reelusher.config.operator.workers import ACTIVATIONS
from reelusher.core.event_loop import Core
from reelusher.net.listener import Listener
from reelusher.net.sockets import Address
from reelusher.tenancy.registry import TenantRegistry
from reelusher.tenancy.tenant_store import TenantTable

if TYPE_CHECKING:
    from reelusher.fleet.membership.service import Membership

MAX_BODY_BYTES = 1 << 18
MAX_CONNECTIONS = 32  # open at once; a further connection is closed right after it is accepted
DESCRIPTORS = MAX_CONNECTIONS + 2  # those connections, the listener, and a connection being rejected
OPERATOR_TOKEN_NAME = "operator"  # name in the audit trail of the token that is configured in clear text
SOCKET_TIMEOUT_S = 30.0  # time limit for the next bytes to arrive on a connection, and for sending a reply


@dataclass(slots=True, frozen=True)
class AdminContext:
    """The parts of a node that the API reads and changes."""

    core: Core
    tenants: TenantRegistry
    table: TenantTable
    workers: WorkerPool
    status: Callable[[], dict[str, Any]]
    drain: Callable[[], bool]  # requests a drain; returns False if one was requested before
    fleet: "Membership | None" = None
    tenant_api: TenantApi | None = None  # None: `AdminApi` creates one, for a table that is not replicated


class AdminApi:
    """Answers the calls of operators, each connection in a thread of its own.

    Whatever the event loop uses is changed on the event loop's thread.
    """

    def __init__(self, config: Admin, context: AdminContext) -> None:
        self._tokens = [*config.tokens]
        if config.token:
            self._tokens.append(Token(OPERATOR_TOKEN_NAME, token_digest(config.token), ""))
        self._context = context
        self._listener = Listener(
            "admin", config.listen, context.core.counters, self._serve, max_connections=MAX_CONNECTIONS
        )
        self.address = self._listener.address
        self._routes: dict[Route, Handler] = {
            Route("GET", "workers", False): self._workers,
            Route("GET", "workers", True): self._worker,
            Route("PUT", "workers", True): self._activate,
            Route("GET", "status", False): self._status,
            Route("GET", "counters", False): self._counters,
            Route("GET", "openapi.json", False): lambda call: Reply(200, openapi.document()),
            Route("POST", "drain", False): self._drain,
            Route("GET", "fleet", False): self._fleet,
            Route("POST", "fleet/forget", True): self._forget,
            Route("GET", "fleet/changes", False): self._no_replication,
            Route("POST", "fleet/take-over", True): self._no_replication,
            **(context.tenant_api or TenantApi(context.core, context.tenants, context.table)).routes,
        }

    def routes(self) -> set[tuple[str, str]]:
        """Return the method and the path of each call, as in the OpenAPI document."""
        return {(route.method, _path(route)) for route in self._routes}

    def start(self) -> None:
        """Start to accept connections."""
        self._listener.start()

    def close(self) -> None:
        """Stop accepting connections; those that are open are served on."""
        self._listener.stop()

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        decoder = http1.Decoder(MAX_BODY_BYTES)
        with sock:
            sock.settimeout(SOCKET_TIMEOUT_S)
            try:
                while data := sock.recv(1 << 16):
                    for message in decoder.feed(data):
                        sock.sendall(self._answer(message))
                        if not message.keep_alive:
                            return
            except http1.MalformedHttpError as error:
                counters = self._context.core.counters
                counters.warn("admin.malformed", "admin: {}:{} closed: {}", peer[0], peer[1], error)
                sock.sendall(_response(error.status, {"error": str(error)}, {"Connection": "close"}))
            except OSError as error:
                logger.debug("admin: {}", error)

    def _answer(self, message: http1.Message) -> bytes:
        method, target, _ = message.start
        self._context.core.counters.add("admin.requests")
        try:
            token = self._authorize(message)
            reply = self._dispatch(method, target, message, token)
        except ApiError as error:
            extra = {"WWW-Authenticate": "Bearer"} if error.status == 401 else {}
            return _response(error.status, error.body, extra | error.headers)
        except Exception:  # logged for the operator; the connection and the node continue
            logger.exception("admin: {} {} failed", method, target)
            return _response(500, {"error": "internal error"})
        if method not in ("GET", "HEAD"):
            logger.info("admin: {} {} answered {}", method, target, reply.status)
        return _response(reply.status, reply.body, reply.headers)

    def _authorize(self, message: http1.Message) -> Token:
        """Return the configured token that a call carries. Raises `ApiError` with status 401."""
        scheme, _, text = message.headers.get("authorization", "").partition(" ")
        received = token_digest(text.strip())
        # every token is compared, each in constant time, so that the duration reveals nothing about them
        matching = [token for token in self._tokens if hmac.compare_digest(received, token.sha256)]
        if scheme.lower() != "bearer" or not matching:
            self._context.core.counters.add("admin.unauthorized")
            raise ApiError(401, "a valid bearer token is needed")
        return matching[0]

    def _dispatch(self, method: str, target: str, message: http1.Message, token: Token) -> Reply:
        path, _, query = target.partition("?")
        resource, name = _resource_and_name(path)
        if token.tenant and (method, resource, name) not in {
            ("GET", "tenants", token.tenant),
            ("GET", "tenants/usage", token.tenant),
        }:
            self._context.core.counters.add("admin.forbidden")
            raise ApiError(403, f"this token may only look at {token.tenant!r}")
        handler = self._handler(Route(method, resource, bool(name)))
        body = None
        if method in ("POST", "PUT", "PATCH") and resource in ("tenants", "workers"):
            body = _decode(message.body)
        with errors_as_api_errors(method, target):
            return handler(ApiCall(token.name, name, body, dict(parse_qsl(query)), message.headers))

    def _handler(self, route: Route) -> Handler:
        handler = self._routes.get(route)
        if handler is not None:
            return handler
        if any(route[1:] == known[1:] for known in self._routes):
            raise ApiError(405, "no such method here")
        raise ApiError(404, "no such resource")

    # Calls that do not concern tenants

    def _workers(self, _call: ApiCall) -> Reply:
        return Reply(200, {"workers": self._context.workers.status()})

    def _worker(self, call: ApiCall) -> Reply:
        found = [worker for worker in self._context.workers.status() if worker["name"] == call.name]
        if not found:
            raise ApiError(404, f"no worker is named {call.name!r}")
        return Reply(200, found[0])

    def _activate(self, call: ApiCall) -> Reply:
        table = CheckedTable(call.body)
        table.reject_unknown_keys("activation")
        activation = table.choice("activation", ACTIVATIONS)
        if not self._context.core.run_on_loop(
            lambda: self._context.workers.set_activation(call.name, activation)
        ):
            raise ApiError(404, f"no worker is named {call.name!r}")
        return self._worker(call)

    def _status(self, _call: ApiCall) -> Reply:
        return Reply(200, self._context.core.run_on_loop(self._context.status))

    def _counters(self, _call: ApiCall) -> Reply:
        return Reply(200, self._context.core.counters.snapshot())

    def _fleet(self, _call: ApiCall) -> Reply:
        return Reply(200, self._membership().status())

    def _no_replication(self, _call: ApiCall) -> Reply:
        raise ApiError(404, "this node's tenants are its own: its configuration has no [replication]")

    def _forget(self, call: ApiCall) -> Reply:
        done = self._membership().forget(call.name)
        if done is None:
            raise ApiError(404, f"no member is named {call.name!r}")
        if not done:
            raise ApiError(409, f"{call.name!r} lives; it leaves by its own drain")
        return Reply(202, {"forgotten": call.name})

    def _membership(self) -> "Membership":
        if self._context.fleet is None:
            raise ApiError(404, "this node is in no fleet: its configuration has no [fleet]")
        return self._context.fleet

    def _drain(self, _call: ApiCall) -> Reply:
        if not self._context.drain():
            raise ApiError(409, "it drains already")
        return Reply(202, {"draining": True})


def _resource_and_name(path: str) -> tuple[str, str]:
    """Return the resource of a path and the name in it, which is empty where the path has none.

    Raises `ApiError` with status 404 for a path of another form.
    """
    match path.strip("/").split("/"):
        case ["v1", "fleet", "changes"]:
            return "fleet/changes", ""
        case ["v1", resource]:
            return resource, ""
        case ["v1", resource, name] if name:
            return resource, name
        case ["v1", "tenants", name, action] if name:
            return f"tenants/{action}", name
        case ["v1", "fleet", action, name] if name:
            return f"fleet/{action}", name
    raise ApiError(404, "no such resource")


def _path(route: Route) -> str:
    """Return the path of a route as the OpenAPI document writes it, with `{name}` for a name."""
    if route.resource.startswith("tenants/"):
        return f"/v1/{route.resource.replace('tenants/', 'tenants/{name}/')}"
    return f"/v1/{route.resource}" + ("/{name}" if route.is_named else "")


def _decode(body: bytes) -> Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ApiError(400, f"the body is not JSON: {error}") from None


def token_digest(token: str) -> str:
    """Return the SHA-256 digest of a bearer token in hexadecimal, as the configuration holds it."""
    return hashlib.sha256(token.encode()).hexdigest()


def _response(status: int, value: Any, headers: dict[str, str] | None = None) -> bytes:
    body = b"" if value is None else json.dumps(value).encode() + b"\n"
    return http1.response(status, body, {"Content-Type": "application/json", **(headers or {})})
