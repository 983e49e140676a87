"""One UDP socket. What waits is bounded by the system's buffer; what it has no room for is counted."""

from __future__ import annotations

import ipaddress
import socket
import struct

import anyio

from ringledge.decide.interface import MAX_DATAGRAM_BYTES

BATCH = 64  # datagrams that are read in one turn of the loop, then everything else has its turn
OVERFLOWS = 40  # SO_RXQ_OVFL: with each datagram the system tells how many it dropped since the socket opened

Endpoint = tuple[str, int]


def endpoint(address: str) -> Endpoint:
    """IP:PORT or [IP]:PORT taken apart; ValueError where it is none. Names of hosts are not looked up."""
    host, colon, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as error:
        raise ValueError(f"IP:PORT is allowed, not {address!r}") from error
    if not (colon and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"IP:PORT is allowed, not {address!r}")
    return str(ip), int(port)


def spelled(at: Endpoint) -> str:
    """The same in one piece."""
    return f"[{at[0]}]:{at[1]}" if ":" in at[0] else f"{at[0]}:{at[1]}"


class Datagrams:
    """The socket; OSError where the address can't be had."""

    def __init__(self, listen: str, buffer_bytes: int) -> None:
        at = endpoint(listen)
        self._socket = socket.socket(socket.AF_INET6 if ":" in at[0] else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            self._socket.setsockopt(socket.SOL_SOCKET, OVERFLOWS, 1)
            self._socket.bind(at)
        except OSError:
            self._socket.close()
            raise
        self.overflowed = 0  # datagrams that found no room
        self.address = spelled(self._socket.getsockname()[:2])

    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Hand one to the system; BlockingIOError where it has no room, else OSError where it won't."""
        self._socket.sendto(datagram, to)

    async def readable(self) -> None:
        """Wait until something can be read."""
        await anyio.wait_readable(self._socket)

    def read(self) -> list[tuple[bytes, Endpoint]]:
        """What waits, up to a batch, with its source; one longer than all may be is cut one byte later."""
        heard: list[tuple[bytes, Endpoint]] = []
        for _ in range(BATCH):
            try:
                datagram, extra, _, source = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES + 1, socket.CMSG_SPACE(4)
                )
            except BlockingIOError:
                break
            except (
                OSError
            ):  # an earlier one came back as unreachable: told on the next call, and nothing to do
                continue
            for level, kind, value in extra:
                if (level, kind) == (socket.SOL_SOCKET, OVERFLOWS) and len(value) == 4:
                    self.overflowed = struct.unpack("=I", value)[0]
            heard.append((datagram, source[:2]))
        return heard

    def close(self) -> None:
        """Let it go."""
        self._socket.close()
