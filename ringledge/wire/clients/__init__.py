"""The client side: accepting connections, the request loop, and the fronts."""
