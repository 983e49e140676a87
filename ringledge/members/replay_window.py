"""Which datagrams were heard before: a window over the count of each sender's start."""

from __future__ import annotations

WINDOW = 1024  # datagrams by which one may be overtaken by others of its sender
SENDERS_MOST = 1024  # starts of names that are remembered, the latest heard


class Guard:
    """Tells what is new from what is doubled or replayed."""

    def __init__(self) -> None:
        self._seen: dict[tuple[str, int], tuple[int, int]] = {}  # the highest number, and bits of those below

    def fresh(self, sender: str, start: int, number: int) -> bool:
        """Whether this one was not heard before, as far as is remembered; it is from now on."""
        highest, bits = self._seen.pop((sender, start), (number, 0))
        behind = highest - number
        if behind < 0:
            bits = (bits << -behind | 1) & (1 << WINDOW) - 1 if -behind < WINDOW else 1
            highest, is_fresh = number, True
        else:
            is_fresh = behind < WINDOW and not bits >> behind & 1
            bits |= 1 << behind if behind < WINDOW else 0
        self._seen[sender, start] = (highest, bits)
        if len(self._seen) > SENDERS_MOST:
            del self._seen[next(iter(self._seen))]
        return is_fresh
