"""Runs routing policies, one per instance, behind the simulator's line protocol.

The adapter only translates between the protocol and ``interface.py``. All decisions are made by the policies.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from ringledge.routing.interface import EndpointUpdate, RoutingEvent, ServerEntry
from ringledge.routing.policy import Policy
from ringledge.routing.simulator_decoder import (
    ENTRY_FIELDS,
    EVENTS,
    IGNORED_EVENTS,
    UPDATE_KINDS,
    Fields,
    router_settings,
    translate,
)
from ringledge.routing.simulator_encoder import action_line


class MalformedError(Exception):
    """Raised for a line that violates the protocol."""


class SimulatorAdapter:
    """Parses batches line by line and delivers the events of each instance to its policy.

    A batch begins with ROUND and ends with EOB. AT names the instance that the following lines belong to.
    """

    def __init__(self) -> None:
        self.policies: dict[int, Policy] = {}  # by instance
        self.instance: int | None = None  # instance of the last AT line
        self.now_ms: float | None = None  # time of the batch, None between batches
        self.replies: dict[int, list[str]] = {}  # reply lines by instance
        self.update_fields: Fields = {}  # fields of the last ROSTER_CHANGE line
        self.missing_entries = 0  # M lines that the last ROSTER_CHANGE announced and that are outstanding
        self.entries: list[ServerEntry] = []

    def handle_line(self, text: str) -> list[str] | None:
        """Handle one line. Return the lines of the reply if the line ends a batch."""
        if not text:
            return None
        name, *parts = text.split(" ")
        fields = dict(part.split("=", 1) for part in parts)
        if name == "ROUND":
            self._begin_batch(float(fields["wall_ms"]))
            return None
        if self.now_ms is None:
            raise MalformedError(f"{name} outside a batch")
        if (name == "M") != (self.missing_entries > 0):
            raise MalformedError(f"{name} where the server list holds {self.missing_entries} more entries")
        if name == "EOB":
            self.now_ms = None
            return [*self._reply_lines(), "NEXT"]
        self._handle_message(name, fields)
        return None

    def _begin_batch(self, now_ms: float) -> None:
        if self.now_ms is not None:
            raise MalformedError("ROUND inside a batch")
        self.now_ms = now_ms
        self.replies = {}
        self.instance = None

    def _handle_message(self, name: str, fields: Fields) -> None:
        """Handle one message within a batch."""
        match name:
            case "M":
                self.entries.append(ServerEntry(**translate(fields, ENTRY_FIELDS)))
                self.missing_entries -= 1
                self._deliver_complete_list()
            case "AT":
                self.instance = int(fields["dispatcher"])
            case "CONFIGURE":
                self.policies[self._current_instance()] = Policy(
                    router_settings(fields), int(fields["rng_seed"])
                )
            case "RETIRE":
                self.policies.pop(self._current_instance(), None)
                self.replies.pop(self._current_instance(), None)
            case "ROSTER_CHANGE":
                self.update_fields = fields
                self.entries = []
                self.missing_entries = int(fields.get("rows", 0))
                self._deliver_complete_list()
            case _ if name in EVENTS:
                self._deliver(EVENTS[name](fields))
            case _ if name not in IGNORED_EVENTS:
                raise MalformedError(f"unknown message {name}")

    def _current_instance(self) -> int:
        """Return the instance that the last AT line named."""
        if self.instance is None:
            raise MalformedError("no AT line names the instance")
        return self.instance

    def _deliver_complete_list(self) -> None:
        """Deliver the server list once all its entries have arrived."""
        if self.missing_entries == 0:
            kind = UPDATE_KINDS[self.update_fields["form"]]
            version = int(self.update_fields.get("epoch", 0))
            self._deliver(EndpointUpdate(kind, version, tuple(self.entries)))

    def _deliver(self, event: RoutingEvent) -> None:
        """Deliver an event to the instance's policy and append its actions to the reply."""
        instance = self._current_instance()
        if instance not in self.policies:
            raise MalformedError(f"instance {instance} has not been configured")
        assert self.now_ms is not None
        try:
            actions = self.policies[instance].handle(self.now_ms, event)
        except Exception as error:  # the protocol requires a report of a failed decision, not an exit
            text = " ".join(f"{type(error).__name__}: {error}".split())
            self.replies.setdefault(instance, []).append(f"INTERNAL_ERROR msg={text}")
            return
        if actions:
            self.replies.setdefault(instance, []).extend(map(action_line, actions))

    def _reply_lines(self) -> Iterator[str]:
        """Yield the reply to the batch, grouped by instance."""
        for instance, lines in self.replies.items():
            yield f"FROM dispatcher={instance}"
            yield from lines


def serve(lines: Iterable[bytes], out: TextIO, err: TextIO) -> int:
    """Reply to batches until the input ends. Return the exit code of the process."""
    adapter = SimulatorAdapter()
    for number, line in enumerate(lines, 1):
        try:
            reply = adapter.handle_line(line.decode("utf-8").rstrip("\r\n"))
        except (MalformedError, KeyError, ValueError, TypeError) as error:
            reason = f"missing or unknown {error}" if isinstance(error, KeyError) else error
            print(f"line {number}: malformed: {reason}", file=err)
            return 1
        if reply is not None:
            out.write("\n".join(reply) + "\n")
            out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout, sys.stderr))
