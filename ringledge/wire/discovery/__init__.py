"""The client of the discovery service, which watches the endpoint list."""
