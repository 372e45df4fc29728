"""Calls of the administration API that concern the replicated table, on complete nodes on loopback."""

import contextlib
import http.client
import json
import os
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import parties
import pytest
import tomli_w
from helpers import free_address, wait_until
from replicas import names_of
from scenario import SETTINGS, TOKEN

from reelusher.admin import fleet_client, replicated_api
from reelusher.assembly.descriptors import REPLICA_DESCRIPTORS
from reelusher.codecs import ajp13
from reelusher.config.checked_table import ConfigError, address_of
from reelusher.config.load import merge
from reelusher.config.operator.file import parse
from reelusher.fleet.replication import leadership, service
from reelusher.fleet.replication.messages import ChangeReply, ChangeRequest, LogEntry
from reelusher.fleet.replication.positions import partition_of
from reelusher.fleet.replication.replica import Replica
from reelusher.fleet.replication.replica_store import ReplicaError
from reelusher.fleet.replication.sqlite_replica import SqliteReplica
from reelusher.frontends.ajp.frontend import AjpFrontend
from reelusher.net.sockets import Address
from reelusher.node import Node
from reelusher.tenancy import replicated
from reelusher.tenancy.cached_registry import CachedTenantRegistry
from reelusher.tenancy.replicated import ReplicatedTable
from reelusher.tenancy.tenant_source import TenantUnavailableError

CONTROL = ["c1", "c2"]
C1, C2 = (names_of(partition, 10) for partition in CONTROL)  # tenants in the partitions of c1 and of c2
ROOT = Path(__file__).parent.parent.parent
ApiReply = tuple[int, Any, dict[str, str]]  # status, body, and headers by name in lower case


def config(folder: Path, name: str, seeds: list[str], **changes: Any) -> dict[str, Any]:
    """Return the operator's file of a node with a replica of the table, with some sections replaced."""
    operator_file = {
        "node": {"name": name},
        "ajp": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0", "token": TOKEN},
        "fleet": {"listen": "127.0.0.1:0", "secret_file": str(folder / "secret"), "seeds": seeds},
        "replication": {"copy": str(folder / f"{name}.db"), "control": CONTROL},
        "classes": [{"name": "day-view", "deadline_ms": 5000}],
        "workers": [{"name": "w1"}, {"name": "w2"}],
    }
    return operator_file | changes


def call_api(address: Address, method: str, path: str, value: Any = None, **headers: str) -> ApiReply:
    """Call an administration API; an underscore in a header's name stands for a hyphen."""
    connection = http.client.HTTPConnection(*address, timeout=15)
    connection.request(
        method,
        path,
        None if value is None else json.dumps(value),
        {
            "Authorization": f"Bearer {TOKEN}",
            **{name.replace("_", "-"): text for name, text in headers.items()},
        },
    )
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return (
        response.status,
        json.loads(body) if body else None,
        {name.lower(): text for name, text in response.getheaders()},
    )


REJECTED = "(rejected)"  # not a valid name of a tenant


class Nodes:
    """Nodes by name; the first one with a fleet is the seed of the others."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.all = folder, dict[str, Node]()
        (folder / "secret").write_text("a secret of sixteen or more")

    def start(self, *names: str, without: str = "", **changes: Any) -> None:
        """Start nodes, without one section of their files; wait until they have joined and can write."""
        for name in names:
            seeds = [
                "{}:{}".format(*node.parts.fleet.address) for node in self.all.values() if node.parts.fleet
            ][:1]
            operator_file = config(self.folder, name, seeds, **changes)
            operator_file.pop(without, None)
            node = self.all[name] = Node(merge(None, parse(operator_file)))
            node.start()
        assert wait_until(
            lambda: all(
                len(node.parts.fleet.live()) == len(self.all)
                for node in self.all.values()
                if node.parts.fleet
            )
        )
        assert wait_until(lambda: not any(self.write_refusal(at) for at in self.all if at in CONTROL))

    def stop(self, name: str) -> None:
        self.all.pop(name).close()

    def call(self, at: str, method: str, path: str, value: Any = None, **headers: str) -> ApiReply:
        """Call a node's administration API."""
        admin = self.all[at].parts.admin
        assert admin is not None
        return call_api(admin.address, method, path, value, **headers)

    def table(self, at: str) -> ReplicatedTable:
        admin = self.all[at].parts.admin
        assert admin is not None
        assert isinstance(admin._context.table, ReplicatedTable)
        return admin._context.table

    def replication(self, at: str) -> service.Replication:
        replication = self.all[at].parts.replication
        assert replication is not None
        return replication

    def replica(self, at: str) -> Replica:
        return self.replication(at).replica

    def guarantees(self) -> dict[str, float]:
        """Return the sum of the guarantees that each node knows."""
        sums = {}
        for name, node in self.all.items():
            tenants = node.parts.replicated_tenants
            assert isinstance(tenants, CachedTenantRegistry)
            sums[name] = round(tenants._source.guarantee_sum(), 9)
        return sums

    def write_refusal(self, at: str) -> str:
        """Return why a control member makes no changes at present; an empty string if it makes them."""
        leadership_of_node = self.replication(at).leadership
        return next(
            (
                reason
                for partition in leadership_of_node.replica.control
                if leadership_of_node.leads(partition)
                and (reason := leadership_of_node.write_refusal(partition))
            ),
            "",
        )

    def positions(self, at: str) -> list[int]:
        """Return the positions of a node in all partitions."""
        return self.replica(at).announce()

    def stop_pulls(self, at: str, stop: bool = True) -> None:
        """Stop the pulls of a node, or resume them."""
        replica = self.replica(at)
        if stop:
            replica.pulls.next_pull = lambda now: None  # type: ignore[method-assign]
        else:
            del replica.pulls.next_pull

    def catches_up(self, first: str, second: str) -> bool:
        """Return whether two nodes have the same positions within the time limit of `wait_until`."""
        return wait_until(lambda: self.positions(first) == self.positions(second))

    def tenant_of(self, at: str, host: str) -> str:
        """Return the name of the tenant to which a node assigns requests for a host.

        It is an empty string if there is no such tenant or it is not active, and `REJECTED` if the look-up
        raises `TenantUnavailableError`.
        """
        frontend = self.all[at].parts.frontends["ajp"]
        assert isinstance(frontend, AjpFrontend)
        try:
            with frontend._tenants.pinned_match("GET", host, "/") as match:
                return match.tenant.name if match is not None and match.admitted else ""
        except TenantUnavailableError:
            return REJECTED

    def serves(self, at: str, name: str) -> bool:
        """Return whether a node serves a tenant, which has a host of its own."""
        return self.tenant_of(at, f"{name}.example") == name


