"""Asks the admission gate about the requests of the chat front."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from ringledge.memory.names import WireNames
from ringledge.wire.clients.chat.question import header_text, tenant_of
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.clients.platform import shed_error
from ringledge.wire.http.headers import header
from ringledge.wire.http.messages import MAX_BODY_BYTES

if TYPE_CHECKING:
    from ringledge.core.gate import AdmissionGate


class ChatAdmission:
    """Raises ShedError for requests that the gate rejects; without a gate all are admitted."""

    def __init__(self, gate: AdmissionGate | None, names: WireNames, config: ChatConfig) -> None:
        self._gate, self._names, self._config = gate, names, config

    def check_head(self, head: h11.Request) -> None:
        """Shed a request before its body is read, if its head has its class or the gate rejects all."""
        if self._gate is None or header(head, b"last-event-id") or header(head, b"idempotency-key"):
            return  # it may continue a request that was admitted already
        class_name = header_text(head, b"x-call-class")
        length = header(head, b"content-length")
        if class_name in self._names.classes:
            self.check(self._names.classes.index(class_name), head, int(length or 0))
        elif reason := self._gate.rejects_all():
            class_index = self._names.classes.index(next(iter(self._config.models.values())))
            raise shed_error(self._gate.reject(class_index, reason))

    def check(self, class_index: int, head: h11.Request, size: int) -> None:
        """Shed a request of a known class with a body of `size` bytes if the gate rejects it."""
        if self._gate is not None:
            tenant = self._names.index(self._names.tenants, tenant_of(head, self._config.tenant))
            rejection = self._gate.admit(class_index, tenant, min(size, MAX_BODY_BYTES))
            if rejection is not None:
                raise shed_error(rejection)
