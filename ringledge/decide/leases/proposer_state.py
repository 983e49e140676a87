"""The states of a proposer."""

from __future__ import annotations

from enum import Enum, auto


class ProposerState(Enum):
    """What a proposer does about its duty."""

    IDLE = auto()  # until its next attempt
    PREPARING = auto()  # asks the acceptors whether the duty is free, and for the highest token
    PROPOSING = auto()  # asks the acceptors to lock the duty
    HOLDING = auto()  # a majority has locked the duty; the locks are renewed
