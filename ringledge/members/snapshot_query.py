"""Queries a member for its member table: sends one MemberListQuery and collects the MemberList responses."""

from __future__ import annotations

import os
import socket
import time

from ringledge.decide.membership.messages import MESSAGES, MemberList, MemberListQuery, MembershipUpdate
from ringledge.members.codec import Codec, DatagramError
from ringledge.members.datagrams import address_family, parse_endpoint

LAST_RESPONSE_TIMEOUT_S = 0.3  # if no MemberList follows within this time, the table is complete
MAX_RECEIVE_BYTES = 4096


def query_members(cluster: str, key: bytes, address: str, wait_s: float) -> list[MembershipUpdate]:
    """Return the member table of the member at an address, with that member first.

    The result is empty if the member does not respond in time.
    """
    endpoint = parse_endpoint(address)
    codec = Codec(cluster, key, f"look-{os.getpid()}", {"membership": MESSAGES})
    updates: dict[str, MembershipUpdate] = {}
    deadline_s = time.monotonic() + wait_s
    with socket.socket(address_family(endpoint), socket.SOCK_DGRAM) as client:
        client.sendto(codec.encode(MemberListQuery(), time.time_ns() // 1_000_000, 0), endpoint)
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            client.settimeout(remaining_s)
            try:
                message = codec.decode(client.recv(MAX_RECEIVE_BYTES)).message
            except TimeoutError:
                break
            except DatagramError:
                continue
            except ConnectionError:  # no process listens at the address
                break
            if isinstance(message, MemberList):
                updates |= {update.name: update for update in message.updates}
                deadline_s = min(deadline_s, time.monotonic() + LAST_RESPONSE_TIMEOUT_S)
    return list(updates.values())
