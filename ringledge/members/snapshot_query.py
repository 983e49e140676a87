"""A look at who is there, by one datagram to a member and the Rosters that it answers."""

from __future__ import annotations

import os
import socket
import time

from ringledge.decide.membership.messages import MESSAGES, MemberList, MemberListQuery, MembershipUpdate
from ringledge.members.codec import Codec, MalformedError
from ringledge.members.datagrams import endpoint

QUIET_S = 0.3  # after the last Roster no more are waited for


def look(cluster: str, key: bytes, address: str, wait_s: float) -> list[MembershipUpdate]:
    """What the member at an address believes, itself first; empty where it does not answer in time."""
    at = endpoint(address)
    codec = Codec(cluster, key, f"look-{os.getpid()}", {"membership": MESSAGES})
    rows: dict[str, MembershipUpdate] = {}
    until_s = time.monotonic() + wait_s
    with socket.socket(socket.AF_INET6 if ":" in at[0] else socket.AF_INET, socket.SOCK_DGRAM) as asking:
        asking.sendto(codec.pack(MemberListQuery(), time.time_ns() // 1_000_000, 0), at)
        while (left_s := until_s - time.monotonic()) > 0:
            asking.settimeout(left_s)
            try:
                message = codec.read(asking.recv(4096)).message
            except TimeoutError:
                break
            except MalformedError:
                continue
            except ConnectionError:  # told by the system: nobody listens there
                break
            if isinstance(message, MemberList):
                rows |= {news.name: news for news in message.updates}
                until_s = min(until_s, time.monotonic() + QUIET_S)
    return list(rows.values())
