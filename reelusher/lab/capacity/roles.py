"""Rows of the capacity page: the load on each role and missing mechanisms, with references to figures."""

from collections.abc import Callable
from dataclasses import dataclass

from reelusher.fleet.membership.member_table import MAX_MEMBERS
from reelusher.fleet.warm_start.observations import MAX_OBSERVATIONS
from reelusher.lab.capacity.budgets import (
    CONTAINER_MAX_CONNECTIONS,
    LINK_BYTES_PER_S,
    MAX_CONNECTIONS,
    SOCKETS,
    WORKER_CONNECTIONS,
    derived,
    expected,
    ratio,
)

Slope = Callable[[str, str], tuple[float, float]]  # fixed cost and slope of a figure of a scale test
WORKS, PARTIAL, MISSING = "works", "in part", "missing"


@dataclass(slots=True, frozen=True)
class Row:
    """One load on a role, or one result, as a row of a table. Its texts may contain references."""

    subject: str
    figure: str
    budget: str
    mechanism: str
    status: str  # `WORKS`, `PARTIAL` or `MISSING`; empty for results
    source: str  # the scale test or simulation, or `arithmetic`


@dataclass(slots=True, frozen=True)
class MissingMechanism:
    """A mechanism that does not exist yet, and the fleet size at which its absence becomes a limit."""

    name: str
    limit_nodes: Callable[[], float]  # all other figures are assumed to grow in proportion to the nodes
    arithmetic: str
    mechanism: str


