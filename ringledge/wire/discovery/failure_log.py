"""The log lines of failed watches."""

from __future__ import annotations

from ringledge.memory.endpoint_list import ListError
from ringledge.observe.logging import log


def log_watch_failure(error: Exception, delay_s: float) -> None:
    """Log the failure of a watch at the level and with the event of its cause."""
    retry_s = round(delay_s, 3)
    match error:
        case TimeoutError():
            log.warning("endpoint_watch_timed_out", why=str(error), again_s=retry_s)
        case ListError():
            log.error("endpoint_list_malformed", error=str(error), again_s=retry_s)
        case _:
            log.warning("endpoint_watch_failed", error=str(error), again_s=retry_s)