def tenant(name: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "backend": "w1", "hosts": [f"{name}.example"], "default_class": "day-view"} | more


@contextlib.contextmanager
def running_nodes(folder: Path) -> Iterator[Nodes]:
    """Return nodes with short intervals, so that they soon lead; stop them at the end."""
    nodes = Nodes(folder)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(leadership, "ALONE_SETTLE_S", 0.1)
        patch.setattr(service, "MAINTENANCE_INTERVAL_S", 0.05)
        yield nodes
        for name in list(nodes.all):
            nodes.stop(name)


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[Nodes]:
    with running_nodes(tmp_path) as running:
        yield running


@pytest.fixture(scope="module")
def pair(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Nodes]:
    """Return two nodes, each the leader of a partition with one tenant; tests must not change the tenants.

    Both tenants have a guarantee.
    """
    with running_nodes(tmp_path_factory.mktemp("pair")) as running:
        running.start("c1", "c2")
        for name, fraction in ((C1[0], 0.1), (C2[1], 0.2)):
            assert (
                running.call("c2", "POST", "/v1/tenants", tenant(name, share={"guarantee": fraction}))[0]
                == 201
            )
        assert running.catches_up("c2", "c1")
        # equal positions are not enough: a leader that started alone announces none of its changes at first
        assert wait_until(lambda: running.guarantees() == {"c1": 0.3, "c2": 0.3}), running.guarantees()
        yield running


# Changes


def test_change_is_forwarded_to_its_leader_and_the_reply_returned(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    status, value, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]))
    assert (status, value["name"], value["state"], headers["etag"]) == (201, C2[0], "active", '"9.1"')
    assert wait_until(lambda: nodes.serves("c2", C2[0]))
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
    assert wait_until(lambda: not nodes.serves("c2", C2[0]))
    changes = nodes.call("c2", "GET", "/v1/audit")[1]["changes"]
    assert [change["tenant"] for change in changes] == [C2[0]] * 6
    assert {change["who"] for change in changes} == {"operator"}
    assert changes[1]["before"]["max_open"] == 0
    assert changes[1]["after"]["max_open"] == 7
    assert changes[-1]["after"] is None


@pytest.mark.parametrize(
    ("value", "status", "field"),
    [
        (tenant(C2[0], backend="w9"), 400, "backend"),
        (tenant(C2[0], bogus=1), 400, "bogus"),
        (tenant(C2[0], prefix="x"), 400, "prefix"),
        ({"name": C2[0]}, 400, "backend"),
        (tenant("a b"), 400, "name"),
        ({"backend": "w1"}, 400, "name"),
        ([], 400, "the whole"),
        (tenant(C2[0], share={"guarantee": 0.8}), 400, "share.guarantee"),
        (tenant(C2[0], hosts=["h" * 60_000]), 400, C2[0]),
        (tenant(C2[0], prefix="/\ud800"), 400, C2[0]),
        (tenant(C2[1]), 409, "name"),
    ],
)
def test_invalid_tenant_is_rejected_with_its_field_and_gets_no_number(
    pair: Nodes, value: Any, status: int, field: str
) -> None:
    before = pair.positions("c1"), pair.positions("c2")
    for at in ("c1", "c2"):
        reply = pair.call(at, "POST", "/v1/tenants", value)
        assert (reply[0], reply[1].get("field")) == (status, field)
    assert (pair.positions("c1"), pair.positions("c2")) == before


