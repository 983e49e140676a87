"""The chat front: OpenAI-style requests and answers over the same core, decisions and rules."""

from ringledge.wire.clients.chat.errors import error_body
from ringledge.wire.clients.chat.front import ChatHandler, ChatOptions

__all__ = ["ChatHandler", "ChatOptions", "error_body"]
