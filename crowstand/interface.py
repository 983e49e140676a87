"""What goes into and comes out of the decision module: settings, events and actions.

Nothing is decided here. All times are milliseconds (``_ms``): clock readings where the name says so,
else lengths. A field that a deployment does not tell is ``None`` or empty.
"""

from __future__ import annotations

from crowstand.actions import Action as Action
from crowstand.actions import AskMembers as AskMembers
from crowstand.actions import Cancel as Cancel
from crowstand.actions import Fail as Fail
from crowstand.actions import GiveUpReason as GiveUpReason
from crowstand.actions import Log as Log
from crowstand.actions import Probe as Probe
from crowstand.actions import Refuse as Refuse
from crowstand.actions import Release as Release
from crowstand.actions import Send as Send
from crowstand.actions import SetTimer as SetTimer
from crowstand.actions import Subscribe as Subscribe
from crowstand.actions import TimerName as TimerName
from crowstand.control import OperatorOverride as OperatorOverride
from crowstand.control import RolePlan as RolePlan
from crowstand.control import Shutdown as Shutdown
from crowstand.control import Unreachable as Unreachable
from crowstand.events import ClientGone as ClientGone
from crowstand.events import FirstToken as FirstToken
from crowstand.events import Load as Load
from crowstand.events import Outcome as Outcome
from crowstand.events import Probed as Probed
from crowstand.events import Request as Request
from crowstand.events import Status as Status
from crowstand.events import Timer as Timer
from crowstand.fleet import Availability as Availability
from crowstand.fleet import ListForm as ListForm
from crowstand.fleet import Members as Members
from crowstand.fleet import ServerEntry as ServerEntry
from crowstand.fleet import ServerView as ServerView
from crowstand.settings import DedupScope as DedupScope
from crowstand.settings import Effect as Effect
from crowstand.settings import LoadReports as LoadReports
from crowstand.settings import MembershipMode as MembershipMode
from crowstand.settings import RequestClass as RequestClass
from crowstand.settings import Role as Role
from crowstand.settings import ServerKind as ServerKind
from crowstand.settings import Settings as Settings
from crowstand.settings import Tenant as Tenant

RequestEvent = Request | Outcome | FirstToken | ClientGone
FleetEvent = Members | OperatorOverride | Unreachable | RolePlan | Shutdown
Event = RequestEvent | FleetEvent | Probed | Timer
