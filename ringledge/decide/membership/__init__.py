"""Group membership by SWIM: probes, gossip, suspicion and refutation."""
