"""The components of the program, a module each; `lifecycle.composition` imports those that are enabled."""
