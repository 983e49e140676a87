"""Network I/O: the fronts for clients, the connections to servers, discovery and the exporters."""
