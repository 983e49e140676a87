"""The server side of an HTTP/1.1 connection, for stand-in servers."""

from __future__ import annotations

import asyncio

import httptools


def response(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    """Encode a complete response; `headers`: additional header lines, each ending in CRLF."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), headers, body)


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a body in chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class HttpConnection(asyncio.Protocol):
    """One connection; its requests are parsed one after another and passed to `handle`."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport
        self.headers: dict[bytes, bytes] = {}
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.headers = {}
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.handle(self.parser.get_method(), self.target)

    def handle(self, method: bytes, target: bytes) -> None:
        """Respond to one request."""
        raise NotImplementedError
