"""A linear model trained online by normalised least mean squares (Widrow and Hoff, 1960)."""

from __future__ import annotations

from collections.abc import Sequence


class LinearModel:
    """A linear model whose weights are adapted to samples, each weight within its bounds."""

    __slots__ = ("_lower_bounds", "_upper_bounds", "step_size", "weights")

    def __init__(self, weights: Sequence[float], min_factor: float, max_factor: float, step: float) -> None:
        """Start from estimates of the weights.

        `min_factor`, `max_factor`: bounds of each weight, as multiples of its estimate. `step`: the step size
        from 0 to 1, that is how far one sample moves the weights towards those that would explain it.
        """
        self.weights = list(weights)
        self._lower_bounds = [weight * min_factor for weight in weights]
        self._upper_bounds = [weight * max_factor for weight in weights]
        self.step_size = step

    def predict(self, inputs: Sequence[float]) -> float:
        """The model's output for the given inputs."""
        return sum(w * x for w, x in zip(self.weights, inputs, strict=True))

    def update(self, inputs: Sequence[float], output: float) -> None:
        """Adapt the weights to one sample.

        The inputs should be of similar magnitude, as the error is divided by the sum of their squares.
        """
        squared_norm = sum(x * x for x in inputs)
        if squared_norm <= 0:
            return
        gain = self.step_size * (output - self.predict(inputs)) / (1.0 + squared_norm)
        adapted = [w + gain * x for w, x in zip(self.weights, inputs, strict=True)]
        self.weights = [
            min(high, max(low, w))
            for w, low, high in zip(adapted, self._lower_bounds, self._upper_bounds, strict=True)
        ]
