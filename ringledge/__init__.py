"""ringledge: a conductor on real sockets around the decisions of crowstand."""

__version__ = "0.4.0"
