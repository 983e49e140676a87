"""What deploy/chat.toml may say."""

from __future__ import annotations

import msgspec

from ringledge.structures.setting_types import Address, Count, Seconds


class ChatConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where and how the chat front listens."""

    listen: Address
    models: dict[str, str]  # the class that each model's requests belong to
    tenant: str = ""  # of a client that names none
    max_tokens: Count = 800  # where a request names no limit
    resume_for_s: Seconds = 60.0  # how long an answer that has ended can be come back to
    sessions: Count = 512  # answers kept at most
