"""Faults on the network path to each server of a soak."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from benchmarks.soak.proxy import Link

Windows = list[tuple[float, float]]  # start and end in s of the monotonic clock


@dataclass(slots=True)
class ServerPath:
    """The path to one server, with its connections and faults."""

    server: str
    address: tuple[str, int]  # of the server behind the proxy
    links: set[Link] = field(default_factory=set)
    silent: Windows = field(default_factory=list)  # periods in which connections carry nothing
    split: Windows = field(default_factory=list)  # periods in which data is passed on in small pieces
    slow_reads: Windows = field(default_factory=list)  # periods in which requests are taken slowly
    # Periods in which a response resets its connection instead of passing.
    response_resets: Windows = field(default_factory=list)
    # Connections that were opened before one of these times carry nothing after it.
    forgotten_at: list[float] = field(default_factory=list)
    reset_at: list[float] = field(default_factory=list)  # times at which every connection is reset

    def silent_until(self) -> float:
        """The end of the current silence; 0 if there is none."""
        return _window_end(self.silent)

    def splits_writes(self) -> bool:
        """Whether data is passed on in small pieces now."""
        return _window_end(self.split) > 0.0

    def reads_slowly(self) -> bool:
        """Whether requests are taken from their connections slowly now."""
        return _window_end(self.slow_reads) > 0.0

    def resets_responses(self) -> bool:
        """Whether responses may reset their connections now."""
        return _window_end(self.response_resets) > 0.0


def make_paths(scenario: dict[str, Any]) -> dict[str, ServerPath]:
    """The paths of a scenario by server."""
    paths = {
        server: ServerPath(server, (scenario["host"], port))
        for server, port in scenario["server_ports"].items()
    }
    for fault in scenario["plan"]["troubles"]:
        window = (scenario["start_s"] + fault["at_s"], scenario["start_s"] + fault["until_s"])
        target = fault["target"]
        match fault["kind"]:
            case "path_silent":
                for server in scenario["silenced"][target] if fault["detail"]["zone"] else [target]:
                    paths[server].silent.append(window)
            case "path_stalls":
                paths[target].silent.append(window)
            case "path_forgets":
                paths[target].forgotten_at.append(window[0])
            case "path_pieces":
                paths[target].split.append(window)
            case "path_slow_reads":
                paths[target].slow_reads.append(window)
            case "path_breaks":
                paths[target].response_resets.append(window)
            case "path_reset":
                paths[target].reset_at.append(window[0])
    return paths


def _window_end(windows: Windows) -> float:
    now_s = time.monotonic()
    return max((until_s for from_s, until_s in windows if from_s <= now_s < until_s), default=0.0)
