"""Several processes of the program that are members of one fleet, with relays between them."""

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
    """Members c1, c2, ...; each is a real process with stand-in servers of its own.

    Where `mixed` are told all share these, and have no others. `files`: further ones of deploy/, by name.
    """

    def __init__(
        self,
        folder: Path,
        members: int = 3,
        voters: int = 3,
        lease_s: float = 1.0,
        duties: tuple[str, ...] = ("watch",),
        files: Mapping[str, str] | None = None,
        listen: dict[str, str] | None = None,  # by name; else a port that the system chooses
        mixed: tuple[StandIn, ...] = (),
        **rig: Any,
    ) -> None:
        self.names = [f"c{number + 1}" for number in range(members)]
        self.links, self.receiver = Links(self.names), Receiver()
        self._folder, self._stopped = folder, set[str]()
        self._passed = list[tuple[str, dict[str, Any]]]()  # lines read while another was waited for
        self._files = {"rig.json": json.dumps({"receiver": self.receiver.address, "duties": duties} | rig)}
        self._files |= {"members.key": KEY} | dict(files or {})
        self._mixed = mixed
        self._voters = self.names[:voters]
        told = json.dumps(self._voters)
        self._files["duties.toml"] = DUTIES.format(voters=told, lease_s=lease_s)
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
        own = 0 if self._mixed else 1
        its: dict[str, Any] = {"readers": own, "writers": own, "mixed": self._mixed}
        return Node(folder, files=files, name=name, module="tests.fleet.child", **its)

    def __enter__(self) -> Self:
        self.start(*self.names)
        for name in self._voters:  # one that has not learned yet can't do without any other
            self.nodes[name].logged("lease_acceptor_activated")
            self._passed += [(name, line) for line in self.nodes[name].skipped_lines]
        return self

    def start(self, *names: str) -> None:
        """Start them for the first time."""
        self._each(list(names), lambda name: self._started(name, True))

    def _each(self, names: list[str], do: Any) -> None:
        """For all at the same time: a start takes a second or more."""
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

    def _started(self, name: str, first: bool) -> None:
        node = self.nodes[name]
        if first:
            node.__enter__()
        else:
            node.start(node.folder)
        self._passed += [(name, line) for line in node.skipped_lines]
        told = [line for line in node.skipped_lines if line["event"] == "member_listening"]
        line = told[0] if told else node.logged("member_listening")
        self.links.set_address(name, line["address"])

    def __exit__(self, *_: object) -> None:
        for node in self.nodes.values():
            if hasattr(node, "process"):
                node.process.kill()  # a stopped one, too
                node.__exit__()
        self.links.close()
        self.receiver.close()

    # Faults.

    def kill(self, name: str) -> float:
        """SIGKILL; when."""
        at_s = time.monotonic()
        self.nodes[name].kill()
        return at_s

    def signal(self, name: str, number: signal.Signals) -> float:
        """Send it; when."""
        at_s = time.monotonic()
        self.nodes[name].process.send_signal(number)
        return at_s

    def restart(self, *names: str, empty: bool = True) -> None:
        """Start again those that were killed or have ended; what they kept is gone, the record stays here."""

        def again(name: str) -> None:
            node = self.nodes[name]
            if empty:
                for path in node.folder.iterdir():
                    if path.name not in (*self._files, "members.toml", "config.json", "record.jsonl"):
                        shutil.rmtree(path) if path.is_dir() else path.unlink()
            self._started(name, False)

        self._each(list(names), again)

    def succeed(self, name: str) -> Process:
        """Start a member again beside itself, as an upgrade does."""
        node, successor = self.nodes[name], Process()
        successor.module = node.module
        node.extra_processes.append(successor)
        successor.start(node.folder)
        told = [line for line in successor.skipped_lines if line["event"] == "member_listening"]
        line = told[0] if told else successor.logged("member_listening")
        self.links.set_address(name, line["address"])
        return successor

    # What is seen.

    def begun(self, duty: str, above: int = 0) -> tuple[str, int]:
        """Wait until a member logs that it holds a duty under a token above that; who, and the token."""

        def token(line: dict[str, Any]) -> int | None:
            mine = line["event"] == "duty_lease_changed" and (line["duty"], line["what"]) == (duty, "begun")
            return line["token"] if mine and line["token"] > above else None

        until_s = time.monotonic() + WAIT_LIMIT_S
        while time.monotonic() < until_s:
            while self._passed:  # it may have begun before it said that it votes
                name, line = self._passed.pop(0)
                if (its := token(line)) is not None:
                    return name, its
            for name, node in self.nodes.items():
                while not node.lines.empty():
                    if (its := token(node.lines.get_nowait())) is not None:
                        return name, its
            time.sleep(0.01)
        raise AssertionError(f"nobody holds {duty}")

    def records(self) -> list[Path]:
        return [node.folder / "record.jsonl" for node in self.nodes.values()]

    def check(self) -> None:
        """Whatever was done to it, this has to hold."""
        assert violations(self.records()) == []
        assert self.links.count("too_long") == 0 and self.links.count("passed") > 0
        tokens = dict[str, int]()
        for effect in self.receiver.accepted:
            assert effect.token >= tokens.get(effect.duty, 0)
            tokens[effect.duty] = effect.token
