"""The administration API: JSON over HTTP/1.1 on loopback, behind a bearer token."""

import hmac
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

from loguru import logger

from reelusher.backends.workers import Pool
from reelusher.config.operator import ACTIVATIONS, Admin
from reelusher.config.table import ConfigError, Table
from reelusher.core.owner import Core
from reelusher.net import Address, Listener
from reelusher.tenancy.lifecycle import DRAIN_US, State, WrongState
from reelusher.tenancy.registry import Tenants
from reelusher.tenancy.store import save
from reelusher.wire import http1

MOST_BODY = 1 << 18
MOST_WITHIN_MS = 3_600_000  # a tenant that is removed is gone by then at the latest
TIMEOUT_S = 30.0  # for the next request on a connection, and for one answer to be taken

Reply = tuple[int, Any]


class Refused(Exception):
    """A request that is answered with an error."""

    def __init__(self, status: int, text: str, field: str = "") -> None:
        super().__init__(text)
        self.status, self.field = status, field


@dataclass(slots=True, frozen=True)
class Parts:
    """What the API administers."""

    core: Core
    tenants: Tenants
    pool: Pool
    status: Callable[[], dict[str, Any]]
    drain: Callable[[], bool]  # False: it drains already


class AdminApi:
    """Listens for operators. Every change is made by the owner, through its queue."""

    def __init__(self, config: Admin, parts: Parts) -> None:
        self._token = config.token.encode()
        self._state = Path(config.state_file) if config.state_file else None
        self._parts = parts
        self._listener = Listener("admin", config.listen, parts.core.counters, self._serve)
        self.address = self._listener.address
        self._routes: dict[tuple[str, str, bool], Callable[[str, Any], Reply]] = {
            ("GET", "tenants", False): self._list, ("POST", "tenants", False): self._create,
            ("GET", "tenants", True): self._show, ("PUT", "tenants", True): self._update,
            ("DELETE", "tenants", True): self._delete, ("GET", "workers", False): self._workers,
            ("POST", "tenants/suspend", True): self._suspend,
            ("POST", "tenants/resume", True): self._resume, ("GET", "tenants/usage", True): self._usage,
            ("GET", "workers", True): self._worker, ("PUT", "workers", True): self._activate,
            ("GET", "status", False): self._status, ("GET", "counters", False): self._counters,
            ("POST", "drain", False): self._drain}

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
            except http1.Malformed as error:
                self._parts.core.counters.add("admin.malformed")
                logger.warning("admin: {}:{} closed: {}", peer[0], peer[1], error)
                sock.sendall(_response(error.status, {"error": str(error)}, {"Connection": "close"}))
            except OSError as error:
                logger.debug("admin: {}", error)

    def _answer(self, message: http1.Message) -> bytes:
        method, target, _ = message.start
        self._parts.core.counters.add("admin.requests")
        try:
            self._authorize(message)
            path, _, query = target.partition("?")
            status, value = self._dispatch(method, path, message.body, query)
        except Refused as error:
            extra = {"WWW-Authenticate": "Bearer"} if error.status == 401 else {}
            where = {"field": error.field} if error.field else {}
            return _response(error.status, {"error": str(error), **where}, extra)
        except Exception:  # an operator sees that it failed, the log says why; the node goes on
            logger.exception("admin: {} {} failed", method, target)
            return _response(500, {"error": "internal error"})
        if method not in ("GET", "HEAD"):
            logger.info("admin: {} {} answered {}", method, target, status)
        return _response(status, value)

    def _authorize(self, message: http1.Message) -> None:
        scheme, _, token = message.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not hmac.compare_digest(token.strip().encode(), self._token):
            self._parts.core.counters.add("admin.unauthorized")
            raise Refused(401, "a valid bearer token is needed")

    def _dispatch(self, method: str, path: str, body: bytes, query: str) -> Reply:
        match path.strip("/").split("/"):
            case ["v1", kind]:
                name = ""
            case ["v1", kind, name] if name:
                pass
            case ["v1", "tenants", name, part] if name:
                kind = f"tenants/{part}"
            case _:
                raise Refused(404, "no such resource")
        react = self._routes.get((method, kind, bool(name)))
        if react is None:
            known = any((kind, bool(name)) == key[1:] for key in self._routes)
            raise Refused(405 if known else 404, "no such method here" if known else "no such resource")
        value: Any = dict(parse_qsl(query)) if method == "DELETE" else None
        if method in ("POST", "PUT") and kind in ("tenants", "workers"):
            try:
                value = json.loads(body)
            except (ValueError, RecursionError) as error:
                raise Refused(400, f"the body is not JSON: {error}") from None
        try:
            return react(name, value)
        except ConfigError as error:
            raise Refused(400, str(error), error.key) from None
        except WrongState as error:
            raise Refused(409, str(error)) from None

    # Tenants

    def _list(self, _name: str, _value: Any) -> Reply:
        tenants = self._parts.tenants
        return 200, {"tenants": [tenants.shown(entry) for entry in tenants.entries()]}

    def _show(self, name: str, _value: Any) -> Reply:
        entry = self._parts.tenants.entry(name)
        if entry is None:
            raise Refused(404, f"no tenant is named {name!r}")
        return 200, self._parts.tenants.shown(entry)

    def _create(self, _name: str, value: Any) -> Reply:
        tenants = self._parts.tenants
        tenant = tenants.read(value)

        def create() -> bool:
            return tenants.get(tenant.name) is None and tenants.put(tenant)

        if not self._change(create):
            raise Refused(409, f"a tenant is named {tenant.name!r} already", "name")
        return 201, tenant.to_json()

    def _update(self, name: str, value: Any) -> Reply:
        tenants = self._parts.tenants
        tenant = tenants.read(value, name)

        def update() -> bool:
            return tenants.get(name) is not None and not tenants.put(tenant)

        if not self._change(update):
            raise Refused(404, f"no tenant is named {name!r}")
        return 200, tenant.to_json()

    def _delete(self, name: str, query: Any) -> Reply:
        within = query.get("within_ms", str(DRAIN_US // 1000))
        if not (within.isascii() and within.isdigit() and int(within) <= MOST_WITHIN_MS):
            raise Refused(400, f"a whole number from 0 to {MOST_WITHIN_MS} is wanted", "within_ms")
        if not self._change(lambda: self._parts.tenants.delete(name, int(within) * 1000) is not None):
            raise Refused(404, f"no tenant is named {name!r}")
        left = self._parts.tenants.entry(name)
        return (204, None) if left is None else (202, self._parts.tenants.shown(left))

    def _suspend(self, name: str, _value: Any) -> Reply:
        return self._move(name, State.SUSPENDED)

    def _resume(self, name: str, _value: Any) -> Reply:
        return self._move(name, State.ACTIVE)

    def _move(self, name: str, to: State) -> Reply:
        if not self._change(lambda: self._parts.tenants.move(name, to) is not None):
            raise Refused(404, f"no tenant is named {name!r}")
        return self._show(name, None)

    def _usage(self, name: str, _value: Any) -> Reply:
        found = self._parts.core.ask(lambda: self._parts.tenants.usage(name))
        if found is None:
            raise Refused(404, f"no tenant is named {name!r}")
        return 200, found

    def _change(self, change: Callable[[], bool]) -> bool:
        """Let the owner make a change, and keep it for the next start."""
        done: bool = self._parts.core.ask(change)
        if done and self._state is not None:
            save(self._parts.tenants.entries(), self._state)
        return done

    # The rest

    def _workers(self, _name: str, _value: Any) -> Reply:
        return 200, {"workers": self._parts.pool.status()}

    def _worker(self, name: str, _value: Any) -> Reply:
        found = [worker for worker in self._parts.pool.status() if worker["name"] == name]
        if not found:
            raise Refused(404, f"no worker is named {name!r}")
        return 200, found[0]

    def _activate(self, name: str, value: Any) -> Reply:
        table = Table(value)
        table.only("activation")
        activation = table.word("activation", ACTIVATIONS)
        if not self._parts.core.ask(lambda: self._parts.pool.activate(name, activation)):
            raise Refused(404, f"no worker is named {name!r}")
        return self._worker(name, None)

    def _status(self, _name: str, _value: Any) -> Reply:
        return 200, self._parts.core.ask(self._parts.status)

    def _counters(self, _name: str, _value: Any) -> Reply:
        return 200, self._parts.core.counters.snapshot()

    def _drain(self, _name: str, _value: Any) -> Reply:
        if not self._parts.drain():
            raise Refused(409, "it drains already")
        return 202, {"draining": True}


def _response(status: int, value: Any, headers: dict[str, str] | None = None) -> bytes:
    body = b"" if value is None else json.dumps(value).encode() + b"\n"
    return http1.response(status, body, {"Content-Type": "application/json", **(headers or {})})
