"""Group membership by the SWIM protocol: probes, gossip, suspicion and refutation."""
