"""All that is spoken on sockets."""
