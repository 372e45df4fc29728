"""JSON answers, counter names, configuration errors and imported files, compared with recorded ones."""

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


def request_answer(address: Address, method: str, path: str, value: Any, token: str = scenario.TOKEN) -> Any:
    """Send a request; return its answer's status, header names and key tree (of an error the whole body)."""
    connection = http.client.HTTPConnection(*address, timeout=15)
    connection.request(
        method, path, None if value is None else json.dumps(value), {"Authorization": f"Bearer {token}"}
    )
    response = connection.getresponse()
    body = response.read()
    connection.close()
    decoded = json.loads(body) if body else None
    tree = decoded if isinstance(decoded, dict) and "error" in decoded else key_tree(decoded)
    return [response.status, sorted(name.lower() for name, _ in response.getheaders()), tree]


def platform_answers() -> dict[str, Any]:
    """Return the answers of a node that has a platform's configuration and an operator's file."""
    with tempfile.TemporaryDirectory() as folder, scenario.scenario_environment(folder, {}) as environment:
        node_under_test = environment["node"]
        assert wait_until(lambda: node_under_test.node.parts.runtime.up)
        places = environment["places"]
        answers_by_call = {
            f"second address: {method} {path}": request_answer(places["operator"], method, path, None)
            for method, path in OPERATOR_ANSWERS
        }
        for number, (method, path, value) in enumerate(CALLS):
            answers_by_call[f"{number}: {method} {path}"] = request_answer(
                places["admin"], method, path, value
            )
        answers_by_call["without a token"] = request_answer(
            places["admin"], "GET", "/v1/status", None, "none"
        )
        return answers_by_call


def replicated_answers() -> dict[str, Any]:
    """Return the answers of a node with a replicated table of tenants, in a fleet of one member."""
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
            address = node.parts.admin.address
            assert wait_until(
                lambda: request_answer(address, "POST", "/v1/tenants?dry_run=true", TENANT)[0] == 200
            )
            return {
                f"{number}: {method} {path}": request_answer(address, method, path, value)
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


def all_answers() -> Any:
    """Return the answers of both nodes."""
    return as_json({"platform": platform_answers(), "replicated": replicated_answers()})


def sources_without(*packages: str) -> list[Path]:
    """Return the files of the program outside some of its packages, wherever the checkout lies."""
    program = ROOT / "reelusher"
    return [path for path in program.rglob("*.py") if path.relative_to(program).parts[0] not in packages]


def counter_names() -> list[str]:
    """Return the counter names in the program's source, without its `lab`, as "METHOD: NAME".

    METHOD is the method that the name is passed to. Of a name built from parts, each constant part is listed.
    The names must not change, since scripts read the counters by name.
    """
    names = set()
    for path in sources_without("lab"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args):
                continue
            position = {"add": 0, "warn": 0, "add_for": 1, "must": 1}.get(node.func.attr)
            if position is None or position >= len(node.args):
                continue
            names |= {
                (node.func.attr, constant.value)
                for constant in ast.walk(node.args[position])
                if isinstance(constant, ast.Constant) and isinstance(constant.value, str)
            }
    return sorted(f"{method}: {name}" for method, name in names)


def reason_phrases() -> list[list[Any]]:
    """Return the reason phrases in the program's tables of status codes for HTTP and AJP."""
    phrases = []
    for path in sources_without("lab", "admin"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Dict):
                continue
            pairs = [
                [key.value, value.value]
                for key, value in zip(node.keys, node.values, strict=True)
                if isinstance(key, ast.Constant) and isinstance(value, ast.Constant)
            ]
            if pairs and all(isinstance(key, int) and 100 <= key < 600 for key, _ in pairs):
                phrases += [pair for pair in pairs if isinstance(pair[1], str)]
    return sorted(phrases)


def configuration_errors() -> dict[str, str]:
    """Return the error of each invalid configuration in the parameters of test_parts."""
    errors = {}
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
                errors[f"{test.__name__}: {path} = {value!r}"] = str(error)
    return errors


def imported() -> dict[str, Any]:
    """Return status and output of the importer for the sample files of test_parts."""
    outcomes = {}
    with tempfile.TemporaryDirectory() as folder:
        for option, text in (("--workers", samples.WORKERS), ("--httpd", samples.HTTPD)):
            path = Path(folder) / "file"
            path.write_text(text)
            out, err = io.StringIO(), io.StringIO()
            with redirect_stdout(out), redirect_stderr(err):
                status = run_importer([option, str(path), "--strict"])
            outcomes[option] = {
                "status": status,
                "out": out.getvalue().splitlines(),
                "err": err.getvalue().replace(str(path), "FILE").splitlines(),
            }
    return outcomes


def test_answers_have_the_recorded_reason_phrases() -> None:
    assert reason_phrases() == load(REASONS)


def test_the_openapi_document_is_the_recorded_one() -> None:
    assert as_json(openapi.document()) == load(OPENAPI)


def test_answers_have_the_recorded_keys() -> None:
    recorded = load(ANSWERS)
    for section, current in all_answers().items():
        assert current.keys() == recorded[section].keys()
        for call, response in current.items():
            assert response == recorded[section][call], f"{section}: {call}"


def test_counters_have_the_recorded_names() -> None:
    assert counter_names() == load(COUNTERS)


def test_faults_of_configuration_are_named_as_recorded() -> None:
    assert configuration_errors() == load(ERRORS)


def test_the_importer_writes_what_was_recorded() -> None:
    assert imported() == load(IMPORTED)
