"""crowstand: routing decisions in front of separate readers and writers of a language model."""
