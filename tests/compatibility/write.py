"""Writes the golden files to a folder, for comparison with those written by revision e65138a.

python -m tests.compatibility.write FOLDER
"""

from __future__ import annotations

import sys
from pathlib import Path

from tests.compatibility.command_line import write_command_line
from tests.compatibility.datagrams import write_datagrams
from tests.compatibility.exchange_files import write_exchange
from tests.compatibility.golden import trace_text
from tests.compatibility.key_files import write_key_files
from tests.compatibility.queue_files import write_queues
from tests.compatibility.settings_files import write_settings
from tests.compatibility.snapshots import write_snapshots
from tests.compatibility.traces import TRACES


def files() -> dict[str, bytes]:
    """All golden files, by name."""
    traces = {f"trace-{name}.txt": trace_text(steps()).encode() for name, steps in TRACES.items()}
    formats = write_settings() | write_datagrams() | write_snapshots() | write_queues()
    formats |= write_key_files()
    return traces | formats | write_command_line() | write_exchange()


def main(folder: Path) -> None:
    """Writes all golden files to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, content in files().items():
        (folder / name).write_bytes(content)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
