"""Imports the workers.properties of mod_jk."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from reelusher.importer.model import Imported

MACRO = re.compile(r"\$\(([^)]*)\)")
MAX_REFERENCES = 20  # length of a chain of `reference` properties
AJP_TYPES = ("ajp13", "ajp14")
ACTIVATIONS = {"a": "active", "d": "disabled", "s": "stopped"}  # by first letter of `activation`
METHODS = {"r": "requests", "b": "busyness"}  # balancing methods by first letter of `method`
TRUE_VALUES = ("1", "true", "t", "on", "yes", "y")
Value = Any


def _activation(text: str) -> Value:
    return ACTIVATIONS[text[:1].lower()]


def _seconds_to_ms(text: str) -> Value:
    return int(text) * 1000


# for each property of mod_jk, the key of a worker in an operator's file and the conversion of the value
WORKER_PROPERTIES: dict[str, tuple[str, Callable[[str], Value]]] = {
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
    "recover_time": ("recover_ms", _seconds_to_ms),
}
# keys that are left out, with an omission, if the value is 0, which means no limit in mod_jk
ZERO_MEANS_DEFAULT = frozenset({"reply_timeout_ms", "connect_timeout_ms", "connections"})


@dataclass(slots=True)
class Section:
    """The properties of one worker, each with its value and the number of its line."""

    name: str
    values: dict[str, tuple[str, int]] = field(default_factory=dict)


def read(text: str, file: str, imported: Imported) -> None:
    """Add a workers.properties to the result of an import; `file` is its name in omissions."""
    listed, sections = _sections(text, file, imported)
    if not listed:
        imported.add_omission(file, 1, "worker.list names no worker")
    listed_names = [name for name, _ in listed]
    imported.listed_backends += [(name, file, line) for name, line in listed]
    for name, line in listed:
        if name not in sections:
            imported.add_omission(file, line, f"worker.list names {name}, which nothing describes")
            continue
        section = _resolve_references(sections[name], sections, file, imported)
        kind = section.values.pop("type", ("ajp13", line))
        if kind[0] in AJP_TYPES:
            imported.workers[name] = _worker(section, file, imported)
        elif kind[0] == "lb":
            _balancer(section, sections, file, imported)
        else:
            imported.add_omission(file, kind[1], f"worker {name}: the type {kind[0]} has no counterpart")
    used = {member for balancer in imported.balancers.values() for member in balancer["members"]}
    for name, section in sections.items():
        if name not in used and name not in listed_names and not _is_template(name, sections):
            line = min(line for _, line in section.values.values())
            imported.add_omission(file, line, f"worker {name} is neither in worker.list nor in a balancer")


def _sections(text: str, file: str, imported: Imported) -> tuple[list[tuple[str, int]], dict[str, Section]]:
    """Return the names of `worker.list` with their lines, and the section of each worker by name."""
    macros: dict[str, str] = {}
    listed: list[tuple[str, int]] = []
    sections: dict[str, Section] = {}
    for number, line in _lines(text):
        key, equals, value = line.partition("=")
        key, value = key.strip(), MACRO.sub(lambda m: macros.get(m.group(1), m.group(0)), value.strip())
        if not equals:
            imported.add_omission(file, number, "not of the form KEY=VALUE")
        elif not key.startswith("worker."):
            macros[key] = value
        elif key == "worker.list":
            listed += [(name, number) for name in re.split(r"[,\s]+", value) if name]
        elif key == "worker.maintain":
            imported.add_omission(file, number, "worker.maintain: workers are looked after with each request")
        else:
            name, dot, property_name = key.removeprefix("worker.").rpartition(".")
            if not dot:
                imported.add_omission(file, number, f"{key}: no worker or no property is named")
            else:
                sections.setdefault(name, Section(name)).values[property_name] = (value, number)
    return listed, sections


def _lines(text: str) -> list[tuple[int, str]]:
    """Return the lines with a property and their numbers; a line that ends in a backslash is continued.

    A line that was joined from several has the number of the first.
    """
    lines: list[tuple[int, str]] = []
    joined, first_number = "", 0
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not joined and (not line or line[0] in "#!"):
            continue
        first_number = first_number or number
        if line.endswith("\\"):
            joined += line[:-1]
            continue
        lines.append((first_number, joined + line))
        joined, first_number = "", 0
    return [*lines, (first_number, joined)] if joined else lines


def _is_template(name: str, sections: dict[str, Section]) -> bool:
    """Return whether another worker takes properties from this one by reference."""
    return any(
        section.values.get("reference", ("", 0))[0] == f"worker.{name}" for section in sections.values()
    )


def _resolve_references(
    section: Section, sections: dict[str, Section], file: str, imported: Imported
) -> Section:
    """Return a worker with the properties that it takes from others by reference; its own have precedence."""
    values, current, seen = dict(section.values), section, {section.name}
    while "reference" in current.values:
        value, line = current.values["reference"]
        name = value.removeprefix("worker.")
        if name not in sections or name in seen or len(seen) > MAX_REFERENCES:
            imported.add_omission(file, line, f"worker {section.name}: the reference {value} leads nowhere")
            break
        seen.add(name)
        current = sections[name]
        values = {**current.values, **values}
    values.pop("reference", None)
    return Section(section.name, values)


def _worker(section: Section, file: str, imported: Imported) -> dict[str, Value]:
    worker: dict[str, Value] = {"name": section.name}
    for property_name, (value, line) in section.values.items():
        if property_name not in WORKER_PROPERTIES:
            imported.add_omission(file, line, f"worker {section.name}: {property_name} has no counterpart")
            continue
        key, convert = WORKER_PROPERTIES[property_name]
        try:
            converted = convert(value)
        except (ValueError, KeyError):
            imported.add_omission(
                file, line, f"worker {section.name}: {property_name}={value} is no value that can be read"
            )
            continue
        if converted == 0 and key in ZERO_MEANS_DEFAULT:
            imported.add_omission(
                file, line, f"worker {section.name}: {property_name}=0 means no limit; the default stands"
            )
        else:
            worker[key] = converted
    return worker


def _balancer(section: Section, sections: dict[str, Section], file: str, imported: Imported) -> None:
    balancer: dict[str, Value] = {"name": section.name, "members": [], "sticky": True}
    for property_name, (value, line) in section.values.items():
        if property_name in ("balance_workers", "balanced_workers"):
            for name in (name for name in re.split(r"[,\s]+", value) if name):
                if name not in sections:
                    imported.add_omission(
                        file, line, f"balancer {section.name}: nothing describes its worker {name}"
                    )
                    continue
                member = _resolve_references(sections[name], sections, file, imported)
                kind, kind_line = member.values.pop("type", ("ajp13", line))
                if kind not in AJP_TYPES:
                    imported.add_omission(
                        file, kind_line, f"worker {name}: the type {kind} has no counterpart"
                    )
                    continue
                if name not in imported.workers:
                    imported.workers[name] = _worker(member, file, imported)
                balancer["members"].append(name)
        elif property_name == "sticky_session":
            balancer["sticky"] = value.lower() in TRUE_VALUES
        elif property_name == "method" and value[:1].lower() in METHODS:
            balancer["method"] = METHODS[value[:1].lower()]
        else:
            imported.add_omission(
                file, line, f"balancer {section.name}: {property_name}={value} has no counterpart"
            )
    if balancer["members"]:
        imported.balancers[section.name] = balancer
    else:
        imported.add_omission(
            file,
            min(line for _, line in section.values.values()),
            f"balancer {section.name} has no worker that could be carried over",
        )
