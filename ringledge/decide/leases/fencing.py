"""The receiver's check of fencing tokens: effects under a token below the highest seen are rejected.

A lease holder may be suspended for any length of time between the check of its clock and its effect, and
resume when another member holds the duty. The lease cannot prevent such an effect, but its receiver can.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping


class FencingTokenCheck:
    """Checks the token of each effect against the highest token seen for its duty.

    Invariant: an effect is admitted only under a token not below any admitted before for its duty.
    """

    def __init__(
        self,
        highest_tokens: Mapping[str, int] | None = None,
        persist: Callable[[str, int], None] | None = None,
    ) -> None:
        """`highest_tokens` are those persisted earlier; `persist(duty, token)` returns once it is durable.

        Both are needed if the effect itself is durable: after a restart the receiver would otherwise admit a
        former holder.
        """
        self._highest_tokens = dict(highest_tokens or {})
        self._persist = persist
        self.rejected = 0

    def admit(self, duty: str, token: int) -> bool:
        """Whether an effect under the token may be applied; a new highest token is persisted first.

        If `persist` raises, the exception passes on, the token is not recorded and nothing may be applied.
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
        """The highest token seen for the duty; 0 if there was none."""
        return self._highest_tokens.get(duty, 0)
