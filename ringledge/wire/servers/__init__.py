"""The server side: attempts, reused connections, releases and unresponsive servers."""
