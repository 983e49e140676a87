"""The components of the program, one per module; `lifecycle.composition` imports the enabled ones."""
