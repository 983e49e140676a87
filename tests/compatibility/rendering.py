"""Renders values as text that does not change when types or fields are renamed."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

import msgspec

# Types renamed since the golden files were written: current name, name in the golden files.
RENAMED_TYPES = {
    "WireNames": "Names",
    "QueueHead": "Head",
    "Capacity": "Room",
    "LoanRequest": "Want",
    "LoanGrant": "Lend",
    "SitePlan": "Plan",
    "SiteDemand": "Need",
    "PlanningRound": "Looked",
    "SendMessage": "Tell",
    "MembershipUpdate": "News",
    "WriterVersion": "Row",
    "VersionVector": "Rows",
    "RecordRequest": "Wants",
    "VersionDigests": "Sums",
    "RecordBatch": "Records",
    "MemberList": "Roster",
    "IndirectPingRequest": "Ask",
    "ViewDigests": "Views",
    "MemberListQuery": "Look",
    "MemberJoined": "Joined",
    "MemberLeft": "Left",
    "MemberFailed": "Died",
    "MemberSuspected": "Suspected",
    "LocalStartRaised": "Restarted",
    "LocalMemberSuperseded": "Superseded",
    "LeaseAcquired": "Begin",
    "LeaseEnded": "End",
    "ServerObservation": "ServerSeen",
    "RoleAssignment": "PlanRow",
    "ClassDemand": "Demand",
    "QueueBacklog": "Backlog",
    "ProcessReading": "Reading",
    "RecordsConfig": "FactsConfig",
    "AttemptOutcome": "Outcome",
    "AttemptStatus": "Status",
    "CancelAttempt": "Cancel",
    "ClientDisconnected": "ClientGone",
    "EndpointUpdate": "Members",
    "FailRequest": "Fail",
    "LoadReport": "Load",
    "LogMessage": "Log",
    "PollEndpoints": "AskMembers",
    "ProbeResult": "Probed",
    "ProbeServer": "Probe",
    "RejectRequest": "Refuse",
    "ReleaseCache": "Release",
    "RouterSettings": "Settings",
    "SendAttempt": "Send",
    "TimerFired": "Timer",
    "UnreachableServers": "Unreachable",
    "WatchEndpoints": "Subscribe",
    "PrepareRequest": "Ask",
    "PrepareResponse": "Promise",
    "ProposeRequest": "Take",
    "ProposeAccepted": "Taken",
    "Rejected": "Refused",
    "LeaseRelease": "Release",
    "LeaseReleased": "Freed",
    "StateTransferRequest": "Learn",
    "StateTransferResponse": "Known",
    "EndpointListing": "Listing",
    "OverloadLimits": "Limits",
    "ResourceSample": "Sample",
    "TenantQuota": "TenantShare",
}


def render(value: Any) -> str:
    """The value as text, with type names as in the golden files and fields in order, without names."""
    match value:
        case Enum():
            text = render(value.value)
        case msgspec.Struct():
            text = _call(value, value.__struct_fields__)
        case Mapping():
            text = "{" + ",".join(f"{render(key)}:{render(each)}" for key, each in value.items()) + "}"
        case frozenset() | set():
            text = "{" + ",".join(sorted(map(render, value))) + "}"
        case list() | tuple():
            text = "[" + ",".join(map(render, value)) + "]"
        case _ if dataclasses.is_dataclass(value) and not isinstance(value, type):
            text = _call(value, [field.name for field in dataclasses.fields(value)])
        case _:
            text = repr(value)
    return text


def _call(value: Any, fields: Iterable[str]) -> str:
    name = type(value).__name__
    return f"{RENAMED_TYPES.get(name, name)}({','.join(render(getattr(value, field)) for field in fields)})"
