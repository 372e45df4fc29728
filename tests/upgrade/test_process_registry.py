"""Registry of the processes of a node."""

import os
from pathlib import Path

from reelusher.upgrade.process_registry import ProcessRegistry


def test_successor_is_a_process_started_later_that_is_ready_and_alive(tmp_path: Path) -> None:
    old = ProcessRegistry(tmp_path, "n/3")
    assert not old.has_successor()
    new, other = ProcessRegistry(tmp_path, "n/3"), ProcessRegistry(tmp_path, "n4")
    other.mark_ready()
    assert not old.has_successor()  # `new` does not serve yet
    new.mark_ready()
    assert old.has_successor()
    assert not new.has_successor()
    os.close(new._descriptor)  # as the kernel does when a process ends
    assert not old.has_successor()
    assert not new._path.exists()
