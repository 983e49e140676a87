"""Non-blocking UDP socket. The kernel's receive buffer bounds waiting datagrams; overflows are counted."""

from __future__ import annotations

import ipaddress
import socket
import struct

import anyio

from ringledge.decide.interface import MAX_DATAGRAM_BYTES

BATCH_SIZE = 64  # maximum number of datagrams received before other tasks of the event loop run
SO_RXQ_OVFL = 40  # Linux socket option: reports with each datagram how many were dropped since opening

Endpoint = tuple[str, int]


def parse_endpoint(address: str) -> Endpoint:
    """Parse IP:PORT or [IP]:PORT; raises ValueError for anything else, as host names are not resolved."""
    host, colon, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as error:
        raise ValueError(f"expected IP:PORT, not {address!r}") from error
    if not (colon and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"expected IP:PORT, not {address!r}")
    return str(ip), int(port)


def format_endpoint(endpoint: Endpoint) -> str:
    """Format an endpoint as IP:PORT, or as [IP]:PORT for IPv6."""
    host, port = endpoint
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def address_family(endpoint: Endpoint) -> socket.AddressFamily:
    """Return the address family of an endpoint."""
    return socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET


class DatagramSocket:
    """A bound non-blocking UDP socket; raises OSError if it cannot be bound."""

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
        self.overflow_count = 0  # datagrams that the kernel has dropped since the socket was opened
        self.address = format_endpoint(self._socket.getsockname()[:2])

    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Send a datagram; raises BlockingIOError if the send buffer is full, or another OSError."""
        self._socket.sendto(datagram, to)

    async def wait_readable(self) -> None:
        """Wait until at least one datagram can be received."""
        await anyio.wait_readable(self._socket)

    def receive(self) -> list[tuple[bytes, Endpoint]]:
        """Receive up to BATCH_SIZE waiting datagrams with their sources.

        A datagram above the size limit is truncated to one byte more, which the codec rejects as too long.
        """
        received: list[tuple[bytes, Endpoint]] = []
        for _ in range(BATCH_SIZE):
            try:
                datagram, ancillary, _, source = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES + 1, socket.CMSG_SPACE(4)
                )
            except BlockingIOError:
                break
            except OSError:  # pending error of an earlier send, for example to an unreachable port
                continue
            for level, kind, value in ancillary:
                if (level, kind) == (socket.SOL_SOCKET, SO_RXQ_OVFL) and len(value) == 4:
                    self.overflow_count = struct.unpack("=I", value)[0]
            received.append((datagram, source[:2]))
        return received

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
