"""Datagrams, duties and facts between instances."""
