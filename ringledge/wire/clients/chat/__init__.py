"""The chat front: an OpenAI-compatible API served by the same core and decisions as the platform's."""

from ringledge.wire.clients.chat.errors import error_body
from ringledge.wire.clients.chat.front import ChatHandler
from ringledge.wire.clients.chat.session_starter import ChatOptions

__all__ = ["ChatHandler", "ChatOptions", "error_body"]
