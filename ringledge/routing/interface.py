"""Public types of the routing policy: settings, input events and output actions.

This module holds no decision logic. Names ending in ``_ms`` are in milliseconds: clock readings where the
name says so, durations otherwise. A field that the deployment does not set is ``None`` or empty.
"""

from __future__ import annotations

from ringledge.routing.actions import CancelAttempt as CancelAttempt
from ringledge.routing.actions import FailRequest as FailRequest
from ringledge.routing.actions import GiveUpReason as GiveUpReason
from ringledge.routing.actions import LogMessage as LogMessage
from ringledge.routing.actions import PollEndpoints as PollEndpoints
from ringledge.routing.actions import ProbeServer as ProbeServer
from ringledge.routing.actions import RejectRequest as RejectRequest
from ringledge.routing.actions import ReleaseCache as ReleaseCache
from ringledge.routing.actions import RoutingAction as RoutingAction
from ringledge.routing.actions import SendAttempt as SendAttempt
from ringledge.routing.actions import SetTimer as SetTimer
from ringledge.routing.actions import TimerName as TimerName
from ringledge.routing.actions import WatchEndpoints as WatchEndpoints
from ringledge.routing.control_events import OperatorOverride as OperatorOverride
from ringledge.routing.control_events import RolePlan as RolePlan
from ringledge.routing.control_events import Shutdown as Shutdown
from ringledge.routing.control_events import UnreachableServers as UnreachableServers
from ringledge.routing.endpoints import Availability as Availability
from ringledge.routing.endpoints import EndpointUpdate as EndpointUpdate
from ringledge.routing.endpoints import EndpointUpdateKind as EndpointUpdateKind
from ringledge.routing.endpoints import ServerEntry as ServerEntry
from ringledge.routing.endpoints import ServerView as ServerView
from ringledge.routing.events import AttemptOutcome as AttemptOutcome
from ringledge.routing.events import AttemptStatus as AttemptStatus
from ringledge.routing.events import ClientDisconnected as ClientDisconnected
from ringledge.routing.events import FirstToken as FirstToken
from ringledge.routing.events import LoadReport as LoadReport
from ringledge.routing.events import ProbeResult as ProbeResult
from ringledge.routing.events import Request as Request
from ringledge.routing.events import TimerFired as TimerFired
from ringledge.routing.settings import DedupScope as DedupScope
from ringledge.routing.settings import Idempotency as Idempotency
from ringledge.routing.settings import LoadReportSource as LoadReportSource
from ringledge.routing.settings import MembershipMode as MembershipMode
from ringledge.routing.settings import RequestClass as RequestClass
from ringledge.routing.settings import Role as Role
from ringledge.routing.settings import RouterSettings as RouterSettings
from ringledge.routing.settings import ServerKind as ServerKind
from ringledge.routing.settings import Tenant as Tenant

RequestEvent = Request | AttemptOutcome | FirstToken | ClientDisconnected
FleetEvent = EndpointUpdate | OperatorOverride | UnreachableServers | RolePlan | Shutdown
RoutingEvent = RequestEvent | FleetEvent | ProbeResult | TimerFired
