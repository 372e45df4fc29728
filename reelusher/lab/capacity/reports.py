"""Reports to the list service: how many a second, how they bunch, and what one costs each side."""

import json
from functools import partial
from random import Random

from reelusher.codecs import http1
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call
from reelusher.lab.fleet.virtual import VirtualClock
from reelusher.pacing.report_schedule import REGISTRATION_TTL_S, ReportFailure, ReportSchedule

ANSWER_S = 0.002  # of the list, on the virtual clock
SLOT_S = 0.1
START_S = 2.0  # within which all are started, as after the loss of a zone
REST_S = 60.0
LOST = 0.02  # part of the reports that get no answer


class _Reports:
    """Nodes that report, each by a cadence of its own."""

    def __init__(self, count: int) -> None:
        self.line, self.random = VirtualClock(), Random(1)
        self.made = [0] * int((START_S + REST_S) / SLOT_S + 1)
        self.last = [0.0] * count
        self.lapsed = 0
        for number in range(count):
            cadence = ReportSchedule(Random(f"report {number}"))
            self.line.call_later(
                self.random.uniform(0, START_S) + cadence.first_delay_s(), self.report, number, cadence
            )

    def report(self, number: int, cadence: ReportSchedule) -> None:
        """Make one report."""
        sent = self.line.now
        slot = int(sent / SLOT_S)
        if slot < len(self.made):
            self.made[slot] += 1
        if self.random.random() < LOST:
            self.line.call_later(cadence.timeout_s(), self.silent, number, cadence)
        else:
            self.line.call_later(ANSWER_S, self.counted, number, cadence, sent)

    def counted(self, number: int, cadence: ReportSchedule, sent: float) -> None:
        """Take an answer."""
        if self.last[number] and sent - self.last[number] > REGISTRATION_TTL_S:
            self.lapsed += 1
        self.last[number] = sent
        self.line.call_later(cadence.on_success(sent, self.line.now), self.report, number, cadence)

    def silent(self, number: int, cadence: ReportSchedule) -> None:
        """Get no answer."""
        self.line.call_later(
            cadence.on_failure(ReportFailure.NO_REPLY, self.line.now), self.report, number, cadence
        )


def cadences(size: int) -> Figures:
    """Let nodes report on a virtual clock, started within two seconds, 2 % of the answers lost."""
    played = _Reports(size)
    played.line.run(START_S + REST_S)
    settled = played.made[int((START_S + REST_S / 2) / SLOT_S) : -1]
    mean = sum(settled) / len(settled) / SLOT_S
    return {
        "reports_per_s": mean,
        "each_per_s": mean / size,
        "machine_per_s": mean / expected("control_machines"),
        "most_over_mean": max(settled) / SLOT_S / mean,
        "start_over_mean": max(played.made) / SLOT_S / mean,
        "lapsed": float(played.lapsed),
    }


def handling(size: int) -> Figures:
    """Measure a list that takes reports of so many nodes: reading one, noting it, and the whole list."""
    body = json.dumps({"status": "passing"}, separators=(",", ":")).encode()
    asked = [
        http1.request(
            "PUT",
            f"/catalog/register/node-{number}",
            body,
            {"Host": "127.0.0.1:8500", "Content-Type": "application/json"},
        )
        for number in range(size)
    ]
    answer = http1.response(204)
    last: dict[str, float] = {}
    turn = 0

    def take() -> None:
        nonlocal turn
        turn = (turn + 1) % size
        for message in http1.Decoder().feed(asked[turn]):
            last[message.start[1].rpartition("/")[2]] = json.loads(message.body)["status"] == "passing"
            http1.response(204)

    def whole() -> bytes:
        return json.dumps(
            [{"name": f"node-{number}", "address": f"10.0.0.1:{number}"} for number in range(size)]
        ).encode()

    return {
        "report_bytes": float(len(asked[0]) + len(answer)),
        "take_us": cpu_us_per_call(take),
        "list_kb": len(whole()) / 1000,
        "write_list_ms": cpu_us_per_call(whole) / 1000,
    }


_OF = partial(Scale, size_unit="nodes", target=expected("nodes"))
SCALES = [
    _OF(
        "list-reports",
        "reports of nodes by the cadence of pacing/cadence.py, virtual clock",
        sizes=(200, 800, 1800, 3600),
        quick=(10, 20, 40, 80),
        measure=cadences,
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
        measure=handling,
        units={"report_bytes": "bytes", "take_us": "µs", "list_kb": "KB", "write_list_ms": "ms"},
        notes=("the list service is not this program: its sockets and its store are not in it",),
    ),
]
