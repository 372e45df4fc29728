"""What people and scripts read: JSON answers, counters, configuration errors, imported files."""

import ast
import http.client
import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from typing import Any

import scenario
import test_parts as samples
from helpers import wait_until

from golden.recordings import as_json, key_tree, load
from reelusher.admin import openapi
from reelusher.config import ConfigError
from reelusher.config.load import merge
from reelusher.config.operator.file import parse as parse_operator
from reelusher.config.platform_config import parse as parse_platform
from reelusher.importer.__main__ import main as run_importer
from reelusher.net.sockets import Address
from reelusher.node import Node

ROOT = Path(__file__).parent.parent.parent
OPENAPI, ANSWERS, COUNTERS, ERRORS, IMPORTED, REASONS = (
    "openapi.json",
    "answers.json",
    "counters.json",
    "configuration_errors.json",
    "imported.json",
    "reason_phrases.json",
)
OPERATOR_ANSWERS = (
    ("GET", "/healthcheck"),
    ("GET", "/stats"),
    ("POST", "/healthcheck/fail"),
    ("POST", "/healthcheck/ok"),
    ("GET", "/none"),
    ("POST", "/stats"),
)
TENANT = {
    "name": "new",
    "backend": "w1",
    "hosts": ["new"],
    "routes": scenario.ROUTES,
    "share": {"weight": 2, "classes": {"day-view": 1}},
}
CALLS: tuple[tuple[str, str, Any], ...] = (
    ("GET", "/v1/status", None),
    ("GET", "/v1/workers", None),
    ("GET", "/v1/workers/w1", None),
    ("GET", "/v1/tenants", None),
    ("GET", "/v1/tenants/clinic", None),
    ("POST", "/v1/tenants?dry_run=true", TENANT),
    ("POST", "/v1/tenants", TENANT),
    ("PATCH", "/v1/tenants/new", {"prefix": "/p"}),
    ("PUT", "/v1/tenants/new?dry_run=1", TENANT),
    ("POST", "/v1/tenants/new/suspend", None),
    ("GET", "/v1/tenants/new/usage", None),
    ("DELETE", "/v1/tenants/new", None),
    ("GET", "/v1/audit", None),
    ("GET", "/v1/fleet", None),
    ("GET", "/v1/fleet/changes", None),
    ("GET", "/v1/none", None),
    ("PUT", "/v1/workers/w1", {"activation": "disabled"}),
    ("PUT", "/v1/workers/w1", {"activation": "odd"}),
    ("POST", "/v1/tenants", {"name": "x y"}),
    ("POST", "/v1/drain", None),
    ("POST", "/v1/drain", None),
)


def answer(place: Address, method: str, path: str, value: Any, token: str = scenario.TOKEN) -> Any:
    """Return status, names of headers and key tree of an answer; an error's text as a whole."""
    line = http.client.HTTPConnection(*place, timeout=15)
    line.request(
        method, path, None if value is None else json.dumps(value), {"Authorization": f"Bearer {token}"}
    )
    got = line.getresponse()
    body = got.read()
    line.close()
    shown = json.loads(body) if body else None
    tree = shown if isinstance(shown, dict) and "error" in shown else key_tree(shown)
    return [got.status, sorted(name.lower() for name, _ in got.getheaders()), tree]


def platform_answers() -> dict[str, Any]:
    """Return the answers of a node of the platform with an operator's file of its own."""
    with tempfile.TemporaryDirectory() as folder, scenario.scenario_environment(folder, {}) as world:
        party = world["node"]
        assert wait_until(lambda: party.node.parts.runtime.up)
        places = world["places"]
        made = {
            f"second address: {method} {path}": answer(places["operator"], method, path, None)
            for method, path in OPERATOR_ANSWERS
        }
        for number, (method, path, value) in enumerate(CALLS):
            made[f"{number}: {method} {path}"] = answer(places["admin"], method, path, value)
        made["without a token"] = answer(places["admin"], "GET", "/v1/status", None, "none")
        return made


