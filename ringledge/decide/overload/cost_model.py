"""The CPU time of a request, learned from what the process used."""

from __future__ import annotations

from ringledge.structures.linear_model import LinearModel

INITIAL_REQUEST_MS, INITIAL_KB_MS = 3.0, 0.02  # CPU of a request and of each KB of it
KB_UNIT = 64.0  # KB that weigh about as much as a request: the model wants inputs of like size
REJECTION_MS = 0.35  # CPU of a rejection; learned with the others it would absorb their costs


class CostModel:
    """A linear model of CPU time in requests and KB."""

    def __init__(self) -> None:
        initial = (INITIAL_REQUEST_MS, INITIAL_KB_MS * KB_UNIT)
        self._model = LinearModel(initial, low=0.1, high=20.0, step=0.2)
        self._inputs = [0.0, 0.0]  # since the last update: requests, and their size in units of KB_UNIT
        self._rejections = 0

    def estimate_ms(self, body_kb: float) -> float:
        """CPU time of a request with a body of that size."""
        request_ms, unit_ms = self._model.weights
        return request_ms + unit_ms * body_kb / KB_UNIT

    def record_admission(self, body_kb: float) -> None:
        """Count an admitted request."""
        self._inputs[0] += 1
        self._inputs[1] += body_kb / KB_UNIT

    def record_rejection(self) -> None:
        """Count a rejected request."""
        self._rejections += 1

    def update(self, cpu_ms: float) -> float:
        """Learn from the CPU time used since the last call; returns the rejections' part of it, in ms."""
        rejections_ms = self._rejections * REJECTION_MS
        if not self._rejections:  # beside many, the few admitted would be taken for the cause of all
            self._model.update(self._inputs, cpu_ms)
        self._inputs = [0.0, 0.0]
        self._rejections = 0
        return rejections_ms
