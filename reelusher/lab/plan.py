"""The plan of a load run, read from TOML; every error is a `ConfigError` that names the key."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from reelusher.config.checked_table import Address, CheckedTable, ConfigError
from reelusher.config.operator.checks import is_loopback


@dataclass(slots=True, frozen=True)
class Caller:
    """The web server of one tenant: what it requests, how often, and over which connections."""

    name: str
    host: str  # virtual host of the requests
    rate: float  # requests per second, at random times independent of answers
    method: str
    path: str
    body_bytes: int
    keyed: bool  # each request has an idempotency key
    repeats: float  # fraction of keyed requests that repeat an earlier one
    connections: int  # maximum number of concurrent connections
    keeps: bool  # connections are kept open between requests
    retries: float  # probability that a rejected attempt is retried
    retry_ms: float
    aim_ms: float  # requests served within this time after they were due count as in time
    weight: float  # weight by which its fair share is measured
    begins_s: float
    ends_s: float


@dataclass(slots=True, frozen=True)
class Worker:
    """A stand-in worker: `slots` concurrent requests, each of which takes `service_ms`."""

    listen: Address
    slots: int
    service_ms: float


@dataclass(slots=True, frozen=True)
class Plan:
    """The plan of one load run."""

    target: Address  # the node's AJP front end
    seconds: float
    warm_up_s: float  # requests that are due earlier are not counted
    seed: int
    callers: tuple[Caller, ...]
    workers: tuple[Worker, ...]


def _loopback(table: CheckedTable, key: str) -> Address:
    address = table.address(key)
    if not is_loopback(address[0]):
        raise ConfigError(table.path(key), "the laboratory talks to loopback only")
    return address


def _caller(table: CheckedTable, seconds: float) -> Caller:
    table.reject_unknown_keys(
        "name",
        "host",
        "rate",
        "method",
        "path",
        "body_bytes",
        "keyed",
        "repeats",
        "connections",
        "keeps",
        "retries",
        "retry_ms",
        "aim_ms",
        "weight",
        "begins_s",
        "ends_s",
    )
    return Caller(
        name=table.string("name"),
        host=table.string("host", table.string("name")),
        rate=table.number("rate", None, 0.001, 100_000),
        method=table.string("method", "GET"),
        path=table.string("path", "/"),
        body_bytes=table.integer("body_bytes", 0, 0, 8186),
        keyed=table.boolean("keyed", False),
        repeats=table.number("repeats", 0.0, 0.0, 1.0),
        connections=table.integer("connections", 32, 1, 10_000),
        keeps=table.boolean("keeps", True),
        retries=table.number("retries", 0.0, 0.0, 0.99),
        retry_ms=table.number("retry_ms", 50.0, 1.0),
        aim_ms=table.number("aim_ms", 500.0, 1.0),
        weight=table.number("weight", 1.0, 0.001),
        begins_s=table.number("begins_s", 0.0),
        ends_s=table.number("ends_s", seconds),
    )


def parse(value: Any) -> Plan:
    """Check a plan and return it; raise `ConfigError` for the first fault."""
    table = CheckedTable(value)
    table.reject_unknown_keys("run", "callers", "workers")
    run = table.table("run")
    run.reject_unknown_keys("target", "seconds", "warm_up_s", "seed")
    seconds = run.number("seconds", 20.0, 0.1, 3600)
    workers = []
    for entry in table.tables("workers"):
        entry.reject_unknown_keys("listen", "slots", "service_ms")
        workers.append(
            Worker(
                _loopback(entry, "listen"),
                entry.integer("slots", 4, 1, 10_000),
                entry.number("service_ms", 100.0, 0.0, 600_000),
            )
        )
    callers = tuple(_caller(entry, seconds) for entry in table.tables("callers"))
    if not callers:
        raise ConfigError("callers", "at least one is needed")
    return Plan(
        _loopback(run, "target"),
        seconds,
        run.number("warm_up_s", 1.0),
        run.integer("seed", 1),
        callers,
        tuple(workers),
    )


def read(path: Path) -> Plan:
    """Read a plan from a file and check it."""
    try:
        return parse(tomllib.loads(path.read_text()))
    except (OSError, ValueError) as error:
        raise ConfigError(str(path), str(error)) from None
