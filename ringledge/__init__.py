"""ringledge: a conductor on real sockets around the decisions of `ringledge.routing`."""

__version__ = "0.4.0"
