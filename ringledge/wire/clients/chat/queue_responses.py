"""The chat front's responses about queued requests: accepted, rejected, and an entry's state or outcome."""

from __future__ import annotations

import orjson

from ringledge.store.entry import Entry, EntryOutcome, EntryState
from ringledge.store.errors import StoreError, StoreRejectionReason
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import Headers
from ringledge.wire.http.messages import respond

LOCATION_PREFIX = b"/v1/queue/"
POLL_AFTER = (b"Retry-After", b"2")  # s, for a client that polls an entry
RETRY_AFTER = (b"Retry-After", b"1")  # s, for a client whose request was rejected
PREFERENCE_APPLIED = (b"Preference-Applied", b"respond-async")

# Status and code of the response to a request that the queue rejected.
REJECTION_RESPONSES = {
    StoreRejectionReason.MAX_ENTRIES: (503, "queue_full"),
    StoreRejectionReason.MAX_BYTES: (503, "queue_full"),
    StoreRejectionReason.TENANT_QUOTA: (429, "queue_share_used"),
    StoreRejectionReason.TOO_LARGE: (413, "queue_entry_too_large"),
    StoreRejectionReason.ALREADY_EXPIRED: (503, "queue_too_late"),
    StoreRejectionReason.DISK_FULL: (503, "queue_disk_full"),
    StoreRejectionReason.LOCKED: (503, "queue_busy"),
    StoreRejectionReason.UNAVAILABLE: (503, "queue_closed"),
    StoreRejectionReason.IO_ERROR: (500, "may_be_queued"),
}

# Status, code and message of the response for an entry that ended without being served.
OUTCOME_RESPONSES = {
    EntryOutcome.FAILED: (500, "failed", "it failed"),
    EntryOutcome.EXPIRED: (410, "expired", "its time was up before it could be sent; it never ran"),
    EntryOutcome.UNKNOWN: (409, "may_have_run", "it may have run and is not run again"),
    EntryOutcome.WITHDRAWN: (410, "withdrawn", "it was taken back; it never ran"),
}

STATUS_NAMES = {
    EntryState.WAITING: "queued",
    EntryState.BEGUN: "in_progress",
    EntryState.ENDED: "ended",
}


def rejection_response(error: StoreError, location_headers: Headers | None = None) -> HttpError:
    """The response to a request that the queue rejected.

    `location_headers` are added if the request may have been queued nevertheless.
    """
    status, code = REJECTION_RESPONSES[error.reason]
    if error.reason is StoreRejectionReason.IO_ERROR:
        return HttpError(status, "the disk failed; it may have been queued", code, headers=location_headers)
    headers = [RETRY_AFTER] if status in (429, 503) else []
    message = f"not queued, nothing has run ({error.reason.value})"
    return HttpError(status, message, code, headers=headers)


def location(name: str) -> tuple[bytes, bytes]:
    """The header field with the URL at which the client polls the entry."""
    return (b"Location", LOCATION_PREFIX + name.encode())


async def respond_accepted(conn: Connection, entry: Entry) -> None:
    """Respond 202 with the location of the entry."""
    headers = [location(entry.name), PREFERENCE_APPLIED, POLL_AFTER]
    await respond(conn, 202, _status_body(entry), headers)


async def respond_entry(conn: Connection, entry: Entry) -> None:
    """Respond with the state of the entry or with its response; HttpError for any other outcome."""
    if entry.outcome is None:
        await respond(conn, 202, _status_body(entry), [POLL_AFTER])
    elif entry.outcome is EntryOutcome.SERVED:
        await respond(conn, 200, entry.response or b"")
    else:
        status, code, message = OUTCOME_RESPONSES[entry.outcome]
        details = (entry.response or b"").decode("utf-8", "replace")
        raise HttpError(status, f"{message}: {details}".rstrip(": "), code)


def _status_body(entry: Entry) -> bytes:
    body = {
        "id": entry.name,
        "object": "queue.entry",
        "status": STATUS_NAMES[entry.state],
        "created": int(entry.request.created_s),
        "expires_at": int(entry.request.expires_s),
    }
    return orjson.dumps(body)
