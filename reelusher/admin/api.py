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
from reelusher.admin.tenant_api import ApiCall, ApiError, Handler, Reply, TenantApi, refusing
from reelusher.backends.ajp.worker_pool import WorkerPool
from reelusher.codecs import http1
from reelusher.config.checked_table import CheckedTable
from reelusher.config.operator import ACTIVATIONS, Admin, Token
from reelusher.core.event_loop import Core
from reelusher.net.listener import Listener
from reelusher.net.sockets import Address
from reelusher.tenancy.registry import TenantRegistry
from reelusher.tenancy.tenant_store import TenantTable

if TYPE_CHECKING:
    from reelusher.fleet.membership.service import Membership

MOST_BODY = 1 << 18
MOST_CONNECTIONS = 32  # at once; past them newcomers are closed
DESCRIPTORS = MOST_CONNECTIONS + 2  # the listener, and one that is turned away
OPERATOR = "operator"  # name of the token that stands in clear text, in the audit trail
TIMEOUT_S = 30.0  # for the next request on a connection, and for one answer to be taken


@dataclass(slots=True, frozen=True)
class Parts:
    """What the API administers."""

    core: Core
    tenants: TenantRegistry
    table: TenantTable
    pool: WorkerPool
    status: Callable[[], dict[str, Any]]
    drain: Callable[[], bool]  # False: it drains already
    fleet: "Membership | None" = None
    calls: TenantApi | None = None  # that have to do with tenants; None: as the table is this node's own


