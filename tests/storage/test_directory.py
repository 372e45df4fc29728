"""The directory of the file system: its lock."""

from pathlib import Path

import pytest

from reelusher.storage.directory import LockedDirectory
from reelusher.storage.errors import DirectoryLockedError


def test_directory_is_locked_for_other_processes(tmp_path: Path) -> None:
    first = LockedDirectory(tmp_path / "state")
    with pytest.raises(DirectoryLockedError, match="in use"):
        LockedDirectory(tmp_path / "state")
    first.close()
    LockedDirectory(tmp_path / "state").close()