def test_dry_run_shows_the_change_and_makes_none(nodes: Nodes) -> None:
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


def test_idempotency_key_creates_one_tenant_through_any_node(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    for at, replayed in (("c1", None), ("c2", "true"), ("c1", "true")):
        status, value, headers = nodes.call(at, "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")
        assert (status, value["name"], headers["etag"]) == (201, C2[0], '"9.1"')
        assert headers.get("idempotent-replayed") == replayed
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k2")[0] == 409
    for at in ("c1", "c2"):
        reply = nodes.call(at, "POST", "/v1/tenants", tenant(C2[1]), Idempotency_Key="k1")
        assert (reply[0], reply[1]["field"]) == (422, "Idempotency-Key")
    assert nodes.catches_up("c2", "c1")  # c1, the leader for C1[0], learns of the key by replication
    assert nodes.call("c2", "POST", "/v1/tenants", tenant(C1[0]), Idempotency_Key="k1")[0] == 422
    assert nodes.call("c1", "PATCH", f"/v1/tenants/{C2[0]}", {"max_open": 7})[0] == 200
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")[0] == 201
    nodes.call("c1", "DELETE", f"/v1/tenants/{C2[0]}")
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")[0] == 409


@pytest.mark.parametrize("at", ["c1", "c2"])
def test_change_is_answered_after_it_is_durable(nodes: Nodes, at: str) -> None:
    nodes.start("c1", "c2")
    replica, durable, apply_called = nodes.replica("c2"), threading.Event(), threading.Event()
    apply = replica.store.apply

    def slow_apply(*arguments: Any, **options: Any) -> list[str]:
        assert options["durable"]
        apply_called.set()
        durable.wait(10)
        return apply(*arguments, **options)

    replica.store.apply = slow_apply  # type: ignore[method-assign]
    replies: list[ApiReply] = []
    caller = threading.Thread(
        target=lambda: replies.append(nodes.call(at, "POST", "/v1/tenants", tenant(C2[0])))
    )
    caller.start()
    assert apply_called.wait(10)
    caller.join(0.3)
    assert not replies
    assert nodes.call("c2", "GET", f"/v1/tenants/{C2[0]}")[0] == 404
    durable.set()
    caller.join(10)
    assert replies[0][0] == 201


@pytest.mark.parametrize("at", ["c1", "c2"])
def test_change_that_the_disk_rejects_is_not_made_and_the_next_gets_its_number(nodes: Nodes, at: str) -> None:
    nodes.start("c1", "c2")
    replica = nodes.replica("c2")
    apply, before = replica.store.apply, nodes.positions("c2")

    def failing_apply(*arguments: Any, **options: Any) -> list[str]:
        raise ReplicaError("the disk is full")

    replica.store.apply = failing_apply  # type: ignore[method-assign]
    status, value, _ = nodes.call(at, "POST", "/v1/tenants", tenant(C2[0]))
    assert status == 507
    assert "the disk is full" in value["error"]
    assert nodes.positions("c2") == before
    replica.store.apply = apply  # type: ignore[method-assign]
    assert nodes.call(at, "POST", "/v1/tenants", tenant(C2[0]))[2]["etag"] == '"9.1"'


@pytest.mark.parametrize("at", ["c1", "c2"])
def test_member_with_an_unreadable_replica_answers_503_and_changes_nothing(nodes: Nodes, at: str) -> None:
    nodes.start("c1", "c2")
    store, before = nodes.replication("c2").store, nodes.positions("c2")

    def failing_get(name: str) -> None:
        raise ReplicaError("no connection is free")

    store.get = failing_get  # type: ignore[method-assign]
    status, value, headers = nodes.call(at, "POST", "/v1/tenants", tenant(C2[0]))
    assert (status, nodes.positions("c2")) == (503, before)
    assert "nothing was changed" in value["error"]
    assert "retry-after" in headers
    assert nodes.call("c2", "GET", f"/v1/tenants/{C2[0]}")[0] == 503
    del store.get
    assert nodes.call(at, "POST", "/v1/tenants", tenant(C2[0]))[0] == 201


def test_call_too_long_to_forward_is_rejected(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    assert nodes.call("c1", "POST", f"/v1/tenants?x={'y' * 5000}", tenant(C2[0]))[0] == 413
    value = tenant(C2[0], hosts=["\u00e9" * 60_000])
    assert nodes.call("c1", "POST", "/v1/tenants", value)[0] in (400, 413)
    assert nodes.positions("c2")[1:] == [8, 0, 9, 0]


def test_change_waits_for_another_up_to_the_time_out(nodes: Nodes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replicated, "LOCK_TIMEOUT_S", 0.1)
    nodes.start("c1")
    with nodes.table("c1").exclusive():
        status, _, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C1[0]))
    assert status == 503
    assert "retry-after" in headers
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C1[0]))[0] == 201