NODE_ROWS = (
    Row(
        "look-up of a request's tenant, 260,000 tenants",
        "before: [[before/tenants-table.look_up_us@tenants]]; now: [[tenants-table.look_up_us@tenants]]",
        "of [[expected.added_ms]] added",
        "an index by host, then prefix",
        WORKS,
        "`tenants-table`",
    ),
    Row(
        "a change of one tenant, 260,000 tenants",
        "before: [[before/tenants-table.change_us@tenants]]; now: [[tenants-table.change_us@tenants]]",
        "2 times that at 1,000, [[tenants-table.change_us@1000]]",
        "a change costs what it changes",
        WORKS,
        "`tenants-table`",
    ),
    Row(
        "start, 260,000 tenants in the operator's file (checking it, then the table)",
        "before: [[before/tenants-table.check_s@tenants]], [[before/tenants-table.start_s@tenants]]; now: "
        "[[tenants-table.check_s@tenants]], [[tenants-table.start_s@tenants]]",
        "10 s",
        "names told apart by a set; nothing is sorted for it",
        PARTIAL,
        "`tenants-table`",
    ),
    Row(
        "memory of 260,000 tenants from the operator's file",
        "before: [[before/tenants-memory.table_mb@tenants]] beside [[before/tenants-memory.read_mb@tenants]] "
        "for the file; now: [[tenants-memory.table_mb@tenants]], [[tenants-memory.read_mb@tenants]]",
        "[[expected.control_mb]]",
        "all in memory: past some 40,000 tenants a copy on disk is wanted",
        MISSING,
        "`tenants-memory`",
    ),
    Row(
        "the same in a local copy on disk: what it adds to a process; the file; opening it",
        "[[tenants-copy.resident_mb@260000]]; [[tenants-copy.file_mb@260000]]; "
        "[[tenants-copy.open_ms@260000]]",
        "[[expected.control_mb]]; none told; 10 s",
        "SQLite, indexes by host and by name",
        WORKS,
        "`tenants-copy`",
    ),
    Row(
        "a node of 260,000 tenants in its copy: resident at its start, after requests of 2,050 tenants",
        "[[tenants-node-copy.resident_mb@260000]], [[tenants-node-copy.later_mb@260000]]; with 100 tenants "
        "[[tenants-node-copy.resident_mb@100]]",
        "[[expected.control_mb]] more",
        "the same",
        WORKS,
        "`tenants-node-copy`",
    ),
    Row(
        "a tenant that is not in memory: its look-up in the copy; a change there, synced",
        "[[tenants-copy.match_us@260000]]; [[tenants-copy.change_us@260000]]",
        "of [[expected.added_ms]] added; 2 times that at 1,000, [[tenants-copy.change_us@1000]]",
        "an index by host, candidates by prefix",
        WORKS,
        "`tenants-copy`",
    ),
    Row(
        "filling a fresh machine's copy with 260,000 rows, without the way between members",
        "[[tenants-copy.fill_s@260000]]",
        "none told; it serves meanwhile",
        "pieces of 200 entries",
        WORKS,
        "`tenants-copy`",
    ),
    Row(
        "a request at 272, 320 and 544 a second, 10 tenants: processor time",
        "[[request.request_us@272]], [[request.request_us@320]], [[request.request_us@544]]",
        "one core: 3.7, 3.1, 1.8 ms",
        "threads on blocking sockets, one owner",
        WORKS,
        "`request`",
    ),
    Row(
        "the same: added for 99 in 100",
        "[[request.added_p99_ms@272]], [[request.added_p99_ms@320]], [[request.added_p99_ms@544]]; in the "
        "worst of five rounds [[request.added_p99_ms@272~most]], [[request.added_p99_ms@320~most]], "
        "[[request.added_p99_ms@544~most]]",
        "[[expected.added_ms]]",
        "the same",
        WORKS,
        "`request`",
    ),
    Row(
        "a connection of a caller, idle",
        "[[callers-idle.descriptors_each@800]] descriptor, [[callers-idle.threads_each@800]] thread, "
        "[[callers-idle.bytes_each@800]]",
        "`node.sockets`, `ajp.max_connections`",
        "a thread each",
        WORKS,
        "`callers-idle`",
    ),
    Row(
        "processor time of 10,000 idle connections",
        "[[callers-idle.core@10000]] of a core",
        "none told",
        "each thread looks five times a second whether the node leaves",
        PARTIAL,
        "`callers-idle`",
    ),
    Row(
        "connections of callers with 41,000 workers",
        "[[callers-left.connections_left@routes]] of 65,536 (never fewer than 16)",
        "more than [[derived.connections_spread]]",
        "`descriptors.max_caller_connections` keeps all that workers may use",
        MISSING,
        "`callers-left`",
    ),
    Row(
        "41,000 workers: memory of each; checking the file; gauges, ten times a second; facts told",
        "[[workers-pool.bytes_each@routes]]; [[workers-pool.check_s@routes]]; "
        "[[workers-pool.gauges_us@routes]]; [[workers-pool.seen_ms@routes]]",
        "[[expected.control_mb]], [[expected.control_core]] of a core",
        "all members in memory, gauges add all up",
        PARTIAL,
        "`workers-pool`",
    ),
    Row(
        "threads of workers",
        "[[workers-threads.threads@64]] at 64 workers in use",
        "256",
        "one pool of threads for all, 256 at most",
        WORKS,
        "`workers-threads`",
    ),
    Row(
        "keys of keyed requests: each, a result of 1,000 bytes, a sweep each second",
        "[[keys-window.key_bytes@16000]], [[keys-window.result_bytes@16000]], [[keys-window.sweep_ms@8342]]",
        "a quarter of `node.memory_mb` for results",
        "windows end; results of the largest tenant go first",
        WORKS,
        "`keys-window`",
    ),
    Row(
        "accounts of tenants in use: each",
        "[[tenants-accounts.account_bytes@16000]]",
        "[[expected.control_mb]]",
        "8,192 tenants in memory at most, let go once unused",
        WORKS,
        "`tenants-accounts`",
    ),
    Row(
        "counters of 260,000 tenants; the line that a drain ends with",
        "before: [[before/tenants-accounts.counter_bytes@tenants]] each, "
        "[[before/tenants-accounts.line_kb@tenants]]; now, all: [[tenants-accounts.counters_kb@16000]], "
        "[[tenants-accounts.line_kb@16000]]",
        "none told",
        "those of the 1,000 counted last, and a sum of the others",
        WORKS,
        "`tenants-accounts`",
    ),
    Row(
        "membership at rest, 3,600 members: bytes, processor time, a death known to 99 %",
        "[[membership-rest.bytes_per_s@nodes]], [[membership-rest.core@nodes]] of a core, "
        "[[membership-rest.death_known_s@nodes]]",
        "[[expected.control_bytes_per_s]], [[expected.control_core]] of a core",
        "SWIM with Lifeguard",
        WORKS,
        "`membership-rest`",
    ),
    Row(
        "a rack of [[fleet/membership-3600.rack_nodes]], a zone of [[fleet/membership-3600.zone_nodes]] lost "
        "at once: known to all after, in s; bytes a second of a node until then",
        "[[fleet/membership-3600.rack_known_to_all_s]], [[fleet/membership-3600.zone_known_to_all_s]]; "
        "[[fleet/membership-3600.rack.sent_bytes_a_second_mean]], "
        "[[fleet/membership-3600.zone.sent_bytes_a_second_mean]]",
        "none told for the seconds of a loss",
        "gossip, while there is news",
        WORKS,
        "`fleet/membership-3600`",
    ),
    Row(
        "states of 3,600 members: one; exchanged whole each 15 to 30 s; compared by digests, equal, and one "
        "restart apart",
        "[[membership-states.state_kb@nodes]]; before: "
        "[[before/membership-states.exchange_bytes_per_s@nodes]]; now: "
        "[[membership-states.equal_bytes_per_s@nodes]], [[membership-states.restart_bytes_per_s@nodes]]",
        "[[expected.control_bytes_per_s]]",
        "a digest, then the buckets that differ; whole to join",
        WORKS,
        "`membership-states`",
    ),
    Row(
        "changes of configuration: bytes pulled, and given to machines that come back empty",
        "[[derived.change_bytes_per_s]], [[derived.fill_bytes_per_s]]",
        "[[expected.control_bytes_per_s]]",
        "a vector on each datagram; who is behind pulls what it lacks, its zone first",
        WORKS,
        "arithmetic",
    ),
    Row(
        "the ordinary day at 3,600, membership and changes: bytes sent by a node in the mean, and by the one "
        "that sends most; processor time in %",
        "[[fleet/day-3600.sent_bytes_a_second_mean]], "
        "[[fleet/day-3600.sent_bytes_a_second_most_but_control]]; [[fleet/day-3600.core_percent]]",
        "[[expected.control_bytes_per_s]]; [[expected.control_core]]",
        "the same",
        WORKS,
        "`fleet/day-3600`, sockets left out",
    ),
    Row(
        "what a fresh node learns of 41,000 workers: an answer; within what is taken (1) or not (0)",
        "[[learning.told_kb@41000]]; [[learning.fits@41000]]",
        "512 KB",
        "three donors; the first 512 facts of each count",
        PARTIAL,
        "`learning`",
    ),
    Row(
        "claims of keys while two processes serve: one, of 4,000 keys; of 11,700, a look at all each 5 s",
        "[[upgrade-claims.claim_us@4000]], [[upgrade-claims.sweep_ms@11700]]",
        "none told",
        "a file each",
        WORKS,
        "`upgrade-claims`",
    ),
)
CONTROL_ROWS = (
    Row(
        "changes of configuration",
        "one each [[derived.change_every_s]]",
        "[[expected.in_force_s]]",
        "each name has one writer, by rendezvous over the configured list; durable there, then announced",
        WORKS,
        "arithmetic",
    ),
    Row(
        "in force after: on 99.9 % of 3,600, on all, the slowest change, in s",
        "[[fleet/day-3600.to_999_permille_most_s]], [[fleet/day-3600.to_all_most_s]], of "
        "[[fleet/day-3600.changes]] changes",
        "8, 16",
        "announced and pulled",
        WORKS,
        "`fleet/day-3600`",
    ),
    Row(
        "bytes a second sent by the control member that sends most",
        "[[fleet/day-3600.sent_bytes_a_second_most]]",
        "none told",
        "nodes that pull send others on",
        WORKS,
        "`fleet/day-3600`",
    ),
    Row(
        "a region apart for an hour, on its return: all level, members agree, in s, at 150 members",
        "[[fleet/region-hour-150.all_level_after_return_s]], "
        "[[fleet/region-hour-150.members_agree_after_return_s]]",
        "16",
        "streams of each writer go on",
        PARTIAL,
        "`fleet/region-hour-150`; 3,600 begun, not ended",
    ),
    Row(
        "a change made durable in the copy, 260,000 rows",
        "[[tenants-copy.change_us@260000]]",
        "[[derived.change_every_s]]",
        "SQLite, synced",
        WORKS,
        "`tenants-copy`",
    ),
    Row(
        "of its own tenants, without replication: a change made durable, 64,000 in the journal",
        "[[state-journal.change_ms@64000]]",
        "[[derived.change_every_s]]",
        "journal, synced",
        WORKS,
        "`state-journal`",
    ),
    Row(
        "the same: a start from the journal with 260,000; its size",
        "[[state-journal.recover_s@tenants]], [[state-journal.kept_mb@tenants]]",
        "10 s",
        "a snapshot, read whole",
        PARTIAL,
        "`state-journal`",
    ),
    Row(
        "the whole table to a fresh machine",
        "[[derived.fill_mb]]",
        "none told",
        "pieces from several members, within an allowance of each",
        WORKS,
        "arithmetic",
    ),
)
REGISTRY_ROWS = (
    Row(
        "reports of 3,600 nodes: all, for each of 6 machines",
        "[[list-reports.reports_per_s@3600]], [[list-reports.machine_per_s@3600]]",
        "none told",
        "`pacing/cadence.py`: as late as leaves room for tries",
        WORKS,
        "`list-reports`",
    ),
    Row(
        "the most reports in 100 ms over the mean: at rest; started within 2 s",
        "[[list-reports.most_over_mean@3600]], [[list-reports.start_over_mean@3600]]",
        "twice, three times",
        "phases drawn anew",
        WORKS,
        "`list-reports`",
    ),
    Row(
        "one report: bytes both ways; processor time of reading and noting it",
        "[[list-handling.report_bytes@3600]], [[list-handling.take_us@3600]]",
        "none told",
        "HTTP, a connection kept",
        WORKS,
        "`list-handling`",
    ),
    Row(
        "the list: bytes, writing it once",
        "[[list-handling.list_kb@3600]], [[list-handling.write_list_ms@3600]]",
        "none told",
        "not this program's",
        WORKS,
        "`list-handling`",
    ),
    Row(
        "the list to 49,000 callers at each change: whole; the entry alone",
        "[[derived.list_push_mb_per_s]], [[derived.list_delta_kb_per_s]] a machine",
        "125 MB/s, a link",
        "not this program's",
        MISSING,
        "arithmetic",
    ),
    Row(
        "a cold start of all 3,600: all listed after; of 2,880, most reports in 100 ms over the mean",
        "[[start-all.listed_s@nodes]], [[start-all.most_over_mean@2880]]",
        "none told",
        "first reports spread over 0.25 s",
        PARTIAL,
        "`start-all`",
    ),
    Row(
        "a zone of three lost and back: worth served",
        "[[start-zone.served_worth@2880]] at 2,880 nodes",
        "none told",
        "leaving a failing zone is issue 23",
        PARTIAL,
        "`start-zone`",
    ),
)
PEER_ROWS = (  # callers and workers
    Row(
        "a caller: requests a second; back at the same node after, were it to ask all in turn",
        "[[derived.caller_requests_per_s]], [[derived.caller_returns_s]]",
        "`ajp.idle_ms`, 60 s",
        "none: callers choose",
        MISSING,
        "arithmetic",
    ),
    Row(
        "a node then holds",
        "[[derived.connections_spread]]",
        "400, 10,000 at most",
        "the idle of whoever has most are closed for others",
        PARTIAL,
        "arithmetic",
    ),
    Row(
        "nodes that a caller may keep connections to",
        "[[derived.subset_nodes]]",
        "[[expected.nodes]]",
        "none",
        MISSING,
        "arithmetic",
    ),
    Row(
        "a worker that all nodes use: connections kept open",
        "[[derived.worker_idle]]",
        "8,192, as a usual container takes",
        "each node keeps up to 16, and lets none go",
        MISSING,
        "arithmetic",
    ),
    Row(
        "a worker that is away: tries",
        "[[derived.worker_probes_per_s]]",
        "none told",
        "backoff with jitter; one request at a time finds out",
        WORKS,
        "arithmetic",
    ),
    Row(
        "a worker: CPings",
        "one for each request",
        "none told",
        "`cping_timeout_ms`, 0 for none",
        WORKS,
        "arithmetic",
    ),
)
_COPY, _FILE = "`tenants-node-copy`", "`tenants-node`"
DESIGN_TARGETS: tuple[Row, ...] = (  # targets of the design and the measured results
    Row(
        "260,000 tenants in the copy: processor time of a request over that at 100",
        "[[tenants-node-copy.request_us@260000/100]], of tenants in use; of 2,000 that were not of late "
        "[[tenants-node-copy.cold_request_us@260000/100]]",
        "1.1 times",
        "",
        "",
        _COPY,
    ),
    Row(
        "ready, over a node with 100; in all",
        "[[tenants-node-copy.ready_s@260000/100]]; [[tenants-node-copy.ready_s@260000]]",
        "2 times; 10 s",
        "",
        "",
        _COPY,
    ),
    Row(
        "resident, over a node with 100: at its start; after requests of 2,050 tenants",
        "[[tenants-node-copy.resident_mb@260000-100]]; [[tenants-node-copy.later_mb@260000-100]]",
        "64 MB",
        "",
        "",
        _COPY,
    ),
    Row(
        "a change, over that at 1,000",
        "[[tenants-node-copy.change_ms@260000/1000]]",
        "2 times",
        "",
        "",
        _COPY,
    ),
    Row(
        "added for 99 in 100 at 272 a second, 260,000 tenants",
        "[[tenants-node-copy.added_p99_ms@260000]]; in the best of its rounds "
        "[[tenants-node-copy.added_p99_ms@260000~least]], at 100 "
        "[[tenants-node-copy.added_p99_ms@100~least]]; of tenants that were not in use, in the best "
        "[[tenants-node-copy.cold_added_p99_ms@260000~least]]",
        "5.7 ms",
        "",
        "",
        _COPY,
    ),
    Row(
        "an operator's file with 20,000 tenants: ready",
        "[[tenants-node.ready_s@20000]]",
        "10 s",
        "",
        "",
        _FILE,
    ),
    Row(
        "processor time of a request over that with 10",
        "[[tenants-node.request_us@20000/10]]; before, 5,000: [[before/tenants-node.request_us@5000/10]]",
        "1.25 times",
        "",
        "",
        _FILE,
    ),
    Row(
        "3,600 hollow nodes, the ordinary day: the slowest of [[fleet/day-3600.changes]] changes on 99.9 %, "
        "on all that live, in s",
        "[[fleet/day-3600.to_999_permille_most_s]], [[fleet/day-3600.to_all_most_s]]",
        "8, 16",
        "",
        "",
        "`fleet/day-3600`",
    ),
    Row(
        "the same, [[fleet/thousand-3600.changes]] at 20 a second; how many past 8 s on 99.9 %, past 16 s on "
        "all",
        "[[fleet/thousand-3600.to_999_permille_most_s]], [[fleet/thousand-3600.to_all_most_s]]; "
        "[[fleet/thousand-3600.past_8_s_for_999_permille]], [[fleet/thousand-3600.past_16_s_for_all]]",
        "8, 16; 0, 0",
        "",
        "",
        "`fleet/thousand-3600`",
    ),
    Row(
        "the same with a rack of 40 away for 20 s",
        "[[fleet/rack-3600.to_999_permille_most_s]], [[fleet/rack-3600.to_all_most_s]]; "
        "[[fleet/rack-3600.past_8_s_for_999_permille]], [[fleet/rack-3600.past_16_s_for_all]]",
        "8, 16; 0, 0",
        "",
        "",
        "`fleet/rack-3600`",
    ),
    Row(
        "the same, a burst of [[fleet/burst-3600.changes]] in 10 s",
        "[[fleet/burst-3600.to_999_permille_most_s]], [[fleet/burst-3600.to_all_most_s]]",
        "8, 16",
        "",
        "",
        "`fleet/burst-3600`",
    ),
    Row(
        "bytes a second that a node sends, in the mean: the ordinary day; in the half minute of the burst; "
        "in the minute of 1,000 changes with a rack away",
        "[[fleet/day-3600.sent_bytes_a_second_mean]]; "
        "[[fleet/burst-3600.sent_bytes_a_second_mean]]; [[fleet/rack-3600.sent_bytes_a_second_mean]]",
        "3,000",
        "",
        "",
        "these three",
    ),
    Row(
        "processor time in %, decisions and seals without sockets: the same three",
        "[[fleet/day-3600.core_percent]]; [[fleet/burst-3600.core_percent]]; "
        "[[fleet/rack-3600.core_percent]]",
        "3.5",
        "",
        "",
        "these three",
    ),
    Row(
        "a region apart for an hour with changes on both sides, 150 members: all have all after its return, "
        "in s; nodes with other rows",
        "[[fleet/region-hour-150.all_level_after_return_s]]; [[fleet/region-hour-150.nodes_with_other_rows]]",
        "16; 0",
        "",
        "",
        "`fleet/region-hour-150`",
    ),
)
ROLES = {"node": NODE_ROWS, "control": CONTROL_ROWS, "list": REGISTRY_ROWS, "around": PEER_ROWS}


