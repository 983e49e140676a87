"""A UDP socket. The system's buffer bounds the waiting datagrams; those that overflow it are counted."""

from __future__ import annotations

import ipaddress
import socket
import struct

import anyio

from ringledge.decide.interface import MAX_DATAGRAM_BYTES

BATCH_SIZE = 64  # datagrams that are received before other tasks of the loop run
SO_RXQ_OVFL = 40  # Linux: each datagram carries how many were dropped since the socket was opened

Endpoint = tuple[str, int]


def parse_endpoint(address: str) -> Endpoint:
    """Host and port of IP:PORT or [IP]:PORT; ValueError otherwise. Host names are not resolved."""
    host, colon, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as error:
        raise ValueError(f"IP:PORT is allowed, not {address!r}") from error
    if not (colon and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"IP:PORT is allowed, not {address!r}")
    return str(ip), int(port)


def format_endpoint(endpoint: Endpoint) -> str:
    """IP:PORT or [IP]:PORT."""
    host, port = endpoint
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def address_family(endpoint: Endpoint) -> socket.AddressFamily:
    """The address family of an endpoint's IP address."""
    return socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET


class DatagramSocket:
    """A bound, non-blocking socket; OSError where it cannot be bound to the address."""

    def __init__(self, listen: str, buffer_bytes: int) -> None:
        endpoint = parse_endpoint(listen)
        self._socket = socket.socket(address_family(endpoint), socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            self._socket.setsockopt(socket.SOL_SOCKET, SO_RXQ_OVFL, 1)
            self._socket.bind(endpoint)
        except OSError:
            self._socket.close()
            raise
        self.overflow_count = 0  # datagrams that the system dropped since the socket was opened
        self.address = format_endpoint(self._socket.getsockname()[:2])

    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Send a datagram; BlockingIOError where the buffer is full, else OSError where it fails."""
        self._socket.sendto(datagram, to)

    async def wait_readable(self) -> None:
        """Wait until a datagram is waiting."""
        await anyio.wait_readable(self._socket)

    def receive(self) -> list[tuple[bytes, Endpoint]]:
        """The waiting datagrams with their sources, up to a batch; too long ones are truncated."""
        received: list[tuple[bytes, Endpoint]] = []
        for _ in range(BATCH_SIZE):
            try:
                datagram, ancillary, _, source = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES + 1, socket.CMSG_SPACE(4)
                )
            except BlockingIOError:
                break
            except OSError:  # the pending error of an earlier send, as to an unreachable port
                continue
            for level, kind, value in ancillary:
                if (level, kind) == (socket.SOL_SOCKET, SO_RXQ_OVFL) and len(value) == 4:
                    self.overflow_count = struct.unpack("=I", value)[0]
            received.append((datagram, source[:2]))
        return received

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
