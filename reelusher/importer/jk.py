"""mod_jk: workers.properties."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from reelusher.importer.model import Imported

MACRO = re.compile(r"\$\(([^)]*)\)")
MOST_REFERENCES = 20
AJP_TYPES = ("ajp13", "ajp14")
ACTIVATIONS = {"a": "active", "d": "disabled", "s": "stopped"}
METHODS = {"r": "requests", "b": "busyness"}
TRUE = ("1", "true", "t", "on", "yes", "y")
Value = Any


def _activation(text: str) -> Value:
    return ACTIVATIONS[text[:1].lower()]


def _seconds(text: str) -> Value:
    return int(text) * 1000


# what a worker's property becomes: our key, and how its value is read
WORKER: dict[str, tuple[str, Callable[[str], Value]]] = {
    "host": ("host", str),
    "port": ("port", int),
    "lbfactor": ("factor", int),
    "secret": ("secret", str),
    "route": ("route", str),
    "jvm_route": ("route", str),
    "connection_pool_size": ("connections", int),
    "cachesize": ("connections", int),
    "socket_connect_timeout": ("connect_timeout_ms", int),
    "reply_timeout": ("reply_timeout_ms", int),
    "ping_timeout": ("cping_timeout_ms", int),
    "prepost_timeout": ("cping_timeout_ms", int),
    "connect_timeout": ("cping_timeout_ms", int),
    "activation": ("activation", _activation),
    "recover_time": ("recover_ms", _seconds),
}
ZERO_MEANS_DEFAULT = frozenset({"reply_timeout_ms", "connect_timeout_ms", "connections"})  # 0: no limit there


@dataclass(slots=True)
class Section:
    """The properties of one worker, with the lines that say them."""

    name: str
    values: dict[str, tuple[str, int]] = field(default_factory=dict)


def read(text: str, file: str, into: Imported) -> None:
    """Read a workers.properties."""
    listed, sections = _sections(text, file, into)
    if not listed:
        into.add_omission(file, 1, "worker.list names no worker")
    wanted = [name for name, _ in listed]
    into.listed_backends += [(name, file, line) for name, line in listed]
    for name, line in listed:
        if name not in sections:
            into.add_omission(file, line, f"worker.list names {name}, which nothing describes")
            continue
        section = _resolved(sections[name], sections, file, into)
        kind = section.values.pop("type", ("ajp13", line))
        if kind[0] in AJP_TYPES:
            into.workers[name] = _worker(section, file, into)
        elif kind[0] == "lb":
            _balancer(section, sections, file, into)
        else:
            into.add_omission(file, kind[1], f"worker {name}: the type {kind[0]} has no counterpart")
    used = {member for balancer in into.balancers.values() for member in balancer["members"]}
    for name, section in sections.items():
        if name not in used and name not in wanted and not _is_template(name, sections):
            line = min(line for _, line in section.values.values())
            into.add_omission(file, line, f"worker {name} is neither in worker.list nor in a balancer")


def _sections(text: str, file: str, into: Imported) -> tuple[list[tuple[str, int]], dict[str, Section]]:
    macros: dict[str, str] = {}
    listed: list[tuple[str, int]] = []
    sections: dict[str, Section] = {}
    for number, line in _lines(text):
        key, equals, value = line.partition("=")
        key, value = key.strip(), MACRO.sub(lambda m: macros.get(m.group(1), m.group(0)), value.strip())
        if not equals:
            into.add_omission(file, number, "not of the form KEY=VALUE")
        elif not key.startswith("worker."):
            macros[key] = value
        elif key == "worker.list":
            listed += [(name, number) for name in re.split(r"[,\s]+", value) if name]
        elif key == "worker.maintain":
            into.add_omission(file, number, "worker.maintain: workers are looked after with each request")
        else:
            name, dot, what = key.removeprefix("worker.").rpartition(".")
            if not dot:
                into.add_omission(file, number, f"{key}: no worker or no property is named")
            else:
                sections.setdefault(name, Section(name)).values[what] = (value, number)
    return listed, sections


def _lines(text: str) -> list[tuple[int, str]]:
    """Return lines that say something, joined where one ends in a backslash, with the first one's number."""
    found: list[tuple[int, str]] = []
    held, since = "", 0
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not held and (not line or line[0] in "#!"):
            continue
        since = since or number
        if line.endswith("\\"):
            held += line[:-1]
            continue
        found.append((since, held + line))
        held, since = "", 0
    return [*found, (since, held)] if held else found


def _is_template(name: str, sections: dict[str, Section]) -> bool:
    return any(
        section.values.get("reference", ("", 0))[0] == f"worker.{name}" for section in sections.values()
    )


def _resolved(section: Section, sections: dict[str, Section], file: str, into: Imported) -> Section:
    """Return a worker with what it takes over by reference; what it says itself goes first."""
    made, at, seen = dict(section.values), section, {section.name}
    while "reference" in at.values:
        value, line = at.values["reference"]
        name = value.removeprefix("worker.")
        if name not in sections or name in seen or len(seen) > MOST_REFERENCES:
            into.add_omission(file, line, f"worker {section.name}: the reference {value} leads nowhere")
            break
        seen.add(name)
        at = sections[name]
        made = {**at.values, **made}
    made.pop("reference", None)
    return Section(section.name, made)


def _worker(section: Section, file: str, into: Imported) -> dict[str, Value]:
    made: dict[str, Value] = {"name": section.name}
    for what, (value, line) in section.values.items():
        if what not in WORKER:
            into.add_omission(file, line, f"worker {section.name}: {what} has no counterpart")
            continue
        key, convert = WORKER[what]
        try:
            read_as = convert(value)
        except (ValueError, KeyError):
            into.add_omission(
                file, line, f"worker {section.name}: {what}={value} is no value that can be read"
            )
            continue
        if read_as == 0 and key in ZERO_MEANS_DEFAULT:
            into.add_omission(
                file, line, f"worker {section.name}: {what}=0 means no limit; the default stands"
            )
        else:
            made[key] = read_as
    return made


def _balancer(section: Section, sections: dict[str, Section], file: str, into: Imported) -> None:
    made: dict[str, Value] = {"name": section.name, "members": [], "sticky": True}
    for what, (value, line) in section.values.items():
        if what in ("balance_workers", "balanced_workers"):
            for name in (name for name in re.split(r"[,\s]+", value) if name):
                if name not in sections:
                    into.add_omission(
                        file, line, f"balancer {section.name}: nothing describes its worker {name}"
                    )
                    continue
                member = _resolved(sections[name], sections, file, into)
                kind, at = member.values.pop("type", ("ajp13", line))
                if kind not in AJP_TYPES:
                    into.add_omission(file, at, f"worker {name}: the type {kind} has no counterpart")
                    continue
                if name not in into.workers:
                    into.workers[name] = _worker(member, file, into)
                made["members"].append(name)
        elif what == "sticky_session":
            made["sticky"] = value.lower() in TRUE
        elif what == "method" and value[:1].lower() in METHODS:
            made["method"] = METHODS[value[:1].lower()]
        else:
            into.add_omission(file, line, f"balancer {section.name}: {what}={value} has no counterpart")
    if made["members"]:
        into.balancers[section.name] = made
    else:
        into.add_omission(
            file,
            min(line for _, line in section.values.values()),
            f"balancer {section.name} has no worker that could be carried over",
        )
