"""Runs several processes of the program as members of one fleet, with UDP relays between them."""

from __future__ import annotations

import json
import shutil
import signal
import threading
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Self

from tests.fleet.links import Links
from tests.fleet.receiver import WAIT_LIMIT_S, Receiver
from tests.fleet.record import violations
from tests.loopback import Node, Process, StandIn

KEY = "5c" * 32
MEMBERS = """enabled = true
cluster = "rig"
key_file = "{folder}/members.key"
listen = "{listen}"
site = "east"
[peers]
{peers}
[probe]
interval_s = 0.2
answer_s = 0.05
"""
DUTIES = "enabled = true\nvoters = {voters}\nlease_s = {lease_s}\nlongest_s = {lease_s}\n"


class Fleet:
    """Members c1, c2, ..., each a process of the program with its own stand-in servers.

    If `mixed` is given, all members share these servers and have no others. `files` holds additional settings
    files, by name.
    """

    def __init__(
        self,
        folder: Path,
        members: int = 3,
        voters: int = 3,
        lease_s: float = 1.0,
        duties: tuple[str, ...] = ("watch",),
        files: Mapping[str, str] | None = None,
        listen: dict[str, str]
        | None = None,  # listen address by member; by default the system chooses the port
        mixed: tuple[StandIn, ...] = (),
        **rig: Any,
    ) -> None:
        self.names = [f"c{number + 1}" for number in range(members)]
        self.links, self.receiver = Links(self.names), Receiver()
        self._folder, self._stopped = folder, set[str]()
        self._unprocessed = list[
            tuple[str, dict[str, Any]]
        ]()  # log lines by member, read while waiting for another line
        self._files = {"rig.json": json.dumps({"receiver": self.receiver.address, "duties": duties} | rig)}
        self._files |= {"members.key": KEY} | dict(files or {})
        self._mixed = mixed
        self._voters = self.names[:voters]
        voter_names = json.dumps(self._voters)
        self._files["duties.toml"] = DUTIES.format(voters=voter_names, lease_s=lease_s)
        self._listen = listen or {}
        self.nodes = {name: self._node(name) for name in self.names}

    def _node(self, name: str) -> Node:
        folder = self._folder / name
        folder.mkdir(parents=True)
        peers = "\n".join(f'{other} = "{address}"' for other, address in self.links.peers(name).items())
        files = self._files | {
            "members.toml": MEMBERS.format(
                folder=folder, peers=peers, listen=self._listen.get(name, "127.0.0.1:0")
            )
        }
        server_count = 0 if self._mixed else 1
        counts: dict[str, Any] = {"readers": server_count, "writers": server_count, "mixed": self._mixed}
        return Node(folder, files=files, name=name, module="tests.fleet.child", **counts)

    def __enter__(self) -> Self:
        self.start(*self.names)
        for name in self._voters:  # until its acceptor is active, a voter needs every other voter
            self.nodes[name].logged("lease_acceptor_activated")
            self._unprocessed += [(name, line) for line in self.nodes[name].skipped_lines]
        return self

    def start(self, *names: str) -> None:
        """Starts these members for the first time."""
        self._run_for_all(list(names), lambda name: self._start(name, True))

    def _run_for_all(self, names: list[str], do: Any) -> None:
        """Runs `do` for all members in parallel, since a start takes a second or more."""
        failed = list[BaseException]()

        def run(name: str) -> None:
            try:
                do(name)
            except BaseException as error:
                failed.append(error)

        threads = [threading.Thread(target=run, args=(name,)) for name in names]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if failed:
            raise failed[0]

    def _start(self, name: str, first: bool) -> None:
        node = self.nodes[name]
        if first:
            node.__enter__()
        else:
            node.start(node.folder)
        self._unprocessed += [(name, line) for line in node.skipped_lines]
        listening = [line for line in node.skipped_lines if line["event"] == "member_listening"]
        line = listening[0] if listening else node.logged("member_listening")
        self.links.set_address(name, line["address"])

    def __exit__(self, *_: object) -> None:
        for node in self.nodes.values():
            if hasattr(node, "process"):
                node.process.kill()  # SIGKILL ends a suspended process as well
                node.__exit__()
        self.links.close()
        self.receiver.close()

    # Faults

    def kill(self, name: str) -> float:
        """Kills the member with SIGKILL; returns the time."""
        at_s = time.monotonic()
        self.nodes[name].kill()
        return at_s

    def signal(self, name: str, number: signal.Signals) -> float:
        """Sends a signal to the member; returns the time."""
        at_s = time.monotonic()
        self.nodes[name].process.send_signal(number)
        return at_s

    def restart(self, *names: str, empty: bool = True) -> None:
        """Restarts members that have ended; `empty` deletes their stored state, but not their records."""

        def restart_one(name: str) -> None:
            node = self.nodes[name]
            if empty:
                for path in node.folder.iterdir():
                    if path.name not in (*self._files, "members.toml", "config.json", "record.jsonl"):
                        shutil.rmtree(path) if path.is_dir() else path.unlink()
            self._start(name, False)

        self._run_for_all(list(names), restart_one)

    def succeed(self, name: str) -> Process:
        """Starts a successor process of a member beside it, as an upgrade does."""
        node, successor = self.nodes[name], Process()
        successor.module = node.module
        node.extra_processes.append(successor)
        successor.start(node.folder)
        listening = [line for line in successor.skipped_lines if line["event"] == "member_listening"]
        line = listening[0] if listening else successor.logged("member_listening")
        self.links.set_address(name, line["address"])
        return successor

    # Observations

    def wait_for_holder(self, duty: str, above: int = 0) -> tuple[str, int]:
        """Waits until a member logs that it holds a duty under a token above `above`.

        Returns the member and the token.
        """

        def token(line: dict[str, Any]) -> int | None:
            begins = line["event"] == "duty_lease_changed" and (line["duty"], line["what"]) == (duty, "begun")
            return line["token"] if begins and line["token"] > above else None

        deadline_s = time.monotonic() + WAIT_LIMIT_S
        while time.monotonic() < deadline_s:
            # The duty may have begun before the voter logged that its acceptor is active.
            while self._unprocessed:
                name, line = self._unprocessed.pop(0)
                if (held := token(line)) is not None:
                    return name, held
            for name, node in self.nodes.items():
                while not node.lines.empty():
                    if (held := token(node.lines.get_nowait())) is not None:
                        return name, held
            time.sleep(0.01)
        raise AssertionError(f"no member acquired {duty}")

    def records(self) -> list[Path]:
        return [node.folder / "record.jsonl" for node in self.nodes.values()]

    def check(self) -> None:
        """Asserts the invariants that hold whatever faults were injected."""
        assert violations(self.records()) == []
        assert self.links.count("too_long") == 0 and self.links.count("passed") > 0
        tokens = dict[str, int]()
        for effect in self.receiver.accepted:
            assert effect.token >= tokens.get(effect.duty, 0)
            tokens[effect.duty] = effect.token
