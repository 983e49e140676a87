"""Serves the decision module on the simulator's protocol: lines in, lines out, one policy for each instance.

Only translates between the protocol and ``interface.py``; every decision is the policy's.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from ringledge.routing.interface import EndpointUpdate, RoutingEvent, ServerEntry
from ringledge.routing.policy import Policy
from ringledge.routing.simulator_decoder import ENTRY_FIELDS, EVENTS, FORMS, UNUSED_EVENTS, Fields, pick
from ringledge.routing.simulator_decoder import LOAD as LOAD
from ringledge.routing.simulator_decoder import settings as settings
from ringledge.routing.simulator_encoder import action_line


class MalformedError(Exception):
    """A line that doesn't follow the wire's format."""


class Host:
    """Reads batches line by line and delivers each instance's events to its policy."""

    def __init__(self) -> None:
        self.policies: dict[int, Policy] = {}
        self.instance: int | None = None
        self.now_ms: float | None = None
        self.replies: dict[int, list[str]] = {}
        self.list_fields: Fields = {}
        self.list_left = 0
        self.entries: list[ServerEntry] = []

    def handle_line(self, text: str) -> list[str] | None:
        """Handle one line; return the reply's lines when it ends a batch."""
        if not text:
            return None
        name, *parts = text.split(" ")
        fields = dict(part.split("=", 1) for part in parts)
        if name == "ROUND":
            if self.now_ms is not None:
                raise MalformedError("ROUND inside a batch")
            self.now_ms, self.replies, self.instance = float(fields["wall_ms"]), {}, None
            return None
        if self.now_ms is None:
            raise MalformedError(f"{name} outside a batch")
        if (name == "M") != (self.list_left > 0):
            raise MalformedError(f"{name} where the server list holds {self.list_left} more entries")
        if name == "M":
            self.entries.append(ServerEntry(**pick(fields, ENTRY_FIELDS)))
            self.list_left -= 1
            self.deliver_complete_list()
        elif name == "EOB":
            self.now_ms = None
            return [*self.reply_lines(), "NEXT"]
        elif name == "AT":
            self.instance = int(fields["dispatcher"])
        elif name == "CONFIGURE":
            self.policies[self.current_instance()] = Policy(settings(fields), int(fields["rng_seed"]))
        elif name == "RETIRE":
            self.policies.pop(self.current_instance(), None)
            self.replies.pop(self.current_instance(), None)
        elif name == "ROSTER_CHANGE":
            self.list_fields, self.entries = fields, []
            self.list_left = int(fields.get("rows", 0))
            self.deliver_complete_list()
        elif name in EVENTS:
            self.deliver(EVENTS[name](fields))
        elif name not in UNUSED_EVENTS:
            raise MalformedError(f"unknown message {name}")
        return None

    def current_instance(self) -> int:
        """The instance that the last AT line named."""
        if self.instance is None:
            raise MalformedError("no AT line names the instance")
        return self.instance

    def deliver_complete_list(self) -> None:
        """Deliver the server list once all its entries have come."""
        if self.list_left == 0:
            form, version = FORMS[self.list_fields["form"]], int(self.list_fields.get("epoch", 0))
            self.deliver(EndpointUpdate(form, version, tuple(self.entries)))

    def deliver(self, event: RoutingEvent) -> None:
        """Deliver an event to the instance's policy and keep its actions for the reply."""
        instance = self.current_instance()
        if instance not in self.policies:
            raise MalformedError(f"instance {instance} has not been configured")
        assert self.now_ms is not None
        try:
            actions = self.policies[instance].handle(self.now_ms, event)
        except Exception as error:  # the wire wants a failed decision reported, not an exit
            text = " ".join(f"{type(error).__name__}: {error}".split())
            self.replies.setdefault(instance, []).append(f"INTERNAL_ERROR msg={text}")
            return
        if actions:
            self.replies.setdefault(instance, []).extend(map(action_line, actions))

    def reply_lines(self) -> Iterator[str]:
        """The batch's reply, grouped by instance."""
        for instance, lines in self.replies.items():
            yield f"FROM dispatcher={instance}"
            yield from lines


def serve(lines: Iterable[bytes], out: TextIO, err: TextIO) -> int:
    """Answer batches until the input ends; return the process's exit code."""
    host = Host()
    for number, line in enumerate(lines, 1):
        try:
            reply = host.handle_line(line.decode("utf-8").rstrip("\r\n"))
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
