"""Routing policy in front of separate prefill and decode servers of a language model."""
