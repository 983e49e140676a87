"""The stages that a request passes, one a file: take in, admit, route, send, relay, book."""
