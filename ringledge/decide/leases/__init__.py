"""Leases of duties, granted by a majority of acceptors (PaxosLease), with fencing tokens."""
