"""Whoever receives effects of a duty refuses one whose token is below the highest that it has seen.

A holder may be stopped between its look at the clock and its effect, for as long as it pleases the machine,
and go on when another has begun. No lease can know that; the receiver can.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping


class FencingTokenCheck:
    """The highest token seen of each duty."""

    def __init__(
        self, seen: Mapping[str, int] | None = None, persist: Callable[[str, int], None] | None = None
    ) -> None:
        """`seen`: what was persisted; `persist(duty, token)`: returns once it is durable, or raises.

        Needed where the effect itself is durable: a receiver that forgot would let an old holder in.
        """
        self._seen = dict(seen or {})
        self._persist = persist
        self.refused = 0

    def admit(self, duty: str, token: int) -> bool:
        """Whether an effect under the token may be applied; a higher one is remembered first.

        Raises what `persist` raises; then nothing is remembered and nothing may be applied.
        """
        highest = self._seen.get(duty, 0)
        if token < highest:
            self.refused += 1
            return False
        if token > highest:
            if self._persist is not None:
                self._persist(duty, token)
            self._seen[duty] = token
        return True

    def highest(self, duty: str) -> int:
        """The highest token seen; 0 where none was."""
        return self._seen.get(duty, 0)
