"""How many unread tokens one router may have out at all readers together while reads jam; no I/O, no clock.

A router of many sees each reader too seldom to know its queue, but all its reads together tell whether reads
wait. The limit is that of a sender on a shared network (additive increase, multiplicative decrease: Chiu and
Jain 1989). There is none while nothing waits; a wait cuts it, unless another reader has read soon lately (one
is slow then, not all); reads that come soon let it grow, and a while without a jam lifts it.
"""

from __future__ import annotations

from math import inf

# Tuned values: unit, and why.
WAITED = 0.3  # share of the time wanted that a read waits in a jam: what is left has to do for the rest
LATELY_MS = 1_000.0  # ms for which a read that came soon tells of the others: about the wait of a jam
DOWN = 0.7  # of the limit, or of what is out if that is less, that is left by a wait: as on networks
UP = 600.0  # tokens by which a read that came soon lets the limit grow: about a short read
CALM_MS = 3_000.0  # ms without a jam after which nothing is limited: some times a jam's wait
BASE = 0.3  # value that the least worth counts as in addition: it is turned away first, not alone


class Jam:
    """The limit of one router."""

    def __init__(self) -> None:
        self.most = inf  # unread tokens that may be out
        self.cut_ms = self.jammed_ms = self.soon_ms = -inf  # last cut, sign of a jam, and read without a wait

    def waited(self, now_ms: float, wait: float, sent_ms: float) -> bool:
        """A read has ended, or was given up, after a wait beyond its own work, as a share of the time wanted.

        Whether that calls for a cut.
        """
        if wait <= WAITED:
            self.soon_ms = now_ms
            self.most += UP
            if now_ms - self.jammed_ms > CALM_MS:
                self.most = inf
        elif now_ms - self.soon_ms > LATELY_MS:
            self.jammed_ms = now_ms
            return sent_ms >= self.cut_ms  # sent before the last cut it tells of what that was made for
        return False

    def cut(self, now_ms: float, out: float, least: float) -> None:
        """Limit what is out, `out` by now; `least` is no jam even if all routers have as much out."""
        self.most, self.cut_ms = max(least, DOWN * min(self.most, out)), now_ms

    def room(self, out: float, tokens: float, value: float, chance: float) -> bool:
        """Whether a read of that many tokens and a value of at most 1 may be sent.

        `chance` is drawn evenly from 0 to 1: were all routers to hold a read back at once, nothing would tell
        when the jam is over.
        """
        return out + chance * tokens / (BASE + value) < self.most
