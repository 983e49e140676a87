"""Requests that are kept while the site is cut off or short: 202 with a place to ask, and what is told there.

Only for clients that ask for it (`Prefer: respond-async`, RFC 7240); a 202 is said once the request is on
the disk. Any process of the site answers for the place, since all share the file. An idempotency key that
is in the queue is never run beside it, whoever asks.
"""

from __future__ import annotations

from collections.abc import Callable
from time import time
from typing import Any
from uuid import uuid4

import h11
import orjson

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    Idempotency,
    Request,
    RouterSettings,
)
from ringledge.store.entry import Asked, End, Entry, MovedError, StoreError, Why
from ringledge.store.entry import State as Stands
from ringledge.store.metrics import Figures
from ringledge.store.queue import Queue
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import Headers, header
from ringledge.wire.http.messages import read_body, respond

PLACE = b"/v1/queue/"
LOOK_AGAIN = (b"Retry-After", b"2")  # s: for who looks whether the answer is there
LATER = (b"Retry-After", b"1")
APPLIED = (b"Preference-Applied", b"respond-async")

# What a request is refused with that can't be queued: status, code.
REFUSALS = {
    Why.ENTRIES: (503, "queue_full"),
    Why.BYTES: (503, "queue_full"),
    Why.TENANT: (429, "queue_share_used"),
    Why.LARGE: (413, "queue_entry_too_large"),
    Why.AGE: (503, "queue_too_late"),
    Why.DISK: (503, "queue_disk_full"),
    Why.BUSY: (503, "queue_busy"),
    Why.CLOSED: (503, "queue_closed"),
    Why.FAILED: (500, "may_be_queued"),
}

# What is told of an entry that ended without an answer: status, code, words.
ENDS = {
    End.FAILED: (500, "failed", "it failed"),
    End.EXPIRED: (410, "expired", "its time was up before it could be sent; it never ran"),
    End.UNKNOWN: (409, "may_have_run", "it may have run and is not run again"),
    End.WITHDRAWN: (410, "withdrawn", "it was taken back; it never ran"),
}


def prefers_async(head: h11.Request) -> bool:
    """Whether the client asks for it, in one of its Prefer fields."""
    told = b",".join(value for name, value in head.headers if name == b"prefer").decode("latin-1")
    return any(each.partition(";")[0].strip().lower() == "respond-async" for each in told.split(","))


def refusal(error: StoreError, place: Headers | None = None) -> HttpError:
    """What a client is told that the queue could not serve."""
    status, code = REFUSALS[error.why]
    if error.why is Why.FAILED:
        return HttpError(status, "the disk failed; it may have been queued", code, headers=place)
    later = [LATER] if status in (429, 503) else []
    return HttpError(status, f"not queued, nothing has run ({error.why.value})", code, headers=later)


