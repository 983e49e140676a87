"""One HTTP connection of a stand-in, and the answers that it writes."""

from __future__ import annotations

import asyncio

import httptools


def answer(status: int, body: bytes = b"", head: bytes = b"") -> bytes:
    """One whole answer."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), head, body)


def chunk(data: bytes) -> bytes:
    """A piece of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Peer(asyncio.Protocol):
    """One connection: requests parsed one after another, each handed to `handle`."""

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
        self.headers, self.target = {}, b""

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
        """Answer one request."""
        raise NotImplementedError
