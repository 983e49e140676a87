"""Start times of servers and the timeout of a watch of the endpoint list."""
