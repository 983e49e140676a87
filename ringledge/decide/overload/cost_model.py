"""What a request costs in CPU time, learned from what the process used."""

from __future__ import annotations

from ringledge.structures.linear_model import LinearModel

REQUEST_MS, KB_MS = 3.0, 0.02  # CPU of a request and of each KB of it: the first guess
KB_UNIT = 64.0  # KB that weigh about as much as a request: the model wants inputs of like size
REJECTION_MS = 0.35  # CPU of a rejection, measured; learned beside the others it would take on their costs


class CostModel:
    """A linear model in requests and KB."""

    def __init__(self) -> None:
        self._model = LinearModel((REQUEST_MS, KB_MS * KB_UNIT), low=0.1, high=20.0, step=0.2)
        self._inputs = [0.0, 0.0]
        self._rejections = 0

    def estimate_ms(self, kb: float) -> float:
        """CPU time of a request with a body of so many KB."""
        request, size = self._model.weights
        return request + size * kb / KB_UNIT

    def count_admitted(self, kb: float) -> None:
        """Count an admitted request."""
        self._inputs[0] += 1
        self._inputs[1] += kb / KB_UNIT

    def count_rejected(self) -> None:
        """Count a rejected request."""
        self._rejections += 1

    def learn(self, cpu_ms: float) -> float:
        """Learn from the CPU time used since the last call; returns what rejections took of it, in ms."""
        rejections_ms = self._rejections * REJECTION_MS
        if not self._rejections:  # beside many, the few admitted would be taken for the cause of all
            self._model.update(self._inputs, cpu_ms)
        self._inputs = [0.0, 0.0]
        self._rejections = 0
        return rejections_ms