def replicated_answers() -> dict[str, Any]:
    """Return the answers of a node with a replicated table, in a fleet of one."""
    with tempfile.TemporaryDirectory() as folder:
        secret = Path(folder) / "secret"
        secret.write_text("a secret of sixteen or more")
        node = Node(
            merge(
                None,
                parse_operator(
                    {
                        "node": {"name": "c1"},
                        "ajp": {"listen": "127.0.0.1:0"},
                        "admin": {"listen": "127.0.0.1:0", "token": scenario.TOKEN},
                        "fleet": {"listen": "127.0.0.1:0", "secret_file": str(secret), "seeds": []},
                        "replication": {"copy": str(Path(folder) / "t.db"), "control": ["c1"]},
                        "classes": [
                            {"name": "book-visit", "deadline_ms": 5000},
                            {"name": "day-view", "deadline_ms": 5000},
                        ],
                        "workers": [{"name": "w1"}],
                    }
                ),
            )
        )
        node.start()
        try:
            assert node.parts.admin is not None
            place = node.parts.admin.address
            assert wait_until(lambda: answer(place, "POST", "/v1/tenants?dry_run=true", TENANT)[0] == 200)
            return {
                f"{number}: {method} {path}": answer(place, method, path, value)
                for number, (method, path, value) in enumerate(
                    (
                        ("POST", "/v1/tenants", TENANT),
                        ("GET", "/v1/tenants", None),
                        ("GET", "/v1/tenants/new", None),
                        ("PATCH", "/v1/tenants/new?dry_run=true", {"prefix": "/p"}),
                        ("PATCH", "/v1/tenants/new", {"prefix": "/p"}),
                        ("GET", "/v1/tenants/new?copies=1", None),
                        ("GET", "/v1/tenants/new/usage", None),
                        ("GET", "/v1/audit", None),
                        ("GET", "/v1/fleet", None),
                        ("GET", "/v1/fleet/changes", None),
                        ("GET", "/v1/status", None),
                        ("POST", "/v1/fleet/take-over/c1", None),
                        ("POST", "/v1/fleet/forget/c9", None),
                        ("DELETE", "/v1/tenants/new", None),
                    )
                )
            }
        finally:
            node.close()


def answers() -> Any:
    """Return all answers."""
    return as_json({"platform": platform_answers(), "replicated": replicated_answers()})


def counter_names() -> list[str]:
    """Return the constant names, and parts of names, by which the program counts: scripts ask for them."""
    found = set()
    for path in (ROOT / "reelusher").rglob("*.py"):
        if "lab" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args):
                continue
            place = {"add": 0, "warn": 0, "add_for": 1, "must": 1}.get(node.func.attr)
            if place is None or place >= len(node.args):
                continue
            found |= {
                (node.func.attr, part.value)
                for part in ast.walk(node.args[place])
                if isinstance(part, ast.Constant) and isinstance(part.value, str)
            }
    return sorted(f"{how}: {name}" for how, name in found)


def reason_phrases() -> list[list[Any]]:
    """Return the reason phrases of the tables by which the program answers HTTP and AJP requests."""
    found = []
    for path in (ROOT / "reelusher").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Dict) or "lab" in path.parts or "admin" in path.parts:
                continue
            pairs = [
                [key.value, value.value]
                for key, value in zip(node.keys, node.values, strict=True)
                if isinstance(key, ast.Constant) and isinstance(value, ast.Constant)
            ]
            if pairs and all(isinstance(key, int) and 100 <= key < 600 for key, _ in pairs):
                found += [pair for pair in pairs if isinstance(pair[1], str)]
    return sorted(found)


def configuration_errors() -> dict[str, str]:
    """Return the error of each faulty configuration that the tests of the parts have."""
    made = {}
    for test, table, parse in (
        (
            samples.test_a_fault_in_the_platforms_configuration_is_named,
            samples.PLATFORM,
            lambda value: parse_platform(value, {}),
        ),
        (samples.test_a_fault_in_the_operators_file_is_named, samples.OPERATOR, parse_operator),
        (
            samples.test_a_fault_in_the_replication_of_an_operators_file_is_named,
            samples.REPLICATED,
            parse_operator,
        ),
    ):
        (mark,) = test.pytestmark
        for path, value, _ in mark.args[1]:
            try:
                parse(samples.with_change(table, path, value))
            except ConfigError as error:
                made[f"{test.__name__}: {path} = {value!r}"] = str(error)
    return made


def imported() -> dict[str, Any]:
    """Return what the importer makes of the sample files."""
    made = {}
    with tempfile.TemporaryDirectory() as folder:
        for option, text in (("--workers", samples.WORKERS), ("--httpd", samples.HTTPD)):
            path = Path(folder) / "file"
            path.write_text(text)
            out, err = io.StringIO(), io.StringIO()
            with redirect_stdout(out), redirect_stderr(err):
                status = run_importer([option, str(path), "--strict"])
            made[option] = {
                "status": status,
                "out": out.getvalue().splitlines(),
                "err": err.getvalue().replace(str(path), "FILE").splitlines(),
            }
    return made


def test_answers_have_the_recorded_reason_phrases() -> None:
    assert reason_phrases() == load(REASONS)


def test_the_openapi_document_is_the_recorded_one() -> None:
    assert as_json(openapi.document()) == load(OPENAPI)


def test_answers_have_the_recorded_keys() -> None:
    recorded = load(ANSWERS)
    for which, made in answers().items():
        assert made.keys() == recorded[which].keys()
        for call, got in made.items():
            assert got == recorded[which][call], f"{which}: {call}"


def test_counters_have_the_recorded_names() -> None:
    assert counter_names() == load(COUNTERS)


def test_faults_of_configuration_are_named_as_recorded() -> None:
    assert configuration_errors() == load(ERRORS)


def test_the_importer_writes_what_was_recorded() -> None:
    assert imported() == load(IMPORTED)
