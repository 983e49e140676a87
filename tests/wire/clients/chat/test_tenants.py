"""What a chat client names is looked up among its own tenant's entries; repeats at one instant run once."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.wire.clients.chat.keyed_locks import KeyedLocks
from ringledge.wire.clients.chat.stream_sessions import RetainedRequest, StreamSession, StreamSessionStore
from tests.loopback import SETTINGS, Answer, Node, take
from tests.wire.clients.chat.helpers import (
    BOOKING_REQUEST,
    CHAT,
    STREAM_REQUEST,
    read_first_event_id,
    text,
    wait_for_decode,
)

TENANTS = {"tenants": [{"name": "farm", "fraction": 0.5}, {"name": "dairy", "fraction": 0.5}]}


@pytest.fixture(params=[False, True], ids=["without queue", "with queue"])
def node(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Node]:
    files = {"chat.toml": CHAT}
    if request.param:
        files["queue.toml"] = f'enabled = true\npath = "{tmp_path / "queue.db"}"\n'
    with Node(tmp_path, files=files) as node:
        node.kill()
        node.configure(settings=SETTINGS | TENANTS)
        node.start(tmp_path)
        yield node


def ask(node: Node, tenant: str, key: str, body: Any = BOOKING_REQUEST) -> Any:
    return node.chat(body, X_Caller=tenant, Idempotency_Key=key)


def test_two_tenants_with_one_idempotency_key_each_run_and_get_their_own_answer(node: Node) -> None:
    """Guards against a booking that never runs: its key gave it another tenant's answer."""
    answers = {}
    for tenant in ("farm", "dairy"):
        client = ask(node, tenant, "booking-1")
        wait_for_decode(node).serve(f"booked for {tenant}")
        answers[tenant] = text(take(client).body)
    assert answers == {"farm": "booked for farm", "dairy": "booked for dairy"}
    for tenant, answer in answers.items():
        assert text(take(ask(node, tenant, "booking-1")).body) == answer  # from its session, not run again


def test_stream_of_another_tenant_is_answered_like_an_unknown_one(node: Node) -> None:
    client = node.chat(STREAM_REQUEST, X_Caller="farm")
    call = wait_for_decode(node)
    call.begin().token("a")
    name = read_first_event_id(client.getresponse())
    unknown = f"chatcmpl-{'0' * 32}:1"

    def resume(tenant: str, last_event: str) -> Answer:
        return take(node.chat(STREAM_REQUEST, X_Caller=tenant, Last_Event_ID=last_event))

    refused, missing = resume("dairy", name), resume("dairy", unknown)
    assert refused.status == missing.status == 404 and refused.body == missing.body
    call.token("b").end()
    assert text(resume("farm", name).body) == "b"


def test_repeats_at_one_instant_run_once_and_all_get_the_answer(node: Node) -> None:
    """Guards against a booking that runs twice: both repeats looked their key up before either entered it."""
    clients = [ask(node, "farm", "booking-2") for _ in range(4)]
    wait_for_decode(node).serve("booked")
    assert [text(take(client).body) for client in clients] == ["booked"] * 4
    assert [call.method for call in node.reader[0].seen].count("POST") == 1


def test_session_store_separates_tenants() -> None:
    sessions = StreamSessionStore(10, 1e9, 1e9)
    session = StreamSession("a", "farm", RetainedRequest(b"", "yard", True, False), 0, 100.0)
    sessions.add(session, "key")
    assert sessions.get("farm", "a") is session is sessions.get_by_idempotency_key("farm", "key")
    assert sessions.get("dairy", "a") is sessions.get_by_idempotency_key("dairy", "key") is None


def test_keyed_locks_exclude_one_key_only_and_are_forgotten() -> None:
    locks, order = KeyedLocks(), list[str]()

    async def hold(key: str | None, name: str) -> None:
        async with locks.hold(key):
            order.append(f"{name} in")
            await anyio.sleep(0)
            await anyio.sleep(0)
            order.append(f"{name} out")

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for key, name in (("k", "first"), ("k", "second"), ("other", "third"), (None, "fourth")):
                tasks.start_soon(hold, key, name)

    anyio.run(run)
    assert order.index("first out") < order.index("second in")
    assert max(order.index("third in"), order.index("fourth in")) < order.index("first out")
    assert len(locks) == 0
