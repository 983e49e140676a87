"""Estimates the CPU time of a request from the CPU time that the process has used."""

from __future__ import annotations

from ringledge.structures.linear_model import LinearModel

INITIAL_REQUEST_MS, INITIAL_KB_MS = 3.0, 0.02  # initial CPU time per request and per KB of its body
SIZE_UNIT_KB = 64.0  # scales the size to the magnitude of the request count, as the model requires
REJECTION_MS = 0.35  # CPU time per rejection; fixed, since a learned value would absorb the other costs


class CostModel:
    """Linear model of CPU time by number of requests and size of their bodies."""

    def __init__(self) -> None:
        initial = (INITIAL_REQUEST_MS, INITIAL_KB_MS * SIZE_UNIT_KB)
        self._model = LinearModel(initial, min_factor=0.1, max_factor=20.0, step=0.2)
        self._inputs = [0.0, 0.0]  # requests since the last update, and their size in units of SIZE_UNIT_KB
        self._rejections = 0

    def estimate_ms(self, body_kb: float) -> float:
        """Estimated CPU time of a request with a body of this size."""
        request_ms, unit_ms = self._model.weights
        return request_ms + unit_ms * body_kb / SIZE_UNIT_KB

    def record_admission(self, body_kb: float) -> None:
        """Count an admitted request."""
        self._inputs[0] += 1
        self._inputs[1] += body_kb / SIZE_UNIT_KB

    def record_rejection(self) -> None:
        """Count a rejected request."""
        self._rejections += 1

    def update(self, cpu_ms: float) -> float:
        """Update the model with the CPU time used since the last call; returns that of rejections, in ms."""
        rejections_ms = self._rejections * REJECTION_MS
        if not self._rejections:  # else costs of many rejections would be attributed to few requests
            self._model.update(self._inputs, cpu_ms)
        self._inputs = [0.0, 0.0]
        self._rejections = 0
        return rejections_ms