def missing_mechanisms(slope: Slope) -> list[MissingMechanism]:
    """Return the missing mechanisms, by the fleet size at which they are needed, smallest first."""
    idle_fixed, idle_slope = slope("callers-idle", "core")
    workers_per_node = ratio("routes", "nodes")
    list_bytes_per_s = derived("list_push_mb_per_s") * 1e6
    mechanisms = [
        MissingMechanism(
            "placing tenants on parts of the fleet",
            lambda: 2,
            "a node knows the keys that it has seen itself: a repeat that comes to another of two runs "
            "again; of a tenant's [[derived.tenant_requests_per_s]] each node gets one in "
            "[[derived.tenant_returns_s]], so shares, guarantees and results tell nothing of the whole, "
            "and no tenant is still in memory, whose places are filled in [[derived.in_memory_s]]: each "
            "request reads the copy, at [[tenants-node-copy.cold_request_us@260000]] in place of "
            "[[tenants-node-copy.request_us@260000]] of processor time",
            "rendezvous over the live members, a few nodes a tenant; it needs the table on all first",
        ),
        MissingMechanism(
            "callers' subsets",
            lambda: MAX_CONNECTIONS / ratio("callers", "nodes"),
            "each caller at each node: [[derived.callers_per_node]] connections for each node of the "
            "fleet, against 400",
            "deterministic subsets by zone, told with the list",
        ),
        MissingMechanism(
            "one poller for idle connections of web servers",
            lambda: (expected("control_core") / 100 - idle_fixed) / idle_slope / ratio("callers", "nodes"),
            "each idle connection has a thread that looks five times a second whether the node leaves: "
            "at 400 of them [[callers-idle.core@400]] of a core, against 0.035 for all control",
            "the platform's poller, which reads all its callers in one thread",
        ),
        MissingMechanism(
            "facts of workers by need",
            lambda: MAX_OBSERVATIONS / workers_per_node,
            "a fresh node heeds the first 512 facts; an answer past 512 KB is not taken at all",
            "only what is away, and only of workers in use",
        ),
        MissingMechanism(
            "descriptors of workers in use only",
            lambda: SOCKETS / WORKER_CONNECTIONS / workers_per_node,
            "16 for each worker are kept from callers, of 65,536",
            "a bound on connections to all workers together, idle ones let go",
        ),
        MissingMechanism(
            "subsets at workers",
            lambda: CONTAINER_MAX_CONNECTIONS / WORKER_CONNECTIONS,
            "16 connections of each node, against 8,192 of a container",
            "the same bound, and tenants on parts of the fleet",
        ),
        MissingMechanism(
            "the list service's own design",
            lambda: expected("nodes") * (LINK_BYTES_PER_S / list_bytes_per_s) ** (1 / 3),
            "the whole list to each caller at each change grows with the cube of the fleet: "
            "[[derived.list_push_mb_per_s]] a machine at 3,600 nodes, against 125",
            "entries that changed, numbered, as the tenants' table has them; a tree of machines",
        ),
        MissingMechanism(
            "room for more members",
            lambda: MAX_MEMBERS * expected("nodes") / derived("members_remembered"),
            f"[[derived.members_remembered]] are remembered at 3,600, against {MAX_MEMBERS:,}",
            "shorter memory of those that left; a larger table",
        ),
    ]
    return sorted(mechanisms, key=lambda mechanism: mechanism.limit_nodes())
