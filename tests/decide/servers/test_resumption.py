"""A server that may hang is called at an interval, one call at a time."""

from __future__ import annotations

from ringledge.decide.servers.cache_hold import CacheEntryTracker
from ringledge.decide.servers.resumption import CHECK_INTERVAL_MS, ResumptionChecks


def test_server_is_called_at_an_interval_and_never_twice_at_a_time() -> None:
    checks = ResumptionChecks()
    assert checks.begin_if_due(0.0, "p0") and checks.begin_if_due(0.0, "p1")
    assert not checks.begin_if_due(10 * CHECK_INTERVAL_MS, "p0")  # its call is still in progress
    checks.finished(300.0, "p0")
    assert not checks.begin_if_due(299.0 + CHECK_INTERVAL_MS, "p0")
    assert checks.begin_if_due(300.0 + CHECK_INTERVAL_MS, "p0")


def test_server_that_has_answered_may_hold_an_entry_from_then_on() -> None:
    cache = CacheEntryTracker()
    cache.record_unobserved_end("p0", 100.0, has_answered=False)
    assert cache.unresponsive_servers() == [("p0", 100.0)]
    cache.record_resumption("p0", 900.0)
    assert cache.unresponsive_servers() == [] and cache.idle_since_ms == 900.0
    cache.record_unobserved_end("p1", 950.0, has_answered=False)
    cache.record_release_answered("p1")
    assert cache.unresponsive_servers() == [] and cache.unobserved == {"p0": 900.0}
