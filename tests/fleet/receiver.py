"""Receives the effects of duties and checks their fencing tokens, as the target of an effect does."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from ringledge.decide.leases.fencing import FencingTokenCheck

WAIT_LIMIT_S = 60.0  # upper bound for a busy machine; a wait ends as soon as its condition holds


class Effect(NamedTuple):
    """A received effect."""

    at_s: float
    duty: str
    token: int
    member: str
    pid: int


class Receiver:
    """Records effects in order of arrival, separated by whether the fence admits them."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        self.fence, self.accepted, self.refused = FencingTokenCheck(), list[Effect](), list[Effect]()
        self._changed, self._ended = threading.Condition(), False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while True:
            fields: dict[str, Any] = json.loads(self._socket.recv(4096))
            if not fields:
                return
            effect = Effect(
                time.monotonic(), fields["duty"], fields["token"], fields["member"], fields["pid"]
            )
            with self._changed:
                admitted = self.fence.admit(effect.duty, effect.token)
                (self.accepted if admitted else self.refused).append(effect)
                self._changed.notify_all()

    def wait_until(self, condition: Callable[[], bool], what: str = "") -> None:
        """Waits until the condition holds; it is checked at each effect and every 50 ms."""
        deadline_s = time.monotonic() + WAIT_LIMIT_S
        with self._changed:
            while not condition():
                assert (
                    time.monotonic() < deadline_s
                ), f"{what or 'the condition'} was not met in {WAIT_LIMIT_S} s"
                self._changed.wait(0.05)

    def next(self, duty: str, but: str = "", above: int = 0) -> Effect:
        """Waits for an admitted effect of a duty, of a member other than `but` and a token above `above`."""

        def matching() -> list[Effect]:
            return [e for e in self.accepted if e.duty == duty and e.member != but and e.token > above]

        self.wait_until(lambda: bool(matching()), f"an effect of {duty}")
        return matching()[0]

    def close(self) -> None:
        self._socket.sendto(b"{}", self._socket.getsockname())
        self._thread.join()
        self._socket.close()
