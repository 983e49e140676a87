"""The component of the chat front."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.lifecycle.fronts import Service
from ringledge.wire.clients.chat import ChatHandler, ChatOptions, error_body
from ringledge.wire.clients.chat_settings import ChatConfig

if TYPE_CHECKING:
    from ringledge.lifecycle.components.overload import OverloadControl
    from ringledge.wire.clients.chat.keyed_runs import KeyedRuns
    from ringledge.wire.clients.chat.queued import QueuedChat

RETAINED_RESPONSES_DIVISOR = 8  # retained responses may use the memory limit divided by this


def create(
    context: ProgramContext,
    keyed_runs: KeyedRuns,
    overload: OverloadControl | None,
    queued_chat: QueuedChat | None,
) -> Component:
    """Open the front; expired chats are deleted periodically once the component starts."""
    config = context.config
    settings = config.settings_of(ChatConfig)
    max_retained_bytes = config.memory_bytes / RETAINED_RESPONSES_DIVISOR
    chat = ChatHandler(
        ChatOptions(settings, config.settings, config.names, max_retained_bytes),
        context.conductor,
        keyed_runs,
        None if overload is None else overload.gate,
        None if overload is None else overload.buffered_bytes,
        queued_chat,
    )
    context.fronts.open(Service("chat", settings.listen, chat.handle, error_body))
    return Component(start=lambda: context.tasks.start_soon(chat.evict_expired_sessions))
