"""Asynchronous requests: 202 for a request that is queued while the site is cut off or short of capacity.

This applies to clients that ask for it (`Prefer: respond-async`, RFC 7240); 202 is sent once the request is
durable. The client polls the response's Location with GET, which any process of the site can answer because
they share the queue's file; DELETE withdraws the request. A request whose idempotency key is in the queue is
never run in addition to the queued one, whether or not its client asks for an asynchronous response.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
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
from ringledge.store.entry import Entry, EntryOutcome, InvalidTransitionError, QueuedRequest
from ringledge.store.errors import StoreError
from ringledge.store.metrics import QueueMetrics
from ringledge.store.queue import Queue
from ringledge.wire.clients.chat.question import idempotency_key, tenant_of
from ringledge.wire.clients.chat.queue_responses import (
    LOCATION_PREFIX,
    RETRY_AFTER,
    location,
    rejection_response,
    respond_accepted,
    respond_entry,
)
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import read_body, respond


@dataclass(slots=True, frozen=True)
class QueuedChatOptions:
    """Settings of the chat front that apply to queued requests."""

    class_names: tuple[str, ...]  # by class index
    settings: RouterSettings
    default_tenant: str  # used for requests that name no tenant
    expiry_s: float  # time after which a request that was not sent expires


class QueuedChat:
    """Enqueues chat requests and answers requests about the entries of the queue."""

    def __init__(
        self,
        queue: Queue,
        site_state: Callable[[], SiteState],
        metrics: QueueMetrics,
        options: QueuedChatOptions,
    ) -> None:
        self._queue = queue
        self._site_state = site_state
        self._metrics = metrics
        self._options = options

    async def answer_if_queued(
        self,
        conn: Connection,
        head: h11.Request,
        chat_request: dict[str, Any],
        request: Request,
    ) -> bool:
        """Answer a request that is in the queue or is enqueued now; return False if it has to be run now.

        Raises HttpError if the queue rejects it, or if it is queued and the client wants it run now.
        """
        key = idempotency_key(head)
        if key is not None:
            entry = await self._find_entry(self._tenant(head), key, request.class_index)
            if entry is not None:
                await _respond_to_repeated_request(conn, head, entry)
                return True
        if not prefers_async(head) or self._site_state() is SiteState.AVAILABLE:
            return False
        now_s = await self._now_s()
        entry = await self._enqueue(self._queued_request(head, key, chat_request, request, now_s))
        await respond_accepted(conn, entry)
        return True

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer a request to an entry's location: return its state or outcome, or withdraw it (DELETE)."""
        await read_body(conn, head)
        name = head.target.partition(b"?")[0][len(LOCATION_PREFIX) :].decode("ascii", "replace")
        if head.method not in (b"GET", b"DELETE"):
            allow = [(b"Allow", b"GET, DELETE")]
            raise HttpError(405, "only GET and DELETE here", "method_not_allowed", headers=allow)
        try:
            entry = await self._queue.get(name)
            if entry is None or entry.request.tenant != self._tenant(
                head
            ):  # same as unknown, so that nothing is revealed
                raise HttpError(404, "no such entry, or its answer was kept for long enough", "not_found")
            if head.method == b"DELETE":
                await self._queue.withdraw(name)
        except InvalidTransitionError as error:
            raise HttpError(409, "it has begun or ended, and can't be taken back", "begun") from error
        except StoreError as error:
            # Not 404: the entry may well exist.
            message = f"the queue can't be read ({error.reason.value})"
            raise HttpError(503, message, "queue_closed", headers=[RETRY_AFTER]) from error
        if head.method == b"DELETE":
            await self._respond_withdrawn(conn, name)
        else:
            await respond_entry(conn, entry)

    def _tenant(self, head: h11.Request) -> str:
        return tenant_of(head, self._options.default_tenant)

    def _is_idempotent(self, class_index: int) -> bool:
        return self._options.settings.classes[class_index].idempotency is Idempotency.IDEMPOTENT

    async def _find_entry(self, tenant: str, idempotency_key: str, class_index: int) -> Entry | None:
        """The entry with that key; if the file cannot be read, HttpError unless the request is idempotent."""
        try:
            return await self._queue.find_by_idempotency_key(tenant, idempotency_key)
        except StoreError as error:
            if self._is_idempotent(class_index):
                return None
            raise rejection_response(error) from error

    def _queued_request(
        self,
        head: h11.Request,
        key: str | None,
        chat_request: dict[str, Any],
        request: Request,
        now_s: float,
    ) -> QueuedRequest:
        return QueuedRequest(
            name=uuid4().hex,
            tenant=self._tenant(head),
            request_class=self._options.class_names[request.class_index],
            idempotent=self._is_idempotent(request.class_index),
            body=orjson.dumps(chat_request | {"stream": False}),
            estimated_tokens=request.prompt_tokens + request.max_output_tokens,
            created_s=now_s,
            expires_s=now_s + self._options.expiry_s,
            idempotency_key=key,
        )

    async def _now_s(self) -> float:
        """The time on the queue's clock; HttpError if the queue's file cannot be opened."""
        try:
            return await self._queue.now_s()
        except StoreError as error:
            self._report_rejection(error)
            raise rejection_response(error) from error

    def _report_rejection(self, error: StoreError) -> None:
        self._metrics.rejected.labels(error.reason.value).inc()
        log.rate_limited("queue_request_rejected", why=error.reason.value, error=str(error))

    async def _enqueue(self, queued_request: QueuedRequest) -> Entry:
        try:
            entry = await self._queue.enqueue(queued_request)
        except StoreError as error:
            self._report_rejection(error)
            raise rejection_response(error, [location(queued_request.name)]) from error
        self._metrics.accepted.inc()
        tenant, class_field = queued_request.tenant, {"class": queued_request.request_class}
        log.info("queue_entry_enqueued", entry=entry.name, tenant=tenant, **class_field)
        return entry

    async def _respond_withdrawn(self, conn: Connection, name: str) -> None:
        outcome = EntryOutcome.WITHDRAWN.value
        self._metrics.outcomes.labels(outcome).inc()
        log.info("queue_entry_ended", entry=name, how=outcome, token=0)
        body = {"id": name, "object": "queue.entry", "status": "withdrawn"}
        await respond(conn, 200, orjson.dumps(body))


def prefers_async(head: h11.Request) -> bool:
    """Whether one of the Prefer header fields has the preference `respond-async` (RFC 7240)."""
    fields = b",".join(value for name, value in head.headers if name == b"prefer").decode("latin-1")
    preferences = (preference.partition(";")[0].strip().lower() for preference in fields.split(","))
    return "respond-async" in preferences


async def _respond_to_repeated_request(conn: Connection, head: h11.Request, entry: Entry) -> None:
    """Answer a request whose idempotency key is queued; HttpError 409 if the client wants it run now."""
    if entry.outcome is not None:
        await respond_entry(conn, entry)
    elif prefers_async(head):
        await respond_accepted(conn, entry)
    else:
        message = "this request is queued: ask for it at its place"
        raise HttpError(409, message, "queued", headers=[location(entry.name)])
