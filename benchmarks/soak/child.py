"""Run the program with the faults that a soak has for this conductor: python -m benchmarks.soak.child."""

from __future__ import annotations

import os
import runpy
import sys
from pathlib import Path

import orjson

from benchmarks.soak.shim import Faults, Window

OF_PROCESS = ("call_fails", "short_io", "disk_fails", "wall_step")


def main() -> None:
    """Install the faults, then be the program."""
    told = orjson.loads(Path(os.environ["SOAK_FAULTS"]).read_bytes())
    name, start_s = os.environ["SOAK_CONDUCTOR"], told["start_s"]
    windows, cut = [], dict[int, list[tuple[float, float]]]()
    for trouble in told["plan"]["troubles"]:
        from_s, until_s = start_s + trouble["at_s"], start_s + trouble["until_s"]
        if trouble["kind"] in OF_PROCESS and trouble["target"] == name:
            windows.append(Window(trouble["kind"], from_s, until_s, trouble["detail"]))
        elif trouble["kind"] == "path_silent":
            for server in (
                told["silenced"][trouble["target"]] if trouble["detail"]["zone"] else [trouble["target"]]
            ):
                cut.setdefault(told["ports"][server], []).append((from_s, until_s))
    faults = Faults(windows, told["plan"]["seed"], os.environ["TMPDIR"])
    faults.hung, faults.cut = (told["host"], told["hung_port"]), cut
    faults.install()
    sys.argv = ["ringledge"]
    runpy.run_module("ringledge", run_name="__main__")


if __name__ == "__main__":
    main()
