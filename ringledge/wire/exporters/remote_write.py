"""Export of metrics to Prometheus: /metrics for scrapes, and remote write 1.0 to a receiver."""

from __future__ import annotations

import random
import time
from collections import deque
from typing import Any
from urllib.parse import urlsplit

import anyio
import cramjam
import h11
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from prometheus_client import exposition

from ringledge import __version__
from ringledge.decide.backoff import Backoff
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.exporters.prometheus_settings import PrometheusConfig
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS, HttpError
from ringledge.wire.http.headers import header
from ringledge.wire.http.messages import read_body, require_method, respond
from ringledge.wire.http.sockets import connect

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.5, 30.0
# Numbers of field labels and field types in descriptor.proto.
OPTIONAL, REPEATED = 1, 3
STRING, DOUBLE, INT64, MESSAGE = 9, 1, 3, 11
# The messages of remote write 1.0; each field has a name, a number, a type, and the message type or "".
FIELDS = {
    "Label": [("name", 1, STRING, ""), ("value", 2, STRING, "")],
    "Sample": [("value", 1, DOUBLE, ""), ("timestamp", 2, INT64, "")],
    "TimeSeries": [("labels", 1, MESSAGE, "Label"), ("samples", 2, MESSAGE, "Sample")],
    "WriteRequest": [("timeseries", 1, MESSAGE, "TimeSeries")],
}


def _build_message_classes() -> dict[str, Any]:
    """Create the protobuf classes of the messages from FIELDS."""
    file = descriptor_pb2.FileDescriptorProto(name="remote.proto", package="prometheus", syntax="proto3")
    for name, fields in FIELDS.items():
        message = file.message_type.add(name=name)
        for field, number, field_type, nested_type in fields:
            label = REPEATED if nested_type else OPTIONAL
            message.field.add(
                name=field, number=number, type=field_type, label=label,
                type_name=f".prometheus.{nested_type}" if nested_type else None,
            )  # fmt: skip
    pool: Any = descriptor_pool.DescriptorPool()  # its methods have no type annotations
    pool.AddSerializedFile(file.SerializeToString())
    descriptors = {name: pool.FindMessageTypeByName(f"prometheus.{name}") for name in FIELDS}
    return {name: message_factory.GetMessageClass(each) for name, each in descriptors.items()}


MESSAGE_CLASSES = _build_message_classes()


class Scrape:
    """Serves /metrics to scrapers."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one request."""
        if head.target.partition(b"?")[0] != b"/metrics":
            raise HttpError(404, "only /metrics here", "not_found")
        require_method(head, b"GET")
        await read_body(conn, head)
        text = exposition.generate_latest(self._metrics.registry)
        await respond(conn, 200, text, content_type=exposition.CONTENT_TYPE_LATEST.encode())


class RemoteWrite:
    """Collects all metrics at an interval, and sends the collections in order."""

    def __init__(
        self, config: PrometheusConfig, conductor: str, metrics: Metrics, rng: random.Random
    ) -> None:
        self._config, self._metrics, self._rng = config, metrics, rng
        self._labels = {"conductor": conductor} | config.labels
        self._queue: deque[bytes] = deque()
        self._queue_changed = anyio.Event()

    async def collect(self) -> None:
        """Add a collection to the queue at each interval; a full queue drops its oldest collection."""
        while True:
            await anyio.sleep(self._config.interval_s)
            if len(self._queue) >= self._config.queue:
                self._queue.popleft()
                self._metrics.remote_write.labels("overflowed").inc()
            self._queue.append(self._encode(int(time.time() * 1000)))
            self._queue_changed.set()

    def _encode(self, timestamp_ms: int) -> bytes:
        """Encode all samples as a snappy-compressed WriteRequest; the format requires sorted labels."""
        request = MESSAGE_CLASSES["WriteRequest"]()
        for metric in self._metrics.registry.collect():
            for sample in metric.samples:
                series = request.timeseries.add()
                labels = {"__name__": sample.name} | self._labels | sample.labels
                for name, value in sorted(labels.items()):
                    series.labels.add(name=name, value=value)
                series.samples.add(value=sample.value, timestamp=timestamp_ms)
        return bytes(cramjam.snappy.compress_raw(request.SerializeToString()))

    async def send(self) -> None:
        """Send the queued collections, oldest first."""
        while True:
            if not self._queue:
                self._queue_changed = anyio.Event()
                await self._queue_changed.wait()
            body = self._queue[0]
            outcome = await self._deliver(body)
            self._metrics.remote_write.labels(outcome).inc()
            if self._queue and self._queue[0] is body:  # unless the full queue has dropped it meanwhile
                self._queue.popleft()

    async def _deliver(self, body: bytes) -> str:
        """Send until the receiver accepts or permanently rejects the collection; returns the outcome."""
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        while True:
            try:
                with anyio.fail_after(self._config.timeout_s):
                    status, retry_after_s = await self._post(body)
            except PEER_ERRORS as error:
                delay_s = backoff.next_delay_s()
                log.warning("remote_write_failed", error=repr(error), again_s=round(delay_s, 3))
            else:
                if status < 300:
                    return "sent"
                if status != 429 and status < 500:
                    log.error("remote_write_dropped", status=status)
                    return "dropped"
                delay_s = backoff.next_delay_s(min_s=retry_after_s)
                log.warning("remote_write_failed", status=status, again_s=round(delay_s, 3))
            await anyio.sleep(delay_s)

    async def _post(self, body: bytes) -> tuple[int, float]:
        url = urlsplit(self._config.remote_write)
        address = f"{url.hostname}:{url.port or 80}"
        conn = await connect(address, self._config.timeout_s)
        try:
            request = h11.Request(
                method="POST",
                target=(url.path or "/") + (f"?{url.query}" if url.query else ""),
                headers=[
                    ("Host", url.netloc),
                    ("Content-Type", "application/x-protobuf"),
                    ("Content-Encoding", "snappy"),
                    ("X-Prometheus-Remote-Write-Version", "0.1.0"),
                    ("User-Agent", f"ringledge/{__version__}"),
                    ("Content-Length", str(len(body))),
                    ("Connection", "close"),
                ],
            )
            await conn.send(request, h11.Data(data=body), h11.EndOfMessage())
            response = await conn.next_event()
            if not isinstance(response, h11.Response):
                raise h11.RemoteProtocolError("the connection was closed before a response")
            retry_after = header(response, b"retry-after") or b""
            return response.status_code, float(retry_after) if retry_after.isdigit() else 0.0
        finally:
            conn.close()
