"""Exporters for other systems: xDS, Prometheus metrics and remote write."""
