"""The states of a proposer."""

from __future__ import annotations

from enum import Enum, auto


class ProposerState(Enum):
    """The phase that a proposer is in."""

    IDLE = auto()  # waits for its next attempt
    PREPARING = auto()  # asks the acceptors whether the duty is free, and for its highest token
    PROPOSING = auto()  # asks the acceptors to lock the duty
    HOLDING = auto()  # a majority has locked the duty; the proposer renews the locks
