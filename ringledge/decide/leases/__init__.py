"""Leases of duties by a majority of acceptors (PaxosLease), with fencing tokens."""
