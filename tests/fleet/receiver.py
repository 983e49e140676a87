"""Receives the effects of duties behind a fence, as whoever applies them does."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from ringledge.decide.leases.fencing import FencingTokenCheck

WAIT_LIMIT_S = 60.0  # a busy machine's bound; nothing here waits for it to pass


class Effect(NamedTuple):
    """One effect as it came."""

    at_s: float
    duty: str
    token: int
    member: str
    pid: int


class Receiver:
    """Takes effects in order of arrival."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        self.fence, self.accepted, self.refused = FencingTokenCheck(), list[Effect](), list[Effect]()
        self._news, self._ended = threading.Condition(), False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while True:
            told: dict[str, Any] = json.loads(self._socket.recv(4096))
            if not told:
                return
            effect = Effect(time.monotonic(), told["duty"], told["token"], told["member"], told["pid"])
            with self._news:
                admitted = self.fence.admit(effect.duty, effect.token)
                (self.accepted if admitted else self.refused).append(effect)
                self._news.notify_all()

    def wait_until(self, holds: Callable[[], bool], what: str = "") -> None:
        """Wait until that holds, looked at with each effect and now and then."""
        until_s = time.monotonic() + WAIT_LIMIT_S
        with self._news:
            while not holds():
                assert time.monotonic() < until_s, f"{what or 'it'} did not come in {WAIT_LIMIT_S} s"
                self._news.wait(0.05)

    def next_effect(self, duty: str, but: str = "", above: int = 0) -> Effect:
        """The first effect of a duty by another member than that, or under a token above that."""

        def found() -> list[Effect]:
            return [e for e in self.accepted if e.duty == duty and e.member != but and e.token > above]

        self.wait_until(lambda: bool(found()), f"an effect of {duty}")
        return found()[0]

    def close(self) -> None:
        self._socket.sendto(b"{}", self._socket.getsockname())
        self._thread.join()
        self._socket.close()