class AdminApi:
    """Listens for operators. Every change is made by the owner, through its queue."""

    def __init__(self, config: Admin, parts: Parts) -> None:
        self._tokens = [*config.tokens]
        if config.token:
            self._tokens.append(Token(OPERATOR, digest(config.token), ""))
        self._parts = parts
        self._listener = Listener(
            "admin", config.listen, parts.core.counters, self._serve, max_connections=MOST_CONNECTIONS
        )
        self.address = self._listener.address
        self._routes: dict[tuple[str, str, bool], Handler] = {
            ("GET", "workers", False): self._workers,
            ("GET", "workers", True): self._worker,
            ("PUT", "workers", True): self._activate,
            ("GET", "status", False): self._status,
            ("GET", "counters", False): self._counters,
            ("GET", "openapi.json", False): lambda asked: Reply(200, openapi.document()),
            ("POST", "drain", False): self._drain,
            ("GET", "fleet", False): self._fleet,
            ("POST", "fleet/forget", True): self._forget,
            ("GET", "fleet/changes", False): self._no_replication,
            ("POST", "fleet/take-over", True): self._no_replication,
            **(parts.calls or TenantApi(parts.core, parts.tenants, parts.table)).routes,
        }

    def routes(self) -> set[tuple[str, str]]:
        """Return what is answered, as method and path."""
        return {
            (
                method,
                f"/v1/{kind.replace('tenants/', 'tenants/{name}/')}"
                + "/{name}" * (named and not kind.startswith("tenants/")),
            )
            for method, kind, named in self._routes
        }

    def start(self) -> None:
        """Start to listen."""
        self._listener.start()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.stop()

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        decoder = http1.Decoder(MOST_BODY)
        with sock:
            sock.settimeout(TIMEOUT_S)
            try:
                while data := sock.recv(1 << 16):
                    for message in decoder.feed(data):
                        sock.sendall(self._answer(message))
                        if not message.keeps_open:
                            return
            except http1.MalformedHttpError as error:
                self._parts.core.counters.add("admin.malformed")
                logger.warning("admin: {}:{} closed: {}", peer[0], peer[1], error)
                sock.sendall(_response(error.status, {"error": str(error)}, {"Connection": "close"}))
            except OSError as error:
                logger.debug("admin: {}", error)

    def _answer(self, message: http1.Message) -> bytes:
        method, target, _ = message.start
        self._parts.core.counters.add("admin.requests")
        try:
            token = self._authorize(message)
            reply = self._dispatch(method, target, message, token)
        except ApiError as error:
            extra = {"WWW-Authenticate": "Bearer"} if error.status == 401 else {}
            return _response(error.status, error.value, extra | error.headers)
        except Exception:  # an operator sees that it failed, the log says why; the node goes on
            logger.exception("admin: {} {} failed", method, target)
            return _response(500, {"error": "internal error"})
        if method not in ("GET", "HEAD"):
            logger.info("admin: {} {} answered {}", method, target, reply.status)
        return _response(reply.status, reply.value, reply.headers)

    def _authorize(self, message: http1.Message) -> Token:
        """Return whose token came with a request."""
        scheme, _, text = message.headers.get("authorization", "").partition(" ")
        given = digest(text.strip())
        # each is compared, and in constant time: how long this takes tells nothing about any of them
        fits = [token for token in self._tokens if hmac.compare_digest(given, token.sha256)]
        if scheme.lower() != "bearer" or not fits:
            self._parts.core.counters.add("admin.unauthorized")
            raise ApiError(401, "a valid bearer token is needed")
        return fits[0]

    def _dispatch(self, method: str, target: str, message: http1.Message, token: Token) -> Reply:
        path, _, query = target.partition("?")
        match path.strip("/").split("/"):
            case ["v1", "fleet", "changes"]:
                kind, name = "fleet/changes", ""
            case ["v1", kind]:
                name = ""
            case ["v1", kind, name] if name:
                pass
            case ["v1", "tenants", name, part] if name:
                kind = f"tenants/{part}"
            case ["v1", "fleet", part, name] if name:
                kind = f"fleet/{part}"
            case _:
                raise ApiError(404, "no such resource")
        if token.tenant and (method, kind, name) not in {
            ("GET", "tenants", token.tenant),
            ("GET", "tenants/usage", token.tenant),
        }:
            self._parts.core.counters.add("admin.forbidden")
            raise ApiError(403, f"this token may only look at {token.tenant!r}")
        react = self._routes.get((method, kind, bool(name)))
        if react is None:
            known = any((kind, bool(name)) == key[1:] for key in self._routes)
            raise ApiError(405 if known else 404, "no such method here" if known else "no such resource")
        value = None
        if method in ("POST", "PUT", "PATCH") and kind in ("tenants", "workers"):
            try:
                value = json.loads(message.body)
            except (ValueError, RecursionError) as error:
                raise ApiError(400, f"the body is not JSON: {error}") from None
        with refusing(method, target):
            return react(ApiCall(token.name, name, value, dict(parse_qsl(query)), message.headers))

    # The rest

    def _workers(self, _asked: ApiCall) -> Reply:
        return Reply(200, {"workers": self._parts.pool.status()})

    def _worker(self, asked: ApiCall) -> Reply:
        found = [worker for worker in self._parts.pool.status() if worker["name"] == asked.name]
        if not found:
            raise ApiError(404, f"no worker is named {asked.name!r}")
        return Reply(200, found[0])

    def _activate(self, asked: ApiCall) -> Reply:
        table = CheckedTable(asked.value)
        table.only("activation")
        activation = table.word("activation", ACTIVATIONS)
        if not self._parts.core.run_on_loop(lambda: self._parts.pool.activate(asked.name, activation)):
            raise ApiError(404, f"no worker is named {asked.name!r}")
        return self._worker(asked)

    def _status(self, _asked: ApiCall) -> Reply:
        return Reply(200, self._parts.core.run_on_loop(self._parts.status))

    def _counters(self, _asked: ApiCall) -> Reply:
        return Reply(200, self._parts.core.counters.snapshot())

    def _fleet(self, _asked: ApiCall) -> Reply:
        return Reply(200, self._membership().status())

    def _no_replication(self, _asked: ApiCall) -> Reply:
        raise ApiError(404, "this node's tenants are its own: its configuration has no [replication]")

    def _forget(self, asked: ApiCall) -> Reply:
        done = self._membership().forget(asked.name)
        if done is None:
            raise ApiError(404, f"no member is named {asked.name!r}")
        if not done:
            raise ApiError(409, f"{asked.name!r} lives; it leaves by its own drain")
        return Reply(202, {"forgotten": asked.name})

    def _membership(self) -> "Membership":
        if self._parts.fleet is None:
            raise ApiError(404, "this node is in no fleet: its configuration has no [fleet]")
        return self._parts.fleet

    def _drain(self, _asked: ApiCall) -> Reply:
        if not self._parts.drain():
            raise ApiError(409, "it drains already")
        return Reply(202, {"draining": True})


def digest(token: str) -> str:
    """Return what is kept of a bearer token."""
    return hashlib.sha256(token.encode()).hexdigest()


def _response(status: int, value: Any, headers: dict[str, str] | None = None) -> bytes:
    body = b"" if value is None else json.dumps(value).encode() + b"\n"
    return http1.response(status, body, {"Content-Type": "application/json", **(headers or {})})
