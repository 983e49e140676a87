"""The server side: attempts, pooled connections, releases, and detection of unresponsive servers."""
