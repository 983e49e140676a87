"""ringledge: a router for language-model requests that applies the policy in `ringledge.routing`."""

__version__ = "0.4.0"
