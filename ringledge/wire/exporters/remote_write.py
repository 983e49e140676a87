"""Prometheus: /metrics to be scraped, and remote write 1.0 to a receiver."""

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

FIRST_BACKOFF_S, MOST_BACKOFF_S = 0.5, 30.0
OPTIONAL, REPEATED = 1, 3  # the numbers of labels and types in descriptor.proto
STRING, DOUBLE, INT64, MESSAGE = 9, 1, 3, 11
FIELDS = {  # the remote write 1.0 messages: name, number, kind, and the message that it holds
    "Label": [("name", 1, STRING, ""), ("value", 2, STRING, "")],
    "Sample": [("value", 1, DOUBLE, ""), ("timestamp", 2, INT64, "")],
    "TimeSeries": [("labels", 1, MESSAGE, "Label"), ("samples", 2, MESSAGE, "Sample")],
    "WriteRequest": [("timeseries", 1, MESSAGE, "TimeSeries")],
}


def _build_message_classes() -> dict[str, Any]:
    """The messages' classes, built from their published fields."""
    file = descriptor_pb2.FileDescriptorProto(name="remote.proto", package="prometheus", syntax="proto3")
    for name, fields in FIELDS.items():
        message = file.message_type.add(name=name)
        for field, number, kind, holds in fields:
            label = REPEATED if holds else OPTIONAL
            message.field.add(
                name=field, number=number, type=kind, label=label,
                type_name=f".prometheus.{holds}" if holds else None,
            )  # fmt: skip
    pool: Any = descriptor_pool.DescriptorPool()  # its methods carry no types
    pool.AddSerializedFile(file.SerializeToString())
    found = {name: pool.FindMessageTypeByName(f"prometheus.{name}") for name in FIELDS}
    return {name: message_factory.GetMessageClass(each) for name, each in found.items()}


MESSAGE_CLASSES = _build_message_classes()


class Scrape:
    """The front that /metrics is scraped from."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one scrape."""
        if head.target.partition(b"?")[0] != b"/metrics":
            raise HttpError(404, "only /metrics here", "not_found")
        require_method(head, b"GET")
        await read_body(conn, head)
        text = exposition.generate_latest(self._metrics.registry)
        await respond(conn, 200, text, content_type=exposition.CONTENT_TYPE_LATEST.encode())


class RemoteWrite:
    """Collects every figure now and then, and sends the collections in order."""

    def __init__(
        self, config: PrometheusConfig, conductor: str, metrics: Metrics, rng: random.Random
    ) -> None:
        self._config, self._metrics, self._rng = config, metrics, rng
        self._labels = {"conductor": conductor} | config.labels
        self._queue: deque[bytes] = deque()
        self._more = anyio.Event()

    async def collect(self) -> None:
        """Queue a collection every interval; a full queue loses its oldest."""
        while True:
            await anyio.sleep(self._config.interval_s)
            if len(self._queue) >= self._config.queue:
                self._queue.popleft()
                self._metrics.remote_write.labels("overflowed").inc()
            self._queue.append(self._encode(int(time.time() * 1000)))
            self._more.set()

    def _encode(self, at_ms: int) -> bytes:
        """All samples as one snappy-compressed WriteRequest; labels in order, as the format demands."""
        request = MESSAGE_CLASSES["WriteRequest"]()
        for metric in self._metrics.registry.collect():
            for sample in metric.samples:
                series = request.timeseries.add()
                labels = {"__name__": sample.name} | self._labels | sample.labels
                for name, value in sorted(labels.items()):
                    series.labels.add(name=name, value=value)
                series.samples.add(value=sample.value, timestamp=at_ms)
        return bytes(cramjam.snappy.compress_raw(request.SerializeToString()))

    async def send(self) -> None:
        """Send what is queued, oldest first."""
        while True:
            if not self._queue:
                self._more = anyio.Event()
                await self._more.wait()
            body = self._queue[0]
            how = await self._deliver(body)
            self._metrics.remote_write.labels(how).inc()
            if self._queue and self._queue[0] is body:  # it may have overflowed meanwhile
                self._queue.popleft()

    async def _deliver(self, body: bytes) -> str:
        """Try until the receiver takes it or says that it never will."""
        backoff = Backoff(FIRST_BACKOFF_S, MOST_BACKOFF_S, self._rng)
        while True:
            try:
                with anyio.fail_after(self._config.timeout_s):
                    status, told = await self._post(body)
            except PEER_ERRORS as error:
                wait_s = backoff.next_delay_s()
                log.warning("remote_write_failed", error=repr(error), again_s=round(wait_s, 3))
            else:
                if status < 300:
                    return "sent"
                if status != 429 and status < 500:
                    log.error("remote_write_dropped", status=status)
                    return "dropped"
                wait_s = backoff.next_delay_s(min_s=told)
                log.warning("remote_write_failed", status=status, again_s=round(wait_s, 3))
            await anyio.sleep(wait_s)

    async def _post(self, body: bytes) -> tuple[int, float]:
        url = urlsplit(self._config.remote_write)
        address = f"{url.hostname}:{url.port or 80}"
        conn = await connect(address, self._config.timeout_s)
        try:
            head = h11.Request(
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
            await conn.send(head, h11.Data(data=body), h11.EndOfMessage())
            answer = await conn.next_event()
            if not isinstance(answer, h11.Response):
                raise h11.RemoteProtocolError("the connection ended before an answer")
            after = header(answer, b"retry-after") or b""
            return answer.status_code, float(after) if after.isdigit() else 0.0
        finally:
            conn.close()