# All nodes


def test_change_through_any_node_takes_effect_on_all(nodes: Nodes) -> None:
    nodes.start("c1", "c2", "n1")
    for at, name in (("n1", C1[0]), ("c1", C2[0]), ("n1", C2[1])):
        assert nodes.call(at, "POST", "/v1/tenants", tenant(name))[0] == 201
    assert wait_until(
        lambda: all(nodes.serves(at, name) for at in nodes.all for name in (C1[0], C2[0], C2[1]))
    )
    assert nodes.call("n1", "POST", f"/v1/tenants/{C2[0]}/suspend")[0] == 200
    assert nodes.call("n1", "DELETE", f"/v1/tenants/{C1[0]}")[0] == 204
    assert wait_until(lambda: not any(nodes.serves(at, name) for at in nodes.all for name in (C1[0], C2[0])))
    listed = [nodes.call(at, "GET", "/v1/tenants")[1] for at in nodes.all]
    assert [row["name"] for row in listed[0]["tenants"]] == sorted([C2[0], C2[1]])
    assert listed[0] == listed[1] == listed[2]
    first = nodes.call("n1", "GET", "/v1/tenants?limit=1")[1]
    rest = nodes.call("n1", "GET", f"/v1/tenants?limit=1&after={first['next']}")[1]
    assert first["tenants"] + rest["tenants"] == listed[0]["tenants"]
    assert "next" not in rest
    usage = nodes.call("n1", "GET", f"/v1/tenants/{C2[0]}/usage")[1]
    assert (usage["name"], usage["state"], usage["in_hand"]) == (C2[0], "suspended", 0)
    assert nodes.call("n1", "GET", f"/v1/tenants/{C1[0]}/usage")[0] == 404
    changes = nodes.call("n1", "GET", "/v1/audit?limit=1000")[1]["changes"]
    assert sorted(change["change"] for change in changes) == ["put", "put", "put", "remove", "state"]


@pytest.mark.parametrize("winner_first", [True, False])
def test_host_named_by_tenants_of_two_leaders_belongs_to_the_same_one_on_all_nodes(
    nodes: Nodes, winner_first: bool
) -> None:
    nodes.start("c1", "c2", "n1")
    won, lost = sorted((C1[0], C2[0]))
    for name in (won, lost) if winner_first else (lost, won):
        status, value, _ = nodes.call("n1", "POST", "/v1/tenants", tenant(name, hosts=["same.example"]))
        assert status == 201
        assert nodes.catches_up("c1", "c2")
        assert nodes.catches_up("c1", "n1")
    key, other = ("shadowed", won) if winner_first else ("shadows", lost)
    assert value[key] == [{"host": "same.example", "tenant": other}]
    for at in nodes.all:
        assert wait_until(lambda: nodes.tenant_of(at, "same.example") == won)  # noqa: B023
        assert nodes.call(at, "GET", f"/v1/tenants/{lost}")[1]["shadowed"] == [
            {"host": "same.example", "tenant": won}
        ]
    value = nodes.call("n1", "PATCH", f"/v1/tenants/{won}?dry_run=true", {"hosts": ["other.example"]})[1]
    assert "shadows" not in value["after"]
    assert nodes.call("n1", "PATCH", f"/v1/tenants/{won}", {"hosts": ["other.example"]})[0] == 200
    assert wait_until(lambda: all(nodes.tenant_of(at, "same.example") == lost for at in nodes.all))
    assert any(node.parts.counters.snapshot().get("replication.shadowed") for node in nodes.all.values())


