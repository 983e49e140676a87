"""The limit on open file descriptors: the lower of the configured and the system's limit."""

from __future__ import annotations

import resource

from ringledge.observe.logging import log


def max_descriptors(configured: int) -> int:
    """The configured limit, or the system's limit for this process if that is lower.

    Descriptors for discovery and servers are reserved by counting against this limit. If it exceeded the
    system's limit, idle clients could hold all descriptors and a connection to discovery would fail.
    """
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_limit == resource.RLIM_INFINITY or system_limit >= configured:
        return configured
    log.warning("descriptors_limited", settings=configured, system=system_limit)
    return system_limit
