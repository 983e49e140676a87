"""Parsing the platform's request headers: the client's estimate of the work."""

from __future__ import annotations

import h11
import pytest

from ringledge.lifecycle.config import WireNames
from ringledge.wire.clients.platform_request import MAX_HINT_MS, read_request

NAMES = WireNames(("east",), ("decode",), ("query",), (), 30.0, 0.25, 0.0)


def hint_of(header_value: bytes | None) -> float | None:
    headers = [(b"Host", b"x"), (b"X-Call-Id", b"a1"), (b"X-Call-Class", b"query"), (b"X-Budget-Ms", b"900")]
    headers += [] if header_value is None else [(b"X-Call-Cost", header_value)]
    return read_request(NAMES, h11.Request(method=b"POST", target=b"/", headers=headers), b"{}").hint_ms


@pytest.mark.parametrize(
    ("header_value", "hint_ms"),
    [(b"7250000", 7250.0), (b"1500.5", 1.5005), (b"0", 0.0), (None, None), (b"much", None), (b"", None)],
)
def test_work_estimate_is_passed_to_routing(header_value: bytes | None, hint_ms: float | None) -> None:
    """The header was ignored, so that requests were routed as if clients supplied no estimate."""
    assert hint_of(header_value) == hint_ms


@pytest.mark.parametrize("header_value", [b"nan", b"-1", b"inf", b"%d" % (MAX_HINT_MS * 1000)])
def test_unbounded_work_estimate_is_ignored(header_value: bytes) -> None:
    assert hint_of(header_value) is None
