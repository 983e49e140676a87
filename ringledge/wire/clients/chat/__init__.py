"""The chat front: OpenAI-style requests and answers over the same core, decisions and rules."""

from ringledge.wire.clients.chat.errors import error_body
from ringledge.wire.clients.chat.front import Chat

__all__ = ["Chat", "error_body"]
