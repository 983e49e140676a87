"""Replicated records with one writer each, spread by push and anti-entropy."""
