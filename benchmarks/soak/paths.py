"""The faults of the path to each server of a soak, from its plan."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from benchmarks.soak.proxy import Link

Windows = list[tuple[float, float]]  # monotonic times in s: from, until


@dataclass(slots=True)
class ServerPath:
    """The path to one server: its faults."""

    server: str
    address: tuple[str, int]  # of the server itself
    links: set[Link] = field(default_factory=set)
    silent: Windows = field(default_factory=list)
    pieces: Windows = field(default_factory=list)
    broken: Windows = field(default_factory=list)  # responses reset their connection instead of passing
    forgets: list[float] = field(default_factory=list)  # connections from before carry nothing more
    resets: list[float] = field(default_factory=list)  # when every connection is reset

    def quiet_until(self) -> float:
        """When the silence ends that is now; 0 where there is none."""
        return _until(self.silent)

    def in_pieces(self) -> bool:
        """Whether bytes come in pieces now."""
        return _until(self.pieces) > 0.0

    def breaks(self) -> bool:
        """Whether responses reset their connections now."""
        return _until(self.broken) > 0.0


def make_paths(told: dict[str, Any]) -> dict[str, ServerPath]:
    """The paths of a plan by server."""
    paths = {
        server: ServerPath(server, (told["host"], port)) for server, port in told["server_ports"].items()
    }
    for trouble in told["plan"]["troubles"]:
        window = (told["start_s"] + trouble["at_s"], told["start_s"] + trouble["until_s"])
        target = trouble["target"]
        match trouble["kind"]:
            case "path_silent":
                for server in told["silenced"][target] if trouble["detail"]["zone"] else [target]:
                    paths[server].silent.append(window)
            case "path_stalls":
                paths[target].silent.append(window)
            case "path_forgets":
                paths[target].forgets.append(window[0])
            case "path_pieces":
                paths[target].pieces.append(window)
            case "path_breaks":
                paths[target].broken.append(window)
            case "path_reset":
                paths[target].resets.append(window[0])
    return paths


def _until(windows: Windows) -> float:
    now_s = time.monotonic()
    return max((until_s for from_s, until_s in windows if from_s <= now_s < until_s), default=0.0)
