"""The members of a small hosted fleet with a replicated table of tenants."""

from typing import Any

from reelusher.fleet.replication.positions import partition_of
from standins.case import Case, NodeProcess, text, wait_until
from standins.hosted import TOKEN, AdminClient, AdminReply

CONTROL = ("control-1", "control-2")
RETRY_S = 2.0  # the shortest Retry-After of a 503

OPERATOR_FILE = """
[node]
name = "{name}"
stop_ms = 4000

[ajp]
listen = "{ajp}"

[admin]
listen = "{admin}"
token = "{token}"

[fleet]
listen = "{fleet}"
seeds = ["{seed}"]
secret_file = "{folder}/fleet.secret"

[replication]
copy = "{folder}/{name}.db"
control = ["control-1", "control-2"]

[[classes]]
name = "day-view"
deadline_ms = 5100

[[workers]]
name = "clinic-a"
port = {worker}
"""


class Member:
    """One control member and its files."""

    def __init__(self, case: Case, name: str) -> None:
        self._case, self.name = case, name
        self.ajp, self.fleet, admin = case.address(), case.address(), case.address()
        self._admin = admin
        self.admin = AdminClient(name, admin, case.record)
        self.node: NodeProcess

    def configure(self, seed: "Member", worker: tuple[str, int]) -> None:
        """Write the operator's file."""
        self._path = self._case.folder / f"{self.name}.toml"
        self._path.write_text(
            OPERATOR_FILE.format(
                name=self.name,
                ajp=text(self.ajp),
                admin=text(self._admin),
                fleet=text(self.fleet),
                seed=text(seed.fleet),
                token=TOKEN,
                folder=self._case.folder,
                worker=worker[1],
            )
        )

    def start(self) -> None:
        """Start the node and wait for its API."""
        self.node = self._case.start_node(self.name, {"REELUSHER_OPERATOR": str(self._path)})
        wait_until(f"the API of {self.name}", lambda: self.get("/v1/status").status == 200)

    def get(self, path: str) -> AdminReply:
        """Make a call that reads, without a line in the record."""
        return self.admin.call("GET", path, quiet=True)

    def stream(self) -> dict[str, Any]:
        """Return what this member says of the partition of control-1."""
        body = self.get("/v1/fleet/changes").body
        return next(stream for stream in body["streams"] if stream["stream"] == "control-1")

    def orphans(self) -> list[str]:
        """Return the tenants of the divergent rows that this member lists."""
        reply = self.admin.call("GET", "/v1/fleet/changes")
        self._case.record(f"{self.name}: stream {self.stream()}, orphans {reply.body['orphans']}")
        return [orphan["tenant"] for orphan in reply.body["orphans"]]


def names_of_stream(count: int, prefix: str) -> list[str]:
    """Return names that belong to the partition of control-1."""
    found, number = [], 0
    while len(found) < count:
        number += 1
        if partition_of(name := f"{prefix}-{number}", CONTROL) == "control-1":
            found.append(name)
    return found


def host_of(name: str, number: int = 0) -> str:
    """Return a host of a tenant."""
    return f"{number:04}.{name}.clinics.example.org"


def post(member: Member, name: str, hosts: int, query: str = "") -> AdminReply:
    """Add a tenant. With more than ten hosts, the call is left out of the record."""
    tenant = {
        "name": name,
        "backend": "clinic-a",
        "hosts": [host_of(name, number) for number in range(hosts)],
        "default_class": "day-view",
    }
    return member.admin.call("POST", f"/v1/tenants{query}", tenant, quiet=hosts > 10)