def test_call_can_wait_for_copies_of_its_change(nodes: Nodes, monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (fleet_client, replicated_api):
        monkeypatch.setattr(module, "COPIES_TIMEOUT_S", 0.7)
    nodes.start("c1", "c2", "n1")
    assert nodes.call("c1", "POST", "/v1/tenants?copies=3", tenant(C2[0]))[1]["field"] == "copies"
    for at, name in (("c1", C2[0]), ("c2", C2[1])):
        assert nodes.call(at, "POST", "/v1/tenants?copies=2", tenant(name))[0] == 201
        assert len({tuple(nodes.positions(node)) for node in nodes.all}) == 1
    nodes.stop_pulls("n1")
    for at, name in (("c1", C2[2]), ("c2", C2[3])):
        assert nodes.call(at, "POST", "/v1/tenants?copies=1", tenant(name))[0] == 201
        path = f"/v1/tenants/{name}?copies=2"
        status, value, headers = nodes.call(at, "PATCH", path, {"max_open": 7})
        assert (status, value["made"], value["copies"]) == (504, True, 1)
        assert nodes.call("c2", "GET", f"/v1/tenants/{name}")[2]["etag"] == headers["etag"]
    assert nodes.call("c1", "DELETE", f"/v1/tenants/{C2[0]}?copies=1")[0] == 204


def test_progress_of_partitions_is_reported(nodes: Nodes) -> None:
    nodes.start("c1", "c2", "n1")
    for name in (C1[0], C2[0], C2[1]):
        value = tenant(name, share={"guarantee": 0.1})
        assert nodes.call("n1", "POST", "/v1/tenants?copies=2", value)[0] == 201
    report = nodes.call("n1", "GET", "/v1/fleet/changes")[1]
    assert (report["own"], report["control"], report["tenants"]) == ("n1", CONTROL, 3)
    assert report["guaranteed"] == pytest.approx(0.3)
    assert report["orphans"] == []
    assert [(one["stream"], one["holder"], one["position"]) for one in report["streams"]] == [
        ("c1", "c1", "8.1"),
        ("c2", "c2", "9.2"),
    ]

    def counted() -> list[Any]:
        streams = nodes.call("n1", "GET", "/v1/fleet/changes")[1]["streams"]
        return [
            (one["counted"]["have"], one["counted"]["members"], one["counted"]["everywhere"]["position"])
            if one["counted"] and one["counted"]["everywhere"]
            else None
            for one in streams
        ]

    assert wait_until(lambda: counted() == [(2, 2, "8.1"), (2, 2, "9.2")])
    nodes.stop_pulls("n1")
    assert nodes.call("c1", "POST", "/v1/tenants?copies=1", tenant(C1[1]))[0] == 201
    assert counted()[0] == (1, 2, "8.1")
    slowest = nodes.call("c2", "GET", "/v1/fleet/changes")[1]["streams"][0]["counted"]["slowest"]
    assert [(one["name"], one["position"]) for one in slowest] == [("n1", "8.1")]
    nodes.stop("c2")
    assert counted()[1] is None  # the leader, which counts the copies, is stopped


def test_unreadable_row_is_stored_reported_and_served_by_other_nodes(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    nodes.start("n1", workers=[{"name": "w1"}])
    assert nodes.call("n1", "POST", "/v1/tenants", tenant(C2[0], backend="w2"))[0] == 201
    assert wait_until(lambda: nodes.serves("c1", C2[0]))
    assert nodes.catches_up("n1", "c2")
    shown = nodes.call("n1", "GET", f"/v1/tenants/{C2[0]}")[1]
    assert "backend" in shown["unreadable"]
    assert nodes.tenant_of("n1", f"{C2[0]}.example") == REJECTED
    unreadable = nodes.call("n1", "GET", "/v1/fleet/changes")[1]["unreadable"]
    assert unreadable["count"] == 1
    assert unreadable["tenants"][0]["name"] == C2[0]
    assert nodes.call("c1", "GET", "/v1/fleet/changes")[1]["unreadable"]["count"] == 0
    assert nodes.call("n1", "PATCH", f"/v1/tenants/{C2[0]}", {"backend": "w1"})[0] == 200
    assert wait_until(lambda: nodes.serves("n1", C2[0]))


# Changes of leader


def test_operator_changes_the_leader_of_a_partition_and_sees_what_is_lost(nodes: Nodes) -> None:
    nodes.start("c1", "c2", "n1")
    for name in C2[:2]:
        assert nodes.call("c2", "POST", "/v1/tenants?copies=2", tenant(name))[0] == 201
    for at in ("c1", "n1"):
        nodes.stop_pulls(at)
    assert nodes.call("c2", "POST", "/v1/tenants", tenant(C2[2]))[0] == 201  # no other member has it
    path = "/v1/fleet/take-over/c2"
    assert nodes.call("c1", "POST", path + "?dry_run=true")[1]["heard_of"] == "9.3"  # c1 asks the leader
    assert wait_until(lambda: nodes.table("c1").position_ahead("c2"))  # announced by the leader
    nodes.stop("c2")
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[3]))[0] == 503
    for at, target, status, text in (
        ("n1", path, 409, "c1, c2"),
        ("c1", "/v1/fleet/take-over/x", 404, "c1, c2"),
        ("c1", "/v1/fleet/take-over/c1", 409, "already"),
        ("c1", path, 503, "9.3"),
    ):
        reply = nodes.call(at, "POST", target)
        assert reply[0] == status
        assert text in reply[1]["error"]
    status, value, _ = nodes.call("c1", "POST", path + "?dry_run=true")
    assert (status, value["has"], value["heard_of"], value["lost"]) == (200, "9.2", "9.3", 1)
    status, value, _ = nodes.call("c1", "POST", path + "?force=true")
    assert (status, value["begins"], value["lost"]) == (200, "16.2", 1)
    for at in ("c1", "n1"):
        nodes.stop_pulls(at, False)
    assert wait_until(lambda: nodes.table("n1").leader("c2") == "c1")
    status, _, headers = nodes.call("n1", "POST", "/v1/tenants?copies=1", tenant(C2[3]))
    assert (status, headers["etag"]) == (201, '"16.3"')
    nodes.start("c2")
    assert nodes.catches_up("c2", "c1")
    assert not nodes.serves("c2", C2[2])
    assert wait_until(lambda: nodes.serves("c2", C2[3]))
    report = nodes.call("c2", "GET", "/v1/fleet/changes")[1]
    assert [(orphan["tenant"], orphan["version"]) for orphan in report["orphans"]] == [(C2[2], "9.3")]
    assert nodes.call("c2", "PATCH", f"/v1/tenants/{C2[0]}", {"max_open": 7})[2]["etag"] == '"16.4"'
    assert nodes.catches_up("c2", "c1")
    nodes.stop_pulls("c2")  # so that it lacks the next change of the leader, and must not lead without it
    nodes.call("c1", "PATCH", f"/v1/tenants/{C2[0]}", {"max_open": 8})
    status, value, _ = nodes.call("c2", "POST", path)
    assert (status, value["heard_of"], value["lost"]) == (503, "16.5", 1)
    nodes.stop_pulls("c2", False)
    assert nodes.catches_up("c2", "c1")
    status, value, _ = nodes.call("c2", "POST", path)
    assert (status, value["holder"], value["holder_lives"], value["begins"]) == (200, "c1", True, "25.5")
    assert wait_until(lambda: nodes.table("c1").leader("c2") == "c2")


