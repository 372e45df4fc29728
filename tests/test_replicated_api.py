"""The replicated table over the administration API of several nodes, each a whole one, on loopback."""

import http.client
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from helpers import soon
from scenario import TOKEN

from reelusher.admin.replicated_api import ReplicatedTenantApi
from reelusher.config.load import merge
from reelusher.config.operator import parse
from reelusher.fleet.replication.messages import ChangeReply, ChangeRequest
from reelusher.fleet.replication.streams import stream_of
from reelusher.fronts.ajp import AjpFront
from reelusher.server import Node

CONTROL = ["c1", "c2"]
C1, C2 = ([name for number in range(60) if stream_of(name := f"t{number}", CONTROL) == stream]
          for stream in CONTROL)


def config(folder: Path, name: str, seeds: list[str], **changes: Any) -> dict[str, Any]:
    """Return an operator's file of a node that has a copy of the table."""
    made = {
        "node": {"name": name}, "ajp": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0", "token": TOKEN},
        "fleet": {"listen": "127.0.0.1:0", "secret_file": str(folder / "secret"), "seeds": seeds},
        "replication": {"copy": str(folder / f"{name}.db"), "control": CONTROL},
        "classes": [{"name": "day-view", "deadline_ms": 5000}], "workers": [{"name": "w1"}, {"name": "w2"}]}
    return made | changes


class Nodes:
    """Nodes by name. Each joins through the first."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.all = folder, dict[str, Node]()
        (folder / "secret").write_text("a secret of sixteen or more")

    def start(self, *names: str, **changes: Any) -> None:
        for name in names:
            seeds = ["{}:{}".format(*node.fleet.address) for node in self.all.values() if node.fleet][:1]
            node = self.all[name] = Node(merge(None, parse(config(self.folder, name, seeds, **changes))))
            node.start()
        assert soon(lambda: all(len(node.fleet.live()) == len(self.all)
                                for node in self.all.values() if node.fleet))

    def stop(self, name: str) -> None:
        self.all.pop(name).close()

    def call(self, at: str, method: str, path: str, value: Any = None, **headers: str
             ) -> tuple[int, Any, dict[str, str]]:
        """Call a node's administration API; return status, body and headers (names in lower case)."""
        admin = self.all[at].admin
        assert admin is not None
        line = http.client.HTTPConnection(*admin.address, timeout=15)
        line.request(method, path, None if value is None else json.dumps(value), {
            "Authorization": f"Bearer {TOKEN}",
            **{name.replace("_", "-"): text for name, text in headers.items()}})
        answer = line.getresponse()
        body = answer.read()
        line.close()
        return answer.status, json.loads(body) if body else None, {
            name.lower(): text for name, text in answer.getheaders()}

    def positions(self, at: str) -> list[int]:
        """Return how far a node is in each stream."""
        calls = self.all[at].admin._parts.calls  # type: ignore[union-attr]
        assert isinstance(calls, ReplicatedTenantApi)
        return calls._replicated.replica.announce()

    def follows(self, first: str, second: str) -> bool:
        """Wait until two nodes are equally far."""
        return soon(lambda: self.positions(first) == self.positions(second))

    def serves(self, at: str, name: str) -> bool:
        """Tell whether a node serves a tenant."""
        front = self.all[at].fronts["ajp"]
        assert isinstance(front, AjpFront)
        found = front._tenants.match("GET", f"{name}.example", "/")
        return found is not None and found.admitted and found.tenant.name == name


def tenant(name: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "backend": "w1", "hosts": [f"{name}.example"], "default_class": "day-view"} | more


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[Nodes]:
    made = Nodes(tmp_path)
    yield made
    for name in list(made.all):
        made.stop(name)


@pytest.fixture(scope="module")
def pair(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Nodes]:
    """Two nodes with a tenant of either's that has a guarantee; nothing is to be changed there."""
    made = Nodes(tmp_path_factory.mktemp("pair"))
    made.start("c1", "c2")
    for name, part in ((C1[0], 0.1), (C2[1], 0.2)):
        assert made.call("c2", "POST", "/v1/tenants", tenant(name, share={"guarantee": part}))[0] == 201
    assert made.follows("c2", "c1")
    yield made
    for name in list(made.all):
        made.stop(name)


# Changes


def test_a_change_that_another_node_holds_is_sent_on_and_its_answer_given_back(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    status, value, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]))
    assert (status, value["name"], value["state"], headers["etag"]) == (201, C2[0], "active", '"9.1"')
    assert soon(lambda: nodes.serves("c2", C2[0]))
    path = f"/v1/tenants/{C2[0]}"
    assert nodes.call("c2", "GET", path)[2]["etag"] == '"9.1"'
    assert nodes.call("c1", "PATCH", path, {"max_open": 7}, If_Match='"9.7"')[0] == 412
    status, value, headers = nodes.call("c1", "PATCH", path, {"max_open": 7}, If_Match='"9.1"')
    assert (status, value["max_open"], headers["etag"]) == (200, 7, '"9.2"')
    status, value, headers = nodes.call("c1", "PUT", path, {"backend": "w2"})
    assert (status, value["backend"], value["max_open"], headers["etag"]) == (200, "w2", 0, '"9.3"')
    assert nodes.call("c1", "POST", path + "/suspend")[1]["state"] == "suspended"
    assert nodes.call("c1", "POST", path + "/resume")[1]["state"] == "active"
    assert nodes.call("c1", "DELETE", path)[0] == 204
    assert nodes.call("c1", "DELETE", path)[0] == 404
    assert nodes.call("c2", "GET", path)[0] == 404
    assert soon(lambda: not nodes.serves("c2", C2[0]))
    trail = nodes.call("c2", "GET", "/v1/audit")[1]["changes"]
    assert [one["tenant"] for one in trail] == [C2[0]] * 6 and {one["who"] for one in trail} == {"operator"}
    assert trail[1]["before"]["max_open"] == 0 and trail[1]["after"]["max_open"] == 7
    assert trail[-1]["after"] is None


