"""Cluster membership: datagrams between members, leased duties and replicated records."""
