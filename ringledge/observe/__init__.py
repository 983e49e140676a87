"""Observability: logging, metrics and the detection of stalls."""
