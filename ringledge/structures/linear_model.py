"""A linear model learned sample by sample: normalised least mean squares (Widrow and Hoff, 1960)."""

from __future__ import annotations

from collections.abc import Sequence


class LinearModel:
    """Weights, each within its bounds, that are adapted to samples."""

    __slots__ = ("_lower_bounds", "_upper_bounds", "step_size", "weights")

    def __init__(
        self, weights: Sequence[float], min_factor: float, max_factor: float, step_size: float
    ) -> None:
        """Start from an estimate of the weights.

        `min_factor`, `max_factor`: bounds of each weight, as multiples of its estimate. `step_size`, 0 to 1:
        how far one sample moves the weights towards those that would explain it.
        """
        self.weights = list(weights)
        self._lower_bounds = [weight * min_factor for weight in weights]
        self._upper_bounds = [weight * max_factor for weight in weights]
        self.step_size = step_size

    def predict(self, inputs: Sequence[float]) -> float:
        """The model's output for these inputs."""
        return sum(w * x for w, x in zip(self.weights, inputs, strict=True))

    def update(self, inputs: Sequence[float], output: float) -> None:
        """Adapt the weights to one sample.

        Inputs should be of similar magnitude: the error is divided by the sum of their squares.
        """
        power = sum(x * x for x in inputs)
        if power <= 0:
            return
        gain = self.step_size * (output - self.predict(inputs)) / (1.0 + power)
        moved = [w + gain * x for w, x in zip(self.weights, inputs, strict=True)]
        self.weights = [
            min(high, max(low, w))
            for w, low, high in zip(moved, self._lower_bounds, self._upper_bounds, strict=True)
        ]
