"""What members say to one another about who is there.

Each message names the sender's start and the receiver's as the sender knows it (0: not known), so that one
which is addressed as its predecessor can say who it is now.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec
from msgspec import Meta

from ringledge.decide.datagram import BODY_MOST, NAME_MOST, Count, Name, Start, Word
from ringledge.decide.paging import BUCKETS

FRAME_BYTES = 32  # of a Ping without its news: array heads, two starts, a nonce and a view at their longest
ADDRESS_MOST = 64  # bytes of host:port; an IPv6 address with its port takes 47
NEWS_BYTES = BODY_MOST - FRAME_BYTES  # what is left for piggy-backed news


class Status(enum.IntEnum):
    """What is said of a member; with the same incarnation the higher one counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # said by itself, the last word of this start


class News(msgspec.Struct, array_like=True, frozen=True):
    """One member as the sender knows it. Address and site are given where it is alive."""

    name: Name
    start: Start
    incarnation: Count  # raised by the member itself alone, to refute what is said of it
    status: Status
    address: Annotated[str, Meta(max_length=ADDRESS_MOST)] = ""
    site: Annotated[str, Meta(max_length=NAME_MOST)] = ""


class Ping(msgspec.Struct, array_like=True, frozen=True):
    """Are you there? Answered by an Ack with the same nonce."""

    start: Start
    to_start: Start
    nonce: Word
    view: Word  # 32-bit sum over who is there, to see whether two members agree
    news: tuple[News, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True):
    """Yes; or, from one that was asked by Ask, the other one is."""

    start: Start
    to_start: Start
    nonce: Word
    view: Word
    news: tuple[News, ...] = ()


class Ask(msgspec.Struct, array_like=True, frozen=True):
    """Ping another member for me, for I hear nothing of it."""

    start: Start
    to_start: Start
    nonce: Word
    target: Name


class Join(msgspec.Struct, array_like=True, frozen=True):
    """Here I am. Answered by Rosters."""

    to_start: Start
    me: News


class Roster(msgspec.Struct, array_like=True, frozen=True):
    """Part of what the sender knows of all."""

    start: Start
    to_start: Start
    news: tuple[News, ...]


class Look(msgspec.Struct, array_like=True, frozen=True):
    """Who is there? From one who is no member; answered by Rosters."""


class Views(msgspec.Struct, array_like=True, frozen=True):
    """Sums over who is there, by bucket of names. Answered by Rosters of those that differ."""

    start: Start
    to_start: Start
    sums: Annotated[tuple[Word, ...], Meta(min_length=BUCKETS, max_length=BUCKETS)]


MESSAGES: tuple[type[msgspec.Struct], ...] = (Ping, Ack, Ask, Join, Roster, Look, Views)
Message = Ping | Ack | Ask | Join | Roster | Look | Views


def news_of(message: Ping | Ack | Ask | Join | Roster | Views) -> tuple[News, ...]:
    """The news that rides on a message."""
    match message:
        case Join():
            return (message.me,)
        case Ask() | Views():
            return ()
        case _:
            return message.news