# Other configurations


def test_control_member_works_without_an_administration_api(nodes: Nodes) -> None:
    nodes.start("c1")
    nodes.start("c2", without="admin")
    assert nodes.call("c1", "POST", "/v1/tenants?copies=1", tenant(C2[0]))[0] == 201
    assert wait_until(lambda: nodes.serves("c1", C2[0]) and nodes.serves("c2", C2[0]))


def test_node_without_a_fleet_leads_its_partition(nodes: Nodes) -> None:
    operator_file = {"replication": {"copy": str(nodes.folder / "c1.db"), "control": ["c1"]}}
    nodes.start("c1", without="fleet", **operator_file)
    for name in (C1[0], C2[0]):
        assert nodes.call("c1", "POST", "/v1/tenants", tenant(name))[0] == 201
        assert wait_until(lambda: nodes.serves("c1", name))  # noqa: B023
    assert nodes.call("c1", "POST", "/v1/tenants?copies=1", tenant(C2[1]))[0] == 400
    changes = nodes.call("c1", "GET", "/v1/fleet/changes")[1]
    assert [(one["stream"], one["position"]) for one in changes["streams"]] == [("c1", "8.2")]
    nodes.stop("c1")
    nodes.start("c1", without="fleet", **operator_file)
    assert nodes.serves("c1", C2[0])
    assert nodes.call("c1", "DELETE", f"/v1/tenants/{C2[0]}")[0] == 204


def test_unknown_host_is_unavailable_while_the_replica_is_bootstrapped(nodes: Nodes) -> None:
    nodes.start("c1")
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C1[0]))[0] == 201
    frontend = nodes.all["c1"].parts.frontends["ajp"]
    assert isinstance(frontend, AjpFrontend)
    assert nodes.tenant_of("c1", "nobody.example") == ""
    assert isinstance(frontend._tenants, CachedTenantRegistry)
    frontend._tenants.is_bootstrapping = lambda: True
    assert nodes.serves("c1", C1[0])
    with pytest.raises(TenantUnavailableError), frontend._tenants.pinned_match("GET", "nobody.example", "/"):
        pass


def test_replica_of_another_fleet_is_not_opened(nodes: Nodes) -> None:
    nodes.start("c1")
    nodes.stop("c1")
    with pytest.raises(ConfigError, match=r"^replication\.copy: .*fleet"):
        Node(
            merge(
                None,
                parse(
                    config(
                        nodes.folder,
                        "c1",
                        [],
                        fleet={
                            "name": "other",
                            "listen": "127.0.0.1:0",
                            "secret_file": str(nodes.folder / "secret"),
                        },
                    )
                ),
            )
        )


# Members that can't be reached


def test_changes_are_rejected_while_their_leader_is_away_and_reads_answered(nodes: Nodes) -> None:
    nodes.start("c1")
    status, value, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]))
    assert status == 503
    assert "c2" in value["error"]
    assert 2 <= int(headers["retry-after"]) <= 6
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C1[0]))[0] == 201
    assert nodes.call("c1", "GET", "/v1/tenants")[1]["tenants"] == [
        nodes.call("c1", "GET", f"/v1/tenants/{C1[0]}")[1]
    ]
    nodes.start("c2")
    assert nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]))[0] == 201
    nodes.stop("c2")  # not known to be dead yet
    status, value, headers = nodes.call("c1", "PATCH", f"/v1/tenants/{C2[0]}", {"max_open": 7})
    assert status == 503
    assert "retry-after" in headers


