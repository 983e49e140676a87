"""Detects duplicate and replayed datagrams by a sliding window of sequence numbers per sender and start."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SIZE = 1024  # a datagram that is this far behind the highest sequence number is rejected
MAX_SENDERS = 1024  # bounds the windows kept; the least recently used one is evicted


@dataclass(slots=True)
class _SenderWindow:
    """Accepted sequence numbers as a bit mask; bit n stands for the one that is n below the highest."""

    highest: int
    accepted: int = 0


class ReplayWindow:
    """Distinguishes new datagrams from duplicate or replayed ones."""

    def __init__(self) -> None:
        self._windows: dict[
            tuple[str, int], _SenderWindow
        ] = {}  # by sender and start, least recently used first

    def accept(self, sender: str, start: int, sequence: int) -> bool:
        """Mark a datagram as received; returns whether it was new, False if it is too old to tell."""
        window = self._windows.pop((sender, start), None) or _SenderWindow(sequence)
        is_new = _accept(window, sequence)
        self._windows[sender, start] = window
        if len(self._windows) > MAX_SENDERS:
            del self._windows[next(iter(self._windows))]
        return is_new


def _accept(window: _SenderWindow, sequence: int) -> bool:
    behind = window.highest - sequence
    if behind >= WINDOW_SIZE:  # too old to be in the window
        return False
    if behind < 0:
        ahead = -behind
        shifted = window.accepted << ahead if ahead < WINDOW_SIZE else 0
        window.accepted = (shifted | 1) & (1 << WINDOW_SIZE) - 1
        window.highest = sequence
        return True
    is_new = not window.accepted >> behind & 1
    window.accepted |= 1 << behind
    return is_new
