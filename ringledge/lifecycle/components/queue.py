"""The queue of a cut-off site: made before the chat front, which asks it; replayed by the conductor."""

from __future__ import annotations

from random import Random

from ringledge.lifecycle.config import ConfigError
from ringledge.lifecycle.shared import Part, Shared
from ringledge.store.component import QueuePart
from ringledge.store.settings import QueueConfig
from ringledge.wire.clients.chat.queued import QueuedChat
from ringledge.wire.clients.chat.replaying import ReplaySender
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.servers.observation import ServerObserver


def part(shared: Shared) -> Part:
    """Open the file at the start, look at the site and replay once the list is known."""
    config = shared.config
    told = config.extra(QueueConfig)
    if "chat" not in config.extras:
        raise ConfigError("queue.toml: chat.toml has to be enabled, too; its clients are queued")
    chat, settings, names = config.extra(ChatConfig), config.settings, config.names
    sight = ServerObserver(shared.conductor, shared.upstream.reachability, shared.metrics)
    fleet, leased = shared.fleet, "duties" in config.extras
    facts = None if fleet is None else fleet.members.facts
    queue = QueuePart(told, sight, shared.metrics.registry, Random(), facts, leased)
    if fleet is not None and leased:
        fleet.duties[queue.duty] = queue.replayer
    queue.sender = ReplaySender(chat, settings, names, shared.conductor)
    shared.queued = QueuedChat(
        queue.queue, queue.state, names.classes, settings, chat.tenant, told.expire_s, queue.figures
    )
    return Part(start=lambda: queue.start(shared.tasks), ready=queue.ready, stop=queue.stop)
