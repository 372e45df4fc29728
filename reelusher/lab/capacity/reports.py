"""Reports of nodes to the service registry: their rate and bunching, and what one costs to handle."""

import json
from functools import partial
from random import Random

from reelusher.codecs import http1
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call
from reelusher.lab.fleet.virtual import VirtualClock
from reelusher.pacing.report_schedule import REGISTRATION_TTL_S, ReportFailure, ReportSchedule

REPLY_DELAY_S = 0.002  # until the registry replies
SLOT_S = 0.1  # period in which reports are counted together
STARTUP_S = 2.0  # in which all nodes start, as after the loss of a zone
RUN_S = 60.0  # after the startup
LOSS = 0.02  # fraction of the reports that get no reply


class _ReportSimulation:
    """Simulated nodes that report to a registry, each by its own schedule."""

    def __init__(self, count: int) -> None:
        self.clock, self.random = VirtualClock(), Random(1)
        self.reports_per_slot = [0] * int((STARTUP_S + RUN_S) / SLOT_S + 1)
        self.last_report_s = [0.0] * count  # when each node sent its last report that got a reply; 0: none
        self.lapsed = 0  # registrations that had expired when the next report arrived
        for number in range(count):
            schedule = ReportSchedule(Random(f"report {number}"))
            self.clock.call_later(
                self.random.uniform(0, STARTUP_S) + schedule.first_delay_s(), self.report, number, schedule
            )

    def report(self, number: int, schedule: ReportSchedule) -> None:
        """Send one report of a node."""
        sent_s = self.clock.now
        slot = int(sent_s / SLOT_S)
        if slot < len(self.reports_per_slot):
            self.reports_per_slot[slot] += 1
        if self.random.random() < LOSS:
            self.clock.call_later(schedule.timeout_s(), self.on_timeout, number, schedule)
        else:
            self.clock.call_later(REPLY_DELAY_S, self.on_reply, number, schedule, sent_s)

    def on_reply(self, number: int, schedule: ReportSchedule, sent_s: float) -> None:
        """Renew a node's registration and schedule its next report."""
        if self.last_report_s[number] and sent_s - self.last_report_s[number] > REGISTRATION_TTL_S:
            self.lapsed += 1
        self.last_report_s[number] = sent_s
        self.clock.call_later(schedule.on_success(sent_s, self.clock.now), self.report, number, schedule)

    def on_timeout(self, number: int, schedule: ReportSchedule) -> None:
        """Schedule a node's next report after one without a reply."""
        self.clock.call_later(
            schedule.on_failure(ReportFailure.NO_REPLY, self.clock.now), self.report, number, schedule
        )


def measure_report_rates(size: int) -> Figures:
    """Measure the report rates of `size` nodes that start within two seconds; 2 % of the replies are lost."""
    simulation = _ReportSimulation(size)
    simulation.clock.run(STARTUP_S + RUN_S)
    settled = simulation.reports_per_slot[int((STARTUP_S + RUN_S / 2) / SLOT_S) : -1]
    mean = sum(settled) / len(settled) / SLOT_S
    return {
        "reports_per_s": mean,
        "each_per_s": mean / size,
        "machine_per_s": mean / expected("control_machines"),
        "most_over_mean": max(settled) / SLOT_S / mean,
        "start_over_mean": max(simulation.reports_per_slot) / SLOT_S / mean,
        "lapsed": float(simulation.lapsed),
    }


def measure_handling(size: int) -> Figures:
    """Measure a registry of `size` nodes: handling one report, and encoding the list of all nodes."""
    body = json.dumps({"status": "passing"}, separators=(",", ":")).encode()
    requests = [
        http1.request(
            "PUT",
            f"/catalog/register/node-{number}",
            body,
            {"Host": "127.0.0.1:8500", "Content-Type": "application/json"},
        )
        for number in range(size)
    ]
    response = http1.response(204)
    passing: dict[str, float] = {}
    next_index = 0

    def handle_report() -> None:
        nonlocal next_index
        next_index = (next_index + 1) % size
        for message in http1.Decoder().feed(requests[next_index]):
            passing[message.start[1].rpartition("/")[2]] = json.loads(message.body)["status"] == "passing"
            http1.response(204)

    def encode_list() -> bytes:
        return json.dumps(
            [{"name": f"node-{number}", "address": f"10.0.0.1:{number}"} for number in range(size)]
        ).encode()

    return {
        "report_bytes": float(len(requests[0]) + len(response)),
        "take_us": cpu_us_per_call(handle_report),
        "list_kb": len(encode_list()) / 1000,
        "write_list_ms": cpu_us_per_call(encode_list) / 1000,
    }


_OF = partial(Scale, size_unit="nodes", target=expected("nodes"))
SCALES = [
    _OF(
        "list-reports",
        "reports of nodes by the cadence of pacing/cadence.py, virtual clock",
        sizes=(200, 800, 1800, 3600),
        quick=(10, 20, 40, 80),
        measure=measure_report_rates,
        repeats=1,
        units={
            "reports_per_s": "/s",
            "each_per_s": "/s",
            "machine_per_s": "/s",
            "most_over_mean": "",
            "start_over_mean": "",
            "lapsed": "",
        },
        notes=(
            "all start within 2 s, 2 % of the reports get no answer; the second half minute is told",
            "lapsed: entries that went off the list for want of a report, in the whole play",
        ),
    ),
    _OF(
        "list-handling",
        "what a report and the whole list cost whoever keeps the list, with this codec",
        sizes=(200, 800, 1800, 3600),
        quick=(10, 20, 40, 80),
        measure=measure_handling,
        units={"report_bytes": "bytes", "take_us": "µs", "list_kb": "KB", "write_list_ms": "ms"},
        notes=("the list service is not this program: its sockets and its store are not in it",),
    ),
]
