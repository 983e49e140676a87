"""How many file descriptors the process may open: the lower of the configured and the system's limit."""

from __future__ import annotations

import resource

from ringledge.observe.logging import log


def max_descriptors(configured: int) -> int:
    """The configured limit, or the system's limit of this process where that is lower.

    Descriptors for discovery and servers are reserved by counting, so the count has to begin with the limit
    that holds: past the system's own one a connection to discovery would fail while idle clients hold all.
    """
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_limit == resource.RLIM_INFINITY or system_limit >= configured:
        return configured
    log.warning("descriptors_limited", settings=configured, system=system_limit)
    return system_limit
