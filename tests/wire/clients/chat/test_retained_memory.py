"""The memory that sessions are counted with is the memory that they take."""

from __future__ import annotations

import gc
import json
import tracemalloc

import orjson

from ringledge.wire.clients.chat.question import parse_chat_request, retained_request
from ringledge.wire.clients.chat.stream_sessions import StreamSession, StreamSessionStore

SESSIONS = 10
PARTS = 8000  # of a request of 232 KB


def add_session(sessions: StreamSessionStore, number: int) -> None:
    parts = [{"type": "text", "text": "a"}] * PARTS
    body = json.dumps({"model": "yard", "messages": [{"role": "user", "content": parts}]}).encode()
    request = retained_request(parse_chat_request(body), body)
    sessions.add(StreamSession(f"s{number}", "farm", request, 0, 100.0, len(body)), None)


def test_request_of_many_parts_takes_no_more_memory_than_is_counted() -> None:
    """Guards against a process that is killed for memory: sessions held parsed requests, counted by text."""
    sessions = StreamSessionStore(100, 1e9, 1e9)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(SESSIONS):
            add_session(sessions, number)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after - before <= sessions.size_bytes()


def test_retained_request_is_parsed_as_it_was_sent() -> None:
    body = orjson.dumps({"model": "yard", "messages": [], "stream_options": {"include_usage": True}})
    retained = retained_request(orjson.loads(body), body)
    assert retained.parse() == orjson.loads(body)
    assert (retained.model, retained.stream, retained.include_usage) == ("yard", False, True)
