"""Runs the router with a soak's faults for this process: python -m benchmarks.soak.child."""

from __future__ import annotations

import os
import runpy
import sys
from pathlib import Path

import orjson

from benchmarks.soak.shim import FaultWindow, ProcessFaults

PROCESS_FAULT_KINDS = ("call_fails", "short_io", "disk_fails", "wall_step")


def main() -> None:
    """Install the faults, then run the router in this process."""
    scenario = orjson.loads(Path(os.environ["SOAK_FAULTS"]).read_bytes())
    router, start_s = os.environ["SOAK_CONDUCTOR"], scenario["start_s"]
    windows, outages = [], dict[int, list[tuple[float, float]]]()
    for fault in scenario["plan"]["troubles"]:
        from_s, until_s = start_s + fault["at_s"], start_s + fault["until_s"]
        if fault["kind"] in PROCESS_FAULT_KINDS and fault["target"] == router:
            windows.append(FaultWindow(fault["kind"], from_s, until_s, fault["detail"]))
        elif fault["kind"] == "path_silent":
            for server in (
                scenario["silenced"][fault["target"]] if fault["detail"]["zone"] else [fault["target"]]
            ):
                outages.setdefault(scenario["ports"][server], []).append((from_s, until_s))
    faults = ProcessFaults(windows, scenario["plan"]["seed"], os.environ["TMPDIR"])
    faults.dead_address, faults.outages = ((scenario["host"], scenario["hung_port"]), outages)
    faults.install()
    sys.argv = ["ringledge"]
    runpy.run_module("ringledge", run_name="__main__")


if __name__ == "__main__":
    main()
