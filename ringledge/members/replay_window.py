"""Detects duplicated and replayed datagrams by a window over the sequence numbers of each sender's start."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SIZE = 1024  # sequence numbers by which a datagram may be overtaken by others of its sender
MAX_SENDERS = 1024  # starts of names that are remembered, the latest received


@dataclass(slots=True)
class _SenderWindow:
    """The highest sequence number, and a bit mask of those accepted: bit 0 is the highest, bit n n below."""

    highest: int
    accepted: int = 0


class ReplayWindow:
    """Tells new datagrams from duplicated or replayed ones."""

    def __init__(self) -> None:
        self._windows: dict[tuple[str, int], _SenderWindow] = {}  # the least recently received first

    def accept(self, sender: str, start: int, sequence: int) -> bool:
        """Whether a datagram is new as far as is remembered; from now on it is not."""
        window = self._windows.pop((sender, start), None) or _SenderWindow(sequence)
        is_new = _accept(window, sequence)
        self._windows[sender, start] = window
        if len(self._windows) > MAX_SENDERS:
            del self._windows[next(iter(self._windows))]
        return is_new


def _accept(window: _SenderWindow, sequence: int) -> bool:
    behind = window.highest - sequence
    if behind >= WINDOW_SIZE:  # too old to tell
        return False
    if behind < 0:
        ahead = -behind
        moved = window.accepted << ahead if ahead < WINDOW_SIZE else 0
        window.accepted = (moved | 1) & (1 << WINDOW_SIZE) - 1
        window.highest = sequence
        return True
    is_new = not window.accepted >> behind & 1
    window.accepted |= 1 << behind
    return is_new