@pytest.mark.parametrize(("value", "status", "named"), [
    (tenant(C2[0], backend="w9"), 400, "backend"), (tenant(C2[0], bogus=1), 400, "bogus"),
    (tenant(C2[0], prefix="x"), 400, "prefix"), ({"name": C2[0]}, 400, "backend"),
    (tenant("a b"), 400, "name"), ({"backend": "w1"}, 400, "name"), ([], 400, "the whole"),
    (tenant(C2[0], share={"guarantee": 0.8}), 400, "share.guarantee"),
    (tenant(C2[0], hosts=["h" * 60_000]), 400, C2[0]), (tenant(C2[1]), 409, "name")])
def test_a_wrong_row_is_refused_with_its_key_and_numbered_nowhere(
        pair: Nodes, value: Any, status: int, named: str) -> None:
    before = pair.positions("c1"), pair.positions("c2")
    for at in ("c1", "c2"):
        answer = pair.call(at, "POST", "/v1/tenants", value)
        assert (answer[0], answer[1].get("field")) == (status, named)
    assert (pair.positions("c1"), pair.positions("c2")) == before


def test_a_dry_run_tells_what_would_change_and_changes_nothing(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    status, value, _ = nodes.call("c1", "POST", "/v1/tenants?dry_run=true", tenant(C2[0]))
    assert (status, value["before"], value["after"]["name"]) == (200, None, C2[0])
    nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]))
    path = f"/v1/tenants/{C2[0]}"
    value = nodes.call("c1", "PATCH", path + "?dry_run=true", {"max_open": 7})[1]
    assert (value["before"]["max_open"], value["after"]["max_open"]) == (0, 7)
    assert nodes.call("c1", "POST", path + "/suspend?dry_run=true")[1]["after"]["state"] == "suspended"
    assert nodes.call("c1", "DELETE", path + "?dry_run=true")[1]["after"] is None
    assert nodes.call("c1", "DELETE", path + "?dry_run=maybe")[0] == 400
    assert nodes.call("c2", "GET", path)[2]["etag"] == '"9.1"'


def test_a_key_makes_one_tenant_whichever_node_is_called(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    for at, again in (("c1", None), ("c2", "true"), ("c1", "true")):
        status, value, headers = nodes.call(at, "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")
        assert (status, value["name"], headers["etag"]) == (201, C2[0], '"9.1"')
        assert headers.get("idempotent-replayed") == again
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k2")[0] == 409
    for at in ("c1", "c2"):
        answer = nodes.call(at, "POST", "/v1/tenants", tenant(C2[1]), Idempotency_Key="k1")
        assert (answer[0], answer[1]["field"]) == (422, "Idempotency-Key")
    assert nodes.follows("c2", "c1")  # of another stream: its holder knows once it has a copy
    assert nodes.call("c2", "POST", "/v1/tenants", tenant(C1[0]), Idempotency_Key="k1")[0] == 422
    assert nodes.call("c1", "PATCH", f"/v1/tenants/{C2[0]}", {"max_open": 7})[0] == 200
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")[0] == 201
    nodes.call("c1", "DELETE", f"/v1/tenants/{C2[0]}")
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")[0] == 409


# Members that are away


def test_while_its_holder_is_away_a_change_is_refused_and_all_else_answered(nodes: Nodes) -> None:
    nodes.start("c1")
    status, value, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]))
    assert status == 503 and "c2" in value["error"] and 2 <= int(headers["retry-after"]) <= 6
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C1[0]))[0] == 201
    assert nodes.call("c1", "GET", "/v1/tenants")[1]["tenants"] == [
        nodes.call("c1", "GET", f"/v1/tenants/{C1[0]}")[1]]
    nodes.start("c2")
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]))[0] == 201
    nodes.stop("c2")  # not known to be dead yet
    status, value, headers = nodes.call("c1", "PATCH", f"/v1/tenants/{C2[0]}", {"max_open": 7})
    assert status == 503 and "retry-after" in headers


def test_a_change_whose_answer_is_lost_may_have_been_made_and_that_is_told(
        nodes: Nodes, monkeypatch: pytest.MonkeyPatch) -> None:
    nodes.start("c1", "c2")
    holder = nodes.all["c2"].fleet
    assert holder is not None
    carried = holder.serve[ChangeRequest]

    def lost(request: ChangeRequest) -> None:
        carried(request)

    holder.serve[ChangeRequest] = lost
    status, value, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")
    assert status == 504 and "may have been made" in value["error"] and "retry-after" not in headers
    holder.serve[ChangeRequest] = carried
    status, _, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")
    assert (status, headers["idempotent-replayed"]) == (201, "true")


def test_a_member_that_does_not_hold_a_stream_makes_no_change_that_is_carried_to_it(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    fleet = nodes.all["c1"].fleet
    assert fleet is not None
    place = next(member.place for member in fleet.live() if member.name == "c2")
    for target, status in (("/v1/tenants", 503), ("/v1/drain", 404), ("/v1/tenants/x/y/z", 404)):
        request = ChangeRequest("x", "POST", target, {}, json.dumps(tenant(C1[0])).encode(), "x")
        assert fleet.ask_once(place, request, ChangeReply).status == status
    request = ChangeRequest("x", "POST", "/v1/tenants", {}, b"{", "x")
    assert fleet.ask_once(place, request, ChangeReply).status == 400
