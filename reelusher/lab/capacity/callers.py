"""Scale tests of callers' connections: what an idle one costs a hosted node, and how many a node can hold."""

import tempfile
import time
from functools import partial
from pathlib import Path

from reelusher.assembly.descriptors import max_caller_connections
from reelusher.codecs import ajp13
from reelusher.lab.capacity import site
from reelusher.lab.capacity.harness import Figures, Scale, require
from reelusher.net.sockets import connect
from reelusher.node import Node

MEASURED_S = 5.0


def measure_idle_connections(size: int) -> Figures:
    """Measure a node with `size` connections that have sent one CPing each and are idle since."""
    with tempfile.TemporaryDirectory() as name:
        operator_file = site.operator_file(10, [("127.0.0.1", 1)], sockets=8192)
        with site.hosted_node(operator_file, Path(name)) as hosted:
            pid, status_before = hosted.process.pid, site.status_of(hosted.process.pid)
            socks = []
            for _ in range(size):
                sock = connect(hosted.ajp, 10.0)
                sock.settimeout(10.0)
                sock.sendall(ajp13.packet(ajp13.TO_CONTAINER, bytes([ajp13.CPING])))
                require(sock.recv(16), "no CPong")
                socks.append(sock)
            time.sleep(1.0)
            status_after, processor_before_s = site.status_of(pid), site.processor_s(pid)
            began_s = time.monotonic()
            time.sleep(MEASURED_S)
            core = (site.processor_s(pid) - processor_before_s) / (time.monotonic() - began_s)
            for sock in socks:
                sock.close()
    return {
        "descriptors_each": (status_after["descriptors"] - status_before["descriptors"]) / size,
        "threads_each": (status_after["threads"] - status_before["threads"]) / size,
        "bytes_each": (status_after["resident"] - status_before["resident"]) / size,
        "core": core,
    }


def count_connections_left(size: int) -> Figures:
    """Return how many connections of callers 65,536 descriptors allow beside those for `size` workers."""
    node = Node(site.config(1, size, sockets=65_536))
    node.close()
    return {"connections_left": float(max_caller_connections(node.config))}


SCALES = [
    Scale(
        "callers-idle",
        "idle connections of web servers at a hosted node",
        size_unit="connections",
        sizes=(100, 200, 400, 800),
        quick=(20,),
        measure=measure_idle_connections,
        repeats=3,
        cheap=False,
        target=10_000,
        units={"descriptors_each": "", "threads_each": "", "bytes_each": "bytes", "core": ""},
        notes=("core: part of one core that the connections take while nothing is asked",),
    ),
    partial(Scale, size_unit="workers", target=41_000)(
        "callers-left",
        "connections that callers are left of 65,536 descriptors",
        sizes=(500, 1000, 2000, 4000),
        quick=(10, 20, 40, 80),
        measure=count_connections_left,
        repeats=1,
        units={"connections_left": ""},
        notes=("16 connections are kept for each worker",),
    ),
]
