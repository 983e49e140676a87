"""The composition root: creates the components that the configuration enables and connects them.

To add a subsystem, write a function here that creates its component, add an entry to `COMPONENTS`, and add
its settings file to `lifecycle.config.SETTINGS_FILES`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.config import Config, ConfigError
from ringledge.lifecycle.context import ProgramContext

if TYPE_CHECKING:
    from ringledge.lifecycle.components.overload import OverloadControl
    from ringledge.members.cluster import ClusterMember
    from ringledge.wire.clients.chat.keyed_runs import KeyedRuns
    from ringledge.wire.clients.chat.queued import QueuedChat
    from ringledge.wire.clients.platform import PlatformHandler


@dataclass(slots=True, eq=False)
class Composition:
    """The components created so far, and the objects that later components need from them.

    An object is None if its component is disabled. Only the functions in `COMPONENTS` modify a composition;
    the factories in `components/` receive what they need as arguments.
    """

    context: ProgramContext
    can_serve: Callable[[], bool]
    components: list[Component] = field(default_factory=list)  # in start order
    overload: OverloadControl | None = None
    platform: PlatformHandler | None = None
    cluster_member: ClusterMember | None = None
    keyed_runs: KeyedRuns | None = None
    queued_chat: QueuedChat | None = None


@dataclass(frozen=True, slots=True)
class ComponentSpec:
    """A row of `COMPONENTS`."""

    name: str  # that of the settings file that enables it, if any
    is_enabled: Callable[[Config], bool]
    # Imports the component's module, so that the modules of disabled components take no memory.
    create: Callable[[Composition], Component]


def compose(context: ProgramContext, can_serve: Callable[[], bool]) -> Composition:
    """Create the enabled components; raises ConfigError if one requires another that is disabled.

    `can_serve` tells whether the program is ready; the operators' front reports it.
    """
    composition = Composition(context, can_serve)
    for spec in COMPONENTS:
        if spec.is_enabled(context.config):
            composition.components.append(spec.create(composition))
    return composition


def _create_servers(composition: Composition) -> Component:
    from ringledge.lifecycle.components import servers

    return servers.create(composition.context)


def _create_overload(composition: Composition) -> Component:
    from ringledge.lifecycle.components import overload

    control = overload.create(composition.context)
    composition.overload = control
    composition.context.fronts.on_unread_time = control.statistics.record_queue_wait
    return control.component


def _create_connection_admission(composition: Composition) -> Component:
    from ringledge.lifecycle.components import connection_admission

    context = composition.context
    admission = connection_admission.create_admission(context.config)
    context.fronts.connection_admission = admission
    return connection_admission.create(context, admission)


def _create_platform(composition: Composition) -> Component:
    from ringledge.lifecycle.components import platform

    context = composition.context
    composition.platform = platform.create_platform(context, composition.overload)
    return platform.create(context, composition.platform)


def _create_operator(composition: Composition) -> Component:
    from ringledge.lifecycle.components import operator

    return operator.create(composition.context, composition.can_serve)


def _create_members(composition: Composition) -> Component:
    from ringledge.lifecycle.components import members

    composition.cluster_member = members.create_member(composition.context)
    return members.create(composition.context, composition.cluster_member)


def _create_idempotency_keys(composition: Composition) -> Component:
    from ringledge.lifecycle.components import idempotency_keys

    key_record = idempotency_keys.create(composition.context)
    composition.keyed_runs = key_record.keyed_runs
    return key_record.component


def _create_queue(composition: Composition) -> Component:
    from ringledge.lifecycle.components import queue

    if composition.keyed_runs is None:
        raise ConfigError("queue.toml: requires chat.toml to be enabled, whose requests are queued")
    queued_requests = queue.create(composition.context, composition.cluster_member, composition.keyed_runs)
    composition.queued_chat = queued_requests.chat
    return queued_requests.component


def _create_chat(composition: Composition) -> Component:
    from ringledge.lifecycle.components import chat

    assert composition.keyed_runs is not None  # created by a component that the same file enables
    return chat.create(
        composition.context, composition.keyed_runs, composition.overload, composition.queued_chat
    )


def _create_xds(composition: Composition) -> Component:
    from ringledge.lifecycle.components import xds

    return xds.create(composition.context)


def _create_prometheus(composition: Composition) -> Component:
    from ringledge.lifecycle.components import prometheus

    return prometheus.create(composition.context)


def _create_role_planning(composition: Composition) -> Component:
    from ringledge.lifecycle.components import role_planning

    if composition.cluster_member is None or "duties" not in composition.context.config.deploy_settings:
        raise ConfigError("ratio.toml: requires members.toml and duties.toml to be enabled")
    return role_planning.create(composition.context, composition.cluster_member)


def _create_lease_holder_duties(composition: Composition) -> Component:
    from ringledge.lifecycle.components import lease_holder_duties

    if composition.cluster_member is None:
        raise ConfigError("duties.toml: requires members.toml to be enabled")
    return lease_holder_duties.create(composition.context, composition.cluster_member)


def _required(name: str, create: Callable[[Composition], Component]) -> ComponentSpec:
    """The entry of a component that is always enabled."""
    return ComponentSpec(name, lambda config: True, create)


def _optional(name: str, create: Callable[[Composition], Component]) -> ComponentSpec:
    """The entry of a component that is enabled by the settings file of the same name."""
    return ComponentSpec(name, lambda config: name in config.deploy_settings, create)


# In order of creation and start: each component comes after those whose objects it needs.
COMPONENTS: tuple[ComponentSpec, ...] = (
    _required("servers", _create_servers),
    _optional("overload", _create_overload),
    _optional("doors", _create_connection_admission),
    _required("platform", _create_platform),
    ComponentSpec("operators", lambda config: bool(config.operator), _create_operator),
    _optional("members", _create_members),
    ComponentSpec(
        "idempotency_keys", lambda config: "chat" in config.deploy_settings, _create_idempotency_keys
    ),
    _optional("queue", _create_queue),
    _optional("chat", _create_chat),
    _optional("xds", _create_xds),
    _optional("prometheus", _create_prometheus),
    _optional("ratio", _create_role_planning),
    _optional("duties", _create_lease_holder_duties),  # last, so that all duties are registered
)
