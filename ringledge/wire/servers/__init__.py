"""The server side: attempts, kept connections, releases and unresponsive servers."""
