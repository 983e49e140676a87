"""The chat front."""

from __future__ import annotations

from ringledge.lifecycle.fronts import Service
from ringledge.lifecycle.shared import Part, Shared
from ringledge.wire.clients.chat import Chat, error_body
from ringledge.wire.clients.chat_settings import ChatConfig

ANSWERS_PART = 8  # of the memory, for answers that are kept


def part(shared: Shared) -> Part:
    """Open it."""
    config = shared.config
    told = config.extra(ChatConfig)
    most_bytes = config.memory / ANSWERS_PART
    chats = Chat(
        told,
        config.settings,
        config.names,
        shared.conductor,
        most_bytes,
        shared.gate,
        shared.held,
        shared.queued,
    )
    shared.fronts.open(Service("chat", told.listen, chats.handle, error_body))
    return Part(start=lambda: shared.tasks.start_soon(chats.reap))
