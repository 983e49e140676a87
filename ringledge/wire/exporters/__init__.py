"""What other systems read: xDS, Prometheus metrics and remote write."""
