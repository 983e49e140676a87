"""A client of the chat front is not left waiting behind an oversized chunk of its server."""

from __future__ import annotations

import http.client
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from ringledge.lab.http_peer import encode_chunk
from tests.loopback import Node, take
from tests.test_oversized_chunks import CHUNKED, CLIENT_WAIT_LIMIT_S, EVENT, EVENT_INTERVAL_S

CHAT = 'enabled = true\nlisten = "127.0.0.1:0"\ntenant = "farm"\n[models]\nask = "query"\n'
SPOILT = {"gigabytes": (b"c0000000\r\n", EVENT), "chunks-inside": (b"10000\r\n", encode_chunk(EVENT))}


@pytest.mark.parametrize("streamed", [True, False])
@pytest.mark.parametrize("how", SPOILT)
def test_chat_client_is_not_left_waiting_behind_an_oversized_chunk(
    tmp_path: Path, pool: ThreadPoolExecutor, how: str, streamed: bool
) -> None:
    """A whole answer is continued by a further request, which a stream's client makes itself."""
    opening, piece = SPOILT[how]
    with Node(tmp_path, files={"chat.toml": CHAT}) as node:
        question = {"model": "ask", "stream": streamed, "messages": [{"role": "user", "content": "x"}]}
        client = node.chat(question)
        node.reader[0].next().read()
        call = node.writer[0].next()
        start = CHUNKED + encode_chunk(EVENT) + opening
        sent = pool.submit(call.say_without_end, start, piece, EVENT_INTERVAL_S)
        started_s = time.monotonic()
        if streamed:
            with pytest.raises(http.client.IncompleteRead) as error_info:
                take(client)
            assert b"[DONE]" not in error_info.value.partial
        else:
            node.reader[0].next().read()
            node.writer[0].next().serve("rest")
            assert take(client).status == 200
        assert time.monotonic() - started_s < CLIENT_WAIT_LIMIT_S
        assert sent.result() == b""
