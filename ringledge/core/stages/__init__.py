"""The stages of a request, one per file: accept, admit, route, send, relay, record outcome."""
