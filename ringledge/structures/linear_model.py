"""A linear model learned sample by sample: normalised least mean squares (Widrow and Hoff, 1960)."""

from __future__ import annotations

from collections.abc import Sequence


class Linear:
    """Weights, each kept within its bounds, that follow what samples say of them."""

    __slots__ = ("_high", "_low", "step", "weights")

    def __init__(self, weights: Sequence[float], low: float, high: float, step: float) -> None:
        """Start from a guess; `low` and `high` are multiples of it that a weight stays between."""
        self.weights = list(weights)
        self._low, self._high = [w * low for w in weights], [w * high for w in weights]
        self.step = step  # 0 to 1: how far one sample moves the weights towards what would explain it

    def value(self, inputs: Sequence[float]) -> float:
        """What the model says of these inputs."""
        return sum(w * x for w, x in zip(self.weights, inputs, strict=True))

    def learn(self, inputs: Sequence[float], seen: float) -> None:
        """Take one sample in. Inputs should be of like size, for the error is divided by their squares."""
        power = sum(x * x for x in inputs)
        if power <= 0:
            return
        part = self.step * (seen - self.value(inputs)) / (1.0 + power)
        moved = [w + part * x for w, x in zip(self.weights, inputs, strict=True)]
        self.weights = [
            min(high, max(low, w)) for w, low, high in zip(moved, self._low, self._high, strict=True)
        ]
