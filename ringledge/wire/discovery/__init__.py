"""Discovery: the endpoint list is watched and parsed."""
