"""Start and stop: configuration, logging, signals, serving."""