class QueuedChat:
    """The chat front's way into the queue, and out of it."""

    def __init__(
        self,
        queue: Queue,
        site: Callable[[], SiteState],
        classes: tuple[str, ...],
        settings: RouterSettings,
        tenant: str,
        expire_s: float,
        figures: Figures,
    ) -> None:
        """`tenant`: of a client that names none."""
        self._queue, self._site, self._tenant, self._expire_s = queue, site, tenant, expire_s
        self._classes, self._settings, self._figures = classes, settings, figures

    async def take(
        self,
        conn: Connection,
        head: h11.Request,
        question: dict[str, Any],
        request: Request,
    ) -> bool:
        """Answer 202 where the request is queued, or is in the queue already; False: run it now."""
        told = header(head, b"idempotency-key")
        key, wished = told.decode("ascii", "replace") if told else None, prefers_async(head)
        tenant = self._owner(head)
        if key is not None and (entry := await self._known(tenant, key, request.class_index)) is not None:
            if entry.end is not None:
                await _tell(conn, entry)
                return True
            if not wished:
                text = "this request is queued: ask for it at its place"
                raise HttpError(409, text, "queued", headers=[_place(entry)])
            await _accepted(conn, entry)
            return True
        if not wished or self._site() is SiteState.AVAILABLE:
            return False
        now_s = time()
        asked = Asked(
            uuid4().hex,
            tenant,
            self._classes[request.class_index],
            self._settings.classes[request.class_index].idempotency is Idempotency.IDEMPOTENT,
            orjson.dumps(question | {"stream": False}),
            request.prompt_tokens + request.max_output_tokens,
            now_s,
            now_s + self._expire_s,
            key,
        )
        try:
            entry = await self._queue.enqueue(asked)
        except StoreError as error:
            self._figures.refused.labels(error.why.value).inc()
            log.often("queue_refused", why=error.why.value, error=str(error))
            raise refusal(error, [(b"Location", PLACE + asked.name.encode())]) from error
        self._figures.queued.inc()
        log.info("queue_entry_taken", entry=entry.name, tenant=tenant, **{"class": asked.kind})
        await _accepted(conn, entry)
        return True

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Tell of an entry (GET), or take it back (DELETE)."""
        await read_body(conn, head)
        name = head.target.partition(b"?")[0][len(PLACE) :].decode("ascii", "replace")
        if head.method not in (b"GET", b"DELETE"):
            allow = [(b"Allow", b"GET, DELETE")]
            raise HttpError(405, "only GET and DELETE here", "method_not_allowed", headers=allow)
        try:
            entry = await self._queue.get(name)
            if entry is None or entry.asked.tenant != self._owner(head):  # others learn nothing of it
                raise HttpError(404, "no such entry, or its answer was kept for long enough", "not_found")
            if head.method == b"DELETE":
                await self._queue.withdraw(name)
                self._figures.ended.labels(End.WITHDRAWN.value).inc()
                log.info("queue_entry_ended", entry=name, how=End.WITHDRAWN.value, token=0)
                told = {"id": name, "object": "queue.entry", "status": "withdrawn"}
                return await respond(conn, 200, orjson.dumps(told))
        except MovedError as error:
            raise HttpError(409, "it has begun or ended, and can't be taken back", "begun") from error
        except StoreError as error:
            # Not 404: the entry may well be there.
            text = f"the queue can't be read ({error.why.value})"
            raise HttpError(503, text, "queue_closed", headers=[LATER]) from error
        await _tell(conn, entry)

    def _owner(self, head: h11.Request) -> str:
        told = header(head, b"x-caller")
        return (told.decode("utf-8", "replace").strip() if told else "") or self._tenant

    async def _known(self, tenant: str, key: str, class_index: int) -> Entry | None:
        """The entry of an idempotency key. Where the file can't tell, only what may run twice may go on."""
        try:
            return await self._queue.by_key(tenant, key)
        except StoreError as error:
            if self._settings.classes[class_index].idempotency is Idempotency.IDEMPOTENT:
                return None
            raise refusal(error) from error


def _place(entry: Entry) -> tuple[bytes, bytes]:
    return (b"Location", PLACE + entry.name.encode())


async def _accepted(conn: Connection, entry: Entry) -> None:
    await respond(conn, 202, _status(entry), [_place(entry), APPLIED, LOOK_AGAIN])


async def _tell(conn: Connection, entry: Entry) -> None:
    """How an entry stands, or how it ended."""
    if entry.end is None:
        return await respond(conn, 202, _status(entry), [LOOK_AGAIN])
    if entry.end is End.SERVED:
        return await respond(conn, 200, entry.answer or b"")
    status, code, text = ENDS[entry.end]
    raise HttpError(status, f"{text}: {(entry.answer or b'').decode('utf-8', 'replace')}".rstrip(": "), code)


def _status(entry: Entry) -> bytes:
    stands = {Stands.WAITING: "queued", Stands.BEGUN: "in_progress", Stands.ENDED: "ended"}[entry.state]
    told = {"id": entry.name, "object": "queue.entry", "status": stands}
    times = {"created": int(entry.asked.created_s), "expires_at": int(entry.asked.expires_s)}
    return orjson.dumps(told | times)
