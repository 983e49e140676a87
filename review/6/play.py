"""A booking's client comes back with its Idempotency-Key while the process is being replaced."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

import stage

WORDS = "book room 14 for 20 pallets"
KEY = "manifest-4711"
TOKENS = [f"word{number} " for number in range(40)]
PACE_S = 0.1  # the answer takes 4 s


def play(scene: stage.Stage) -> str:
    """Play the case; returns how the rule was broken, or an empty text."""
    record = scene.record
    scene.server("prefill", stage.read)
    writer = scene.server("decode", lambda call: call.stream(TOKENS, PACE_S))
    scene.file("chat.toml", stage.CHAT)
    old = scene.conductor().wait_ready()

    client = stage.open_chat(old, WORDS, stream=True, Idempotency_Key=KEY)
    answer = client.getresponse()
    record.write(
        f"client: booking with key {KEY} at {old.label}: status {answer.status}, {answer.read1(80)!r}"
    )
    client.close()
    answer.close()
    record.write("client: leaves as the stream starts")

    serving = old
    if scene.trouble:
        serving = scene.conductor().wait_ready()
        stage.wait_for(lambda: old.logged("successor_started_serving"), 6.0, "not replaced within 6 s")
        record.write(f"{serving.label} serves in place of {old.label}")
    else:
        time.sleep(1.0)
    status, _, body = stage.take(stage.open_chat(serving, WORDS, Idempotency_Key=KEY))
    record.write(f"client: comes back with key {KEY} at {serving.label}: status {status}, {body[:120]!r}")
    if scene.trouble:
        old.signal(signal.SIGTERM)
    runs = writer.runs_of(WORDS)
    record.write(f"the booking arrived at the writer {runs} times")
    return f"the booking ran {runs} times" if runs > 1 else ""


stage.main(__file__, play)
