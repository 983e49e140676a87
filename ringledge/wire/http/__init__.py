"""HTTP/1.1 over plain sockets: connections, messages, headers and errors."""
