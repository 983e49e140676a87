"""Discovery: the endpoint list is watched and read."""
