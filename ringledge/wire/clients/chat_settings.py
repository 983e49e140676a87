"""Settings of the chat front, read from deploy/chat.toml."""

from __future__ import annotations

import msgspec

from ringledge.structures.setting_types import Address, Count, Seconds


class ChatConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The chat front's address, its models and the limits of its resumable streams."""

    listen: Address
    models: dict[str, str]  # model name to request class
    tenant: str = ""  # used for requests that name no tenant
    max_tokens: Count = 800  # used for requests without a limit of their own
    resume_for_s: Seconds = 60.0  # how long a stream that has ended can still be resumed
    sessions: Count = 512  # maximum number of sessions that are retained
