"""The receiver's side of fencing tokens: effects under a token below the highest seen are rejected.

A holder may be suspended between its check of the clock and its effect, for any length of time, and resume
when another member holds the duty. No lease can prevent that; the receiver of the effect can.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping


class FencingTokenCheck:
    """The highest token seen of each duty.

    Invariant: an effect is admitted only under a token not below any admitted before for its duty.
    """

    def __init__(
        self,
        highest_tokens: Mapping[str, int] | None = None,
        persist: Callable[[str, int], None] | None = None,
    ) -> None:
        """`highest_tokens`: as persisted; `persist(duty, token)`: returns once it is durable, or raises.

        Needed where the effect itself is durable: a receiver that forgot would admit an old holder.
        """
        self._highest_tokens = dict(highest_tokens or {})
        self._persist = persist
        self.rejected = 0

    def admit(self, duty: str, token: int) -> bool:
        """Whether an effect under the token may be applied; a higher token is persisted first.

        Raises what `persist` raises; then nothing is remembered and nothing may be applied.
        """
        highest_token = self.highest(duty)
        if token < highest_token:
            self.rejected += 1
            return False
        if token > highest_token:
            if self._persist is not None:
                self._persist(duty, token)
            self._highest_tokens[duty] = token
        return True

    def highest(self, duty: str) -> int:
        """The highest token seen; 0 where none was."""
        return self._highest_tokens.get(duty, 0)
