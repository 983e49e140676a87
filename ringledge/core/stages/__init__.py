"""The stages that a request passes, one a file: accept, admit, route, send, relay, record outcome."""
