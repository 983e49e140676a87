"""The lifecycle of a router process: configuration, start, reload, hand-over and shutdown."""