def test_change_whose_reply_is_lost_is_answered_504_and_can_be_retried(
    nodes: Nodes, monkeypatch: pytest.MonkeyPatch
) -> None:
    nodes.start("c1", "c2")
    fleet_of_leader = nodes.all["c2"].parts.fleet
    assert fleet_of_leader is not None
    handle = fleet_of_leader.handlers[ChangeRequest]

    def handle_without_reply(request: ChangeRequest) -> None:
        handle(request)

    fleet_of_leader.handlers[ChangeRequest] = handle_without_reply
    status, value, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")
    assert status == 504
    assert "may have been made" in value["error"]
    assert "retry-after" not in headers
    fleet_of_leader.handlers[ChangeRequest] = handle
    status, _, headers = nodes.call("c1", "POST", "/v1/tenants", tenant(C2[0]), Idempotency_Key="k1")
    assert (status, headers["idempotent-replayed"]) == (201, "true")


def test_member_rejects_forwarded_changes_of_partitions_it_does_not_lead(nodes: Nodes) -> None:
    nodes.start("c1", "c2")
    fleet = nodes.all["c1"].parts.fleet
    assert fleet is not None
    address = next(member.address for member in fleet.live() if member.name == "c2")
    for target, status in (("/v1/tenants", 503), ("/v1/drain", 404), ("/v1/tenants/x/y/z", 404)):
        request = ChangeRequest("x", "POST", target, {}, json.dumps(tenant(C1[0])).encode(), "x")
        assert fleet.request_once(address, request, ChangeReply).status == status
    request = ChangeRequest("x", "POST", "/v1/tenants", {}, b"{", "x")
    assert fleet.request_once(address, request, ChangeReply).status == 400


# Separate processes


@contextlib.contextmanager
def process(folder: Path, operator_file: dict[str, Any]) -> Iterator["subprocess.Popen[bytes]"]:
    """Run the program with an operator's file and no file of the platform."""
    path = folder / "operator.toml"
    path.write_text(tomli_w.dumps(operator_file))
    with (folder / "log").open("wb") as out:
        running = subprocess.Popen(
            [sys.executable, "-O", "-m", "reelusher"],
            cwd=ROOT,
            stderr=out,
            env={**os.environ, "REELUSHER_OPERATOR": str(path), "PYTHONPATH": str(ROOT)},
        )
    try:
        yield running
    finally:
        running.kill()
        running.wait()


def free_addresses(count: int) -> list[tuple[str, int]]:
    addresses: set[tuple[str, int]] = set()
    while len(addresses) < count:
        addresses.add(free_address())
    return list(addresses)


def test_node_starts_and_serves_from_its_replica_while_all_others_are_away(
    tmp_path: Path,
) -> None:
    store = SqliteReplica(tmp_path / "n1.db", "reelusher", CONTROL)
    replica = Replica("x", CONTROL, store, Random(1))
    for number, name in enumerate((C1[0], C2[0]), 1):
        data = json.dumps(tenant(name)).encode()
        replica.accept(
            partition_of(name, CONTROL),
            partition_of(name, CONTROL),
            LogEntry(0, name, number, "x", "active", data),
        )
    store.close()
    ajp, admin, unused = ("{}:{}".format(*address) for address in free_addresses(3))
    (tmp_path / "secret").write_text("a secret of sixteen or more")
    world: dict[str, Any] = {"names": {}}
    worker = parties.Container(world)
    operator_file = config(
        tmp_path,
        "n1",
        [unused],
        ajp={"listen": ajp},
        admin={"listen": admin, "token": TOKEN},
        workers=[{"name": "w1", "port": worker.address[1]}],
    )
    with process(tmp_path, operator_file) as node:
        world["places"] = {"ajp": address_of(ajp, "ajp")}
        web = parties.Web(world)

        def connects() -> bool:
            assert node.poll() is None, (tmp_path / "log").read_text()
            with contextlib.suppress(ConnectionRefusedError):
                web.connect_to_node(
                    "ajp", ajp13.PacketDecoder(ajp13.TO_SERVER, ajp13.MAX_PACKET_BYTES), web.describe
                )
                return True
            return False

        assert wait_until(connects)
        for name in (C1[0], C2[0]):
            web.send(["GET", "/days", f"host={name}.example"])
            worker.expect(["GET", "/days"])
            worker.send(["200", "monday"])
            web.expect(["200", "monday"])
        web.send(["GET", "/days", "host=nobody.example"])
        web.expect(["404"])
        status, value, headers = call_api(address_of(admin, "admin"), "DELETE", f"/v1/tenants/{C1[0]}")
        assert status == 503
        assert "c1" in value["error"]
        assert "retry-after" in headers
        node.terminate()
        assert node.wait(20) == 0
    worker.close(["listener"])
    reopened = SqliteReplica(tmp_path / "n1.db", "reelusher", CONTROL)
    assert reopened.count() == 2
    assert not reopened.quarantined_files
    reopened.close()


