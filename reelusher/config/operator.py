"""The operator's file: the AJP front, the administration API, tenants, workers and balancers, in TOML."""

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass, fields
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from reelusher.codecs.ajp13 import DEFAULT_PACKET, KNOWN_NAMES, MOST_PACKET
from reelusher.config.checked_table import Address, CheckedTable, ConfigError, address_of
from reelusher.config.platform_config import seed_of
from reelusher.policy.settings import Idempotency, RequestClass, Settings

RUNTIME = "runtime"  # the backend of tenants whose requests run on the platform's runtime
UNIT_BITS = 1074  # every float is a whole multiple of 2 to the power of -1074 (IEEE 754)
ACTIVATIONS = ("active", "disabled", "stopped")
LONGEST_LABEL = 64  # characters of a fleet's name, a zone and a region: they go into each datagram
MOST_CONTROL = 8  # members that write the replicated table: each datagram tells how far each of them is
EFFECTS = {  # the values of `effect` in the operator's file
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENCY_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
GAUGES = ["busy_fraction", "runnable", "memory_fraction", "connections"]  # that workers report, in order


@dataclass(slots=True, frozen=True)
class Route:
    """Requests of one class, by method and the beginning of the path."""

    method: str  # or * for any
    path: str
    class_name: str


@dataclass(slots=True, frozen=True)
class ShareOf:
    """What a tenant is entitled to, as operators write it: parts of the capacity; a bound of 0 is none."""

    weight: float = 1.0
    guarantee: float = 0.0
    ceiling: float = 1.0
    burst_ms: int = 200
    held: int = 0
    running: int = 0
    memory_kb: float = 0.0
    keys: int = 0
    connections: int = 0
    classes: tuple[tuple[str, float], ...] = ()  # weights of classes within the tenant

    def to_json(self) -> dict[str, Any]:
        """Return what differs from the standard share."""
        made = {
            key: value for key in SHARE_KEYS if (value := getattr(self, key)) != getattr(STANDARD_SHARE, key)
        }
        return made | ({"classes": dict(self.classes)} if self.classes else {})


STANDARD_SHARE = ShareOf()
SHARE_KEYS = tuple(one.name for one in fields(ShareOf) if one.name != "classes")


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant: which requests are its own, what class they have and what runs them."""

    name: str
    backend: str  # a worker, a balancer or `runtime`
    hosts: tuple[str, ...]  # none: any
    prefix: str
    key_header: str
    default_class: str  # of requests that no route names; empty: they are answered 404
    max_open: int  # requests in hand past which it is refused; 0: no bound of its own
    held_kb: float  # memory booked for a held request beside its body
    routes: tuple[Route, ...]
    share: ShareOf = STANDARD_SHARE

    def to_json(self) -> dict[str, Any]:
        """Return it as the administration API and the operator's file write it."""
        made = {key: getattr(self, key) for key in TENANT_KEYS}
        if self.share != STANDARD_SHARE:
            made["share"] = self.share.to_json()
        made["hosts"] = list(self.hosts)
        made["routes"] = [{"method": r.method, "path": r.path, "class": r.class_name} for r in self.routes]
        if not self.default_class:
            del made["default_class"]
        return made


TENANT_KEYS = tuple(one.name for one in fields(Tenant) if one.name != "share")


@dataclass(slots=True, frozen=True)
class Worker:
    """An AJP13 container that requests are forwarded to."""

    name: str
    host: str
    port: int
    secret: str
    route: str  # that its sessions carry
    factor: int  # its part of a balancer's requests
    connections: int
    connect_timeout_ms: int
    cping_timeout_ms: int  # 0: no CPing before a request
    reply_timeout_ms: int
    recover_ms: int  # how long an unreachable worker is passed by
    activation: str


@dataclass(slots=True, frozen=True)
class Balancer:
    """Workers that share requests."""

    name: str
    members: tuple[str, ...]
    sticky: bool
    method: str


@dataclass(slots=True, frozen=True)
class Ajp:
    """The AJP13 front."""

    listen: Address
    secret: str
    packet_size: int
    max_body_kb: int
    max_response_kb: int
    max_connections: int
    idle_ms: int
    allowed_attributes: frozenset[str]


@dataclass(slots=True, frozen=True)
class Token:
    """Someone who may use the administration API, by the digest of a bearer token."""

    name: str  # in the audit trail
    sha256: str  # hexadecimal, of the token; tokens are random, so they need no slow hash
    tenant: str  # the one tenant that it may look at; empty: an operator's, for everything


@dataclass(slots=True, frozen=True)
class Admin:
    """The administration API."""

    listen: Address
    token: str  # an operator's, in clear text; empty: there are others
    tokens: tuple[Token, ...]
    state_file: str  # where changed tenants were kept before there was a journal; empty: nowhere
    durable_keys: bool  # nothing keyed runs before its key is in that folder
    state_dir: str  # where they are kept; empty: beside the state file, if that is named, else nowhere


@dataclass(slots=True, frozen=True)
class Fleet:
    """Membership among the nodes of a fleet."""

    name: str  # nodes of another fleet are not heard
    listen: Address  # UDP and TCP
    advertise: Address  # where others reach this node; port 0: the one that it listens on
    seeds: tuple[Address, ...]
    zone: str
    region: str
    secret_file: str


@dataclass(slots=True, frozen=True)
class Replication:
    """The table of tenants that all nodes of a fleet have a copy of."""

    store: str  # file of this node's copy
    control: tuple[str, ...]  # names of the members that write it, the same list on every node


@dataclass(slots=True, frozen=True)
class Operator:
    """All that an operator's file says."""

    name: str
    seed: int
    stop_ms: int
    memory_mb: float
    sockets: int
    ajp: Ajp | None
    admin: Admin | None
    fleet: Fleet | None
    replication: Replication | None  # None: the tenants are this node's own
    workers: tuple[Worker, ...]
    balancers: tuple[Balancer, ...]
    tenants: tuple[Tenant, ...]
    settings: Settings | None  # None: the platform's hold
    class_names: tuple[str, ...]


def is_loopback(host: str) -> bool:
    """Tell whether an address can be reached from this machine only."""
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


def _read_ajp(table: CheckedTable) -> Ajp:
    table.only(
        "listen",
        "secret",
        "packet_size",
        "max_body_kb",
        "max_response_kb",
        "max_connections",
        "idle_ms",
        "allowed_attributes",
    )
    made = Ajp(
        listen=table.address("listen"),
        secret=table.text("secret", " ").strip(),
        packet_size=table.whole("packet_size", DEFAULT_PACKET, DEFAULT_PACKET, MOST_PACKET),
        max_body_kb=table.whole("max_body_kb", 64, 1, 65536),
        max_response_kb=table.whole("max_response_kb", 1024, 1, 65536),
        max_connections=table.whole("max_connections", 400, 1, 10_000),
        idle_ms=table.whole("idle_ms", 60_000, 100),
        allowed_attributes=KNOWN_NAMES | set(table.texts("allowed_attributes", ())),
    )
    if not made.secret and not is_loopback(made.listen[0]):
        raise ConfigError(table.path("secret"), "required when listening beyond loopback")
    return made


def _read_admin(table: CheckedTable) -> Admin:
    table.only("listen", "token", "tokens", "state_file", "state_dir", "durable_keys")
    old = table.text("state_file", " ").strip()
    tokens = tuple(map(_read_token, table.tables("tokens")))
    _distinct(table.path("tokens"), [token.name for token in tokens])
    made = Admin(
        table.address("listen"),
        table.text("token", "" if tokens else None),
        tokens,
        old,
        table.flag("durable_keys", False),
        table.text("state_dir", old + ".d" if old else " ").strip(),
    )
    if made.durable_keys and not made.state_dir:
        raise ConfigError(table.path("durable_keys"), "state_dir is needed for them")
    if not is_loopback(made.listen[0]):
        raise ConfigError(table.path("listen"), "the administration API listens on loopback only")
    if (made.token or not tokens) and (len(made.token) < 16 or not made.token.isascii()):
        raise ConfigError(table.path("token"), "at least 16 ASCII characters are wanted")
    return made


def _read_fleet(table: CheckedTable) -> Fleet:
    table.only("name", "listen", "advertise", "seeds", "zone", "region", "secret_file")
    listen = _ip(table.address("listen"), table.path("listen"))
    labels = [
        table.text(key, default).strip()
        for key, default in (("name", "reelusher"), ("zone", " "), ("region", " "))
    ]
    for key, label in zip(("name", "zone", "region"), labels, strict=True):
        if len(label) > LONGEST_LABEL:
            raise ConfigError(table.path(key), f"at most {LONGEST_LABEL} characters are wanted")
    advertise = _ip(table.address("advertise"), table.path("advertise")) if "advertise" in table else listen
    seeds = tuple(
        _ip(address_of(seed, f"{table.path('seeds')}[{place}]"), f"{table.path('seeds')}[{place}]")
        for place, seed in enumerate(table.texts("seeds", ()))
    )
    return Fleet(labels[0], listen, advertise, seeds, labels[1], labels[2], table.text("secret_file"))


def _read_replication(table: CheckedTable) -> Replication:
    table.only("copy", "control")
    made = Replication(table.text("copy"), table.texts("control"))
    if not 1 <= len(made.control) <= MOST_CONTROL:
        raise ConfigError(table.path("control"), f"1 to {MOST_CONTROL} names are wanted")
    for place, name in enumerate(made.control):
        if len(name) > LONGEST_LABEL or "/" in name:  # it stands in paths of the administration API
            raise ConfigError(
                f"{table.path('control')}[{place}]",
                f"a member's name of at most {LONGEST_LABEL} characters is wanted, without /",
            )
    _distinct(table.path("control"), list(made.control))
    return made


def _alone_in(replication: Replication, admin: Admin | None, tenants: tuple[Tenant, ...]) -> None:
    """Refuse what else would say which tenants there are: they are in the replicated table only."""
    if tenants:
        raise ConfigError("tenants", "with [replication] they are added through the administration API")
    if admin and admin.state_file:
        raise ConfigError("admin.state_file", f"with [replication] tenants are kept in {replication.store}")
    if admin and admin.durable_keys:
        raise ConfigError("admin.durable_keys", "keys over a restart are not kept with [replication] so far")
    if admin and admin.state_dir:
        raise ConfigError("admin.state_dir", f"with [replication] tenants are kept in {replication.store}")


def _ip(address: Address, key: str) -> Address:
    """Take an address of numbers only: looking a name up could hold up all that is due."""
    try:
        ip_address(address[0])
    except ValueError:
        raise ConfigError(key, f"an IP address is wanted, not {address[0]!r:.60}") from None
    return address


def _read_token(table: CheckedTable) -> Token:
    table.only("name", "sha256", "tenant")
    made = Token(table.text("name"), table.text("sha256").lower(), table.text("tenant", " ").strip())
    if len(made.sha256) != 64 or set(made.sha256) - set("0123456789abcdef"):
        raise ConfigError(table.path("sha256"), "64 hexadecimal digits are wanted")
    return made


def _read_worker(table: CheckedTable) -> Worker:
    table.only(
        "name",
        "host",
        "port",
        "secret",
        "route",
        "factor",
        "connections",
        "connect_timeout_ms",
        "cping_timeout_ms",
        "reply_timeout_ms",
        "recover_ms",
        "activation",
    )
    name = table.text("name")
    if name == RUNTIME:
        raise ConfigError(table.path("name"), f"{RUNTIME} names the platform's runtime")
    return Worker(
        name=name,
        host=table.text("host", "127.0.0.1"),
        port=table.whole("port", 8009, 1, 65535),
        secret=table.text("secret", " ").strip(),
        route=table.text("route", name),
        factor=table.whole("factor", 1, 1, 1000),
        connections=table.whole("connections", 32, 1, 1000),
        connect_timeout_ms=table.whole("connect_timeout_ms", 1000, 1),
        cping_timeout_ms=table.whole("cping_timeout_ms", 1000),
        reply_timeout_ms=table.whole("reply_timeout_ms", 30_000, 1),
        recover_ms=table.whole("recover_ms", 10_000),
        activation=table.word("activation", ACTIVATIONS, "active"),
    )


def _read_balancer(table: CheckedTable) -> Balancer:
    table.only("name", "members", "sticky", "method")
    return Balancer(
        table.text("name"),
        table.texts("members"),
        table.flag("sticky", True),
        table.word("method", ("requests", "busyness"), "requests"),
    )


def read_tenant(table: CheckedTable, class_names: tuple[str, ...], backends: frozenset[str]) -> Tenant:
    """Check one tenant, from the operator's file or the administration API."""
    table.only(
        "name",
        "backend",
        "hosts",
        "prefix",
        "key_header",
        "default_class",
        "max_open",
        "held_kb",
        "routes",
        "share",
    )
    routes = []
    for route in table.tables("routes"):
        route.only("method", "path", "class")
        routes.append(
            Route(route.text("method", "*").upper(), _path(route, "path"), route.word("class", class_names))
        )
    name = table.text("name")
    if len(name) > 64 or not all(char.isalnum() or char in "-_." for char in name):
        raise ConfigError(table.path("name"), "1 to 64 letters, digits, dots, dashes, underlines are wanted")
    return Tenant(
        name=name,
        backend=table.word("backend", backends),
        hosts=tuple(host.lower() for host in table.texts("hosts", ())),
        prefix=_path(table, "prefix"),
        key_header=table.text("key_header", "X-Request-Key").lower(),
        default_class=table.word("default_class", class_names) if "default_class" in table else "",
        max_open=table.whole("max_open", 0),
        held_kb=table.number("held_kb", 16.0, 0.0, 1e6),
        routes=tuple(routes),
        share=_read_share(table.table("share"), class_names),
    )


def _read_share(table: CheckedTable, class_names: tuple[str, ...]) -> ShareOf:
    if table.empty:  # as of most of many tenants
        return STANDARD_SHARE
    table.only(
        "weight",
        "guarantee",
        "ceiling",
        "burst_ms",
        "held",
        "running",
        "memory_kb",
        "keys",
        "connections",
        "classes",
    )
    classes = table.table("classes")
    classes.only(*class_names)
    return ShareOf(
        weight=table.number("weight", 1.0, 0.001, 1e6),
        guarantee=table.number("guarantee", 0.0, 0.0, 1.0),
        ceiling=table.number("ceiling", 1.0, 0.001, 1.0),
        burst_ms=table.whole("burst_ms", 200, 0, 3_600_000),
        held=table.whole("held", 0),
        running=table.whole("running", 0),
        memory_kb=table.number("memory_kb", 0.0),
        keys=table.whole("keys", 0),
        connections=table.whole("connections", 0),
        classes=tuple(
            (name, classes.number(name, None, 0.001, 1e6)) for name in class_names if name in classes
        ),
    )


def _units(part: float) -> int:
    top, bottom = part.as_integer_ratio()
    return (top << UNIT_BITS) // bottom  # without a rest: the bottom is a power of two, and no greater


FULL_GUARANTEE = _units(1 + 1e-9)  # all guarantees together, with some room for decimal fractions


def guarantee_units(tenant: Tenant) -> int:
    """Return what a tenant is guaranteed, in units that add up exactly, in whatever order."""
    return _units(tenant.share.guarantee) if tenant.share.guarantee else 0


def over_guaranteed(tenants: Iterable[Tenant]) -> bool:
    """Tell whether guarantees add up to more than there is."""
    return sum(map(guarantee_units, tenants)) > FULL_GUARANTEE


def _path(table: CheckedTable, key: str) -> str:
    path = table.text(key, "/")
    if not path.startswith("/"):
        raise ConfigError(table.path(key), "a path begins with /")
    return path


def _read_settings(table: CheckedTable) -> tuple[Settings | None, tuple[str, ...]]:
    entries, names, classes = table.tables("classes"), [], []
    for entry in entries:
        entry.only("name", "deadline_ms", "aim_ms", "worth", "late_share", "effect", "window_ms")
        effect = EFFECTS[entry.word("effect", list(EFFECTS), "safe")]
        names.append(entry.text("name"))
        if names[-1] in names[:-1]:
            raise ConfigError(entry.path("name"), "two classes have this name")
        keyed = effect is Idempotency.IDEMPOTENCY_KEY
        classes.append(
            RequestClass(
                deadline_us=entry.whole("deadline_ms", least=1) * 1000,
                latency_objective_us=entry.whole("aim_ms", 0) * 1000,
                priority_weight=entry.number("worth", 1.0, 0.0, 1e6),
                late_value_fraction=entry.number("late_share", 0.0, 0.0, 1.0),
                idempotency=effect,
                idempotency_window_us=entry.whole("window_ms", None if keyed else 0, least=int(keyed)) * 1000,
            )
        )
    if not classes:
        return None, ()
    part = table.table("capacity")
    part.only(
        "cores",
        "memory_kb",
        "run_factor",
        "crowd_per_core",
        "entry_kb",
        "drain_grace_ms",
        "idle_ms",
        "retry_after_ms",
    )
    return Settings(
        classes=classes,
        cores=part.whole("cores", 4, 1, 1024),
        memory_kb=part.number("memory_kb", 65_536.0, 1),
        running_memory_factor=part.number("run_factor", 4.0, 1.0),
        max_runnable_per_core=part.number("crowd_per_core", 6.0, 1.0),
        runnable_window_us=2_000_000,
        initial_speed=1.0,
        warm_up_us=0,
        drain_grace_us=part.whole("drain_grace_ms", 2500) * 1000,
        answer_slack_us=80_000,
        tick_us=5_000,
        key_entry_kb=part.number("entry_kb", 16.0),
        idle_timeout_us=part.whole("idle_ms", 60_000) * 1000,
        max_retry_after_us=part.whole("retry_after_ms", 10_000) * 1000,
    ), tuple(names)


def parse(value: Any, class_names: tuple[str, ...] = (), has_runtime: bool = False) -> Operator:
    """Check an operator's file. The class names are the platform's, which go before the file's own."""
    table = CheckedTable(value)
    table.only(
        "node",
        "ajp",
        "admin",
        "fleet",
        "replication",
        "classes",
        "capacity",
        "workers",
        "balancers",
        "tenants",
    )
    node = table.table("node")
    node.only("name", "seed", "stop_ms", "memory_mb", "sockets")
    settings, own_names = _read_settings(table)
    names = class_names or own_names
    if not names:
        raise ConfigError("classes", "at least one is needed where no platform tells them")
    workers = tuple(map(_read_worker, table.tables("workers")))
    balancers = tuple(map(_read_balancer, table.tables("balancers")))
    worker_names = {worker.name for worker in workers}
    for place, balancer in enumerate(balancers):
        for member in balancer.members:
            if member not in worker_names:
                raise ConfigError(f"balancers[{place}].members", f"no worker is named {member!r}")
    _distinct("workers", [one.name for one in workers] + [one.name for one in balancers])
    backends = backend_names(workers, balancers, has_runtime)
    tenants = tuple(read_tenant(entry, names, backends) for entry in table.tables("tenants"))
    _distinct("tenants", [one.name for one in tenants])
    if over_guaranteed(tenants):
        raise ConfigError("tenants", "the guarantees of all shares add up to more than 1")
    admin = _read_admin(table.table("admin")) if "admin" in table else None
    replication = _read_replication(table.table("replication")) if "replication" in table else None
    if replication:
        _alone_in(replication, admin, tenants)
    return Operator(
        name=node.text("name", "reelusher"),
        seed=seed_of(node.text("seed", "1"), "node.seed"),
        stop_ms=node.whole("stop_ms", 10_000, least=100),
        memory_mb=node.number("memory_mb", 192.0, 16),
        sockets=node.whole("sockets", 1024, 64, 1 << 20),
        ajp=_read_ajp(table.table("ajp")) if "ajp" in table else None,
        admin=admin,
        fleet=_read_fleet(table.table("fleet")) if "fleet" in table else None,
        replication=replication,
        workers=workers,
        balancers=balancers,
        tenants=tenants,
        settings=None if class_names else settings,
        class_names=names,
    )


def _distinct(key: str, names: list[str]) -> None:
    seen = set[str]()
    for name in names:
        if name in seen:
            raise ConfigError(key, f"two have the name {name!r}")
        seen.add(name)


def backend_names(
    workers: tuple[Worker, ...], balancers: tuple[Balancer, ...], has_runtime: bool
) -> frozenset[str]:
    """Return what tenants may name as their backend."""
    return frozenset(
        {one.name for one in workers}
        | {one.name for one in balancers}
        | ({RUNTIME} if has_runtime else set())
    )


def read(path: str, class_names: tuple[str, ...], has_runtime: bool) -> Operator:
    """Read the file that REELUSHER_OPERATOR names."""
    try:
        value = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError("REELUSHER_OPERATOR", str(error)) from None
    except ValueError as error:
        raise ConfigError("REELUSHER_OPERATOR", f"{path} is not TOML: {error}") from None
    return parse(value, class_names, has_runtime)
