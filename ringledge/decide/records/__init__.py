"""Replicated records: one writer each, spread by anti-entropy."""