def test_acknowledged_changes_survive_a_killed_leader(tmp_path: Path) -> None:
    (admin,) = free_addresses(1)
    operator_file = config(
        tmp_path,
        "c1",
        [],
        admin={"listen": "{}:{}".format(*admin), "token": TOKEN},
        replication={"copy": str(tmp_path / "c1.db"), "control": ["c1"]},
    )
    del operator_file["fleet"]
    tags: dict[str, str] = {}
    for round_ in range(2):
        with process(tmp_path, operator_file) as node, contextlib.ExitStack() as stack:
            assert wait_until(lambda: is_reachable(admin)), (tmp_path / "log").read_text()
            killer = threading.Timer(0.3 + 0.2 * round_, node.kill)
            killer.start()
            stack.callback(killer.join)
            with contextlib.suppress(OSError, http.client.HTTPException):
                while True:
                    name = f"r{round_}-{len(tags)}"
                    status, _, headers = call_api(admin, "POST", "/v1/tenants", tenant(name))
                    assert status == 201
                    tags[name] = headers["etag"]
        store = SqliteReplica(tmp_path / "c1.db", "", ["c1"])
        rows = {row.name: f'"{row.term}.{row.index}"' for row in store.page("", 10_000)}
        store.close()
        assert tags.items() <= rows.items()
        assert len(rows) - len(tags) <= round_ + 1
        assert len(set(rows.values())) == len(rows)
        assert not store.quarantined_files
    assert len(tags) > 10


def is_reachable(address: Address) -> bool:
    with contextlib.suppress(OSError), socket.create_connection(address, 1.0):
        return True
    return False


def test_replica_uses_no_more_descriptors_than_are_budgeted(tmp_path: Path) -> None:
    def open_descriptors() -> int:
        return sum(str(tmp_path) in os.path.realpath(path) for path in Path("/proc/self/fd").iterdir())

    store = SqliteReplica(tmp_path / "x.db", "f", CONTROL)
    replica = Replica("x", CONTROL, store, Random(1))
    for number, name in enumerate(C1):
        replica.accept(
            "c1", "c1", LogEntry(0, name, number, "x", "active", json.dumps(tenant(name)).encode())
        )
    threads = [threading.Thread(target=lambda: [store.page("", 100) for _ in range(50)]) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert 4 <= open_descriptors() <= REPLICA_DESCRIPTORS
    store.close()
    assert open_descriptors() == 0


PRINT_LOADED_MODULES = """
import json, sys
from reelusher.config.load import load
from reelusher.node import Node
node = Node(load())
node.close()
print(json.dumps(sorted(sys.modules)))
"""


@pytest.mark.parametrize("where", ["on the platform", "without [replication]", "with [replication]"])
def test_modules_of_the_replicated_table_are_loaded_only_where_configured(tmp_path: Path, where: str) -> None:
    operator_path, platform_path = tmp_path / "operator.toml", tmp_path / "config.json"
    (tmp_path / "secret").write_text("a secret of sixteen or more")
    value = config(tmp_path, "c1", [])
    if where == "without [replication]":
        del value["replication"]
    operator_path.write_text(tomli_w.dumps(value))
    platform_path.write_text(
        json.dumps(
            {
                "name": "n1",
                "settings": SETTINGS,
                "listen": "127.0.0.1:0",
                "operator": "127.0.0.1:0",
                **dict.fromkeys(("runtime", "vault", "directory"), "127.0.0.1:1"),
            }
        )
    )
    environment = (
        {"PROXY_CONFIG": str(platform_path)}
        if where == "on the platform"
        else {"REELUSHER_OPERATOR": str(operator_path)}
    )
    finished = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED_MODULES],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, **environment, "PYTHONPATH": str(ROOT)},
        check=True,
    )
    loaded = set(json.loads(finished.stdout))
    replicated = {
        "sqlite3",
        "reelusher.fleet.replication",
        "reelusher.tenancy.replicated",
        "reelusher.admin.replicated_api",
    }
    assert loaded & replicated == (replicated if where == "with [replication]" else set())
    if where == "on the platform":
        prefixes = (
            "reelusher.admin",
            "reelusher.fleet",
            "reelusher.frontends.ajp.frontend",
            "reelusher.tenancy",
            "msgspec",
            "reelusher.upgrade",
        )
        assert [name for name in loaded if name.startswith(prefixes)] == []


def test_progress_is_shown_while_two_live_members_share_a_leaders_name(nodes: Nodes) -> None:
    """Guard against a 503 in just the situation that an operator looks at this page for."""
    nodes.start("c1", "c2")
    seed = nodes.all["c1"].parts.fleet
    assert seed is not None
    operator_file = config(nodes.folder, "c2", ["{}:{}".format(*seed.address)])
    del operator_file["replication"]
    namesake = Node(merge(None, parse(operator_file)))
    namesake.start()
    assert wait_until(lambda: len(seed.live()) == 3)
    status, value, _ = nodes.call("c1", "GET", "/v1/fleet/changes")
    namesake.close()
    assert status == 200, value
    streams = {stream["stream"]: stream for stream in value["streams"]}
    assert len(streams["c2"]["holder_at"]) == 2
    assert streams["c2"]["counted"] is None
    assert streams["c1"]["counted"] is not None
