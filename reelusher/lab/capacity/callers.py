"""Connections of callers: descriptors, threads, bytes and processor time each, idle ones of a hosted node."""

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

SECONDS = 5.0


def idle(size: int) -> Figures:
    """Measure a node with so many connections that have asked once and wait."""
    with tempfile.TemporaryDirectory() as name:
        file = site.operator_file(10, [("127.0.0.1", 1)], sockets=8192)
        with site.hosted_node(file, Path(name)) as made:
            pid, before = made.process.pid, site.status_of(made.process.pid)
            socks = []
            for _ in range(size):
                sock = connect(made.ajp, 10.0)
                sock.settimeout(10.0)
                sock.sendall(ajp13.packet(ajp13.TO_CONTAINER, bytes([ajp13.CPING])))
                require(sock.recv(16), "no CPong")
                socks.append(sock)
            time.sleep(1.0)
            after, took = site.status_of(pid), site.processor_s(pid)
            began = time.monotonic()
            time.sleep(SECONDS)
            core = (site.processor_s(pid) - took) / (time.monotonic() - began)
            for sock in socks:
                sock.close()
    return {
        "descriptors_each": (after["descriptors"] - before["descriptors"]) / size,
        "threads_each": (after["threads"] - before["threads"]) / size,
        "bytes_each": (after["resident"] - before["resident"]) / size,
        "core": core,
    }


def left(size: int) -> Figures:
    """Count the connections that callers are left of 65,536 descriptors, beside so many workers."""
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
        measure=idle,
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
        measure=left,
        repeats=1,
        units={"connections_left": ""},
        notes=("16 connections are kept for each worker",),
    ),
]
