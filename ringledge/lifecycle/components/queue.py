"""The component of a site's queue, which stores chat requests during a partition and replays them later."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.store.component import QueueComponent
from ringledge.store.settings import QueueConfig
from ringledge.wire.clients.chat.queued import QueuedChat, QueuedChatOptions
from ringledge.wire.clients.chat.replaying import ReplaySender
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.servers.observation import ServerObserver

if TYPE_CHECKING:
    from ringledge.members.cluster import ClusterMember
    from ringledge.wire.clients.chat.keyed_runs import KeyedRuns


@dataclass(frozen=True, slots=True, eq=False)
class QueuedRequests:
    """The queue's component, and the object through which the chat front uses the queue."""

    component: Component
    chat: QueuedChat


def create(
    context: ProgramContext, cluster_member: ClusterMember | None, keyed_runs: KeyedRuns
) -> QueuedRequests:
    """Create the queue; its file is opened at the start, and replay begins when the program is ready.

    If duties are enabled, only the holder of the replay lease replays.
    """
    config = context.config
    queue_settings = config.settings_of(QueueConfig)
    chat_settings, settings, names = config.settings_of(ChatConfig), config.settings, config.names
    observation = ServerObserver(context.conductor, context.upstream.reachability, context.metrics)
    is_leased = "duties" in config.deploy_settings
    records = None if cluster_member is None else cluster_member.members.records
    queue = QueueComponent(
        queue_settings, observation, context.metrics.registry, Random(), records, is_leased
    )
    if cluster_member is not None and is_leased:
        cluster_member.duties[queue.duty_name] = queue.replayer
        cluster_member.before_release.append(queue.drain)
    sender = ReplaySender(chat_settings, settings, names, context.conductor, keyed_runs)
    sender.tasks = context.tasks
    queue.sender = sender
    options = QueuedChatOptions(names.classes, settings, chat_settings.tenant, queue_settings.expiry_s)
    chat = QueuedChat(queue.queue, queue.site_state, queue.metrics, options)
    component = Component(start=lambda: queue.start(context.tasks), on_ready=queue.ready, stop=queue.stop)
    return QueuedRequests(component, chat)
