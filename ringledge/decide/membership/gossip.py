"""News that is passed on with other messages, each piece a bounded number of times."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.decide.membership.messages import News
from ringledge.decide.paging import size


@dataclass(slots=True)
class _Piece:
    news: News
    size: int  # bytes, packed
    left: int  # times that it is still passed on


class Gossip:
    """The latest news of each member; newer news takes the place of older."""

    def __init__(self) -> None:
        self._pieces: dict[str, _Piece] = {}

    def add(self, news: News, times: int) -> None:
        """Pass it on so many times."""
        self._pieces[news.name] = _Piece(news, size(news), times)

    def quiet(self) -> bool:
        """Whether there is nothing to pass on."""
        return not self._pieces

    def take(self, room: int, to: str, first: News | None = None) -> tuple[News, ...]:
        """What goes along to a member, of others: `first`, then what was passed on least, in `room` bytes."""
        chosen: list[News] = []
        if first is not None:
            chosen.append(first)
            room -= size(first)
        for piece in sorted(self._pieces.values(), key=lambda each: -each.left):
            if piece.size > room or piece.news.name == to:
                continue
            room -= piece.size
            chosen.append(piece.news)
            piece.left -= 1
            if not piece.left:
                del self._pieces[piece.news.name]
        return tuple(chosen)
