"""Clients that send hundreds of requests at once stop the conductor; the usual clients' requests are lost."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from rig import SETTINGS, CannotRunError, Case, Conductor, Discovery, Engine, call, encode, run

BAD_CLIENTS = 80
AT_ONCE = 800  # requests that one of them sends at once
BUDGET_MS = 5000  # of every request: the deadline of its class
ANSWER_SLACK_S = 0.5 + 0.05  # later than that behind its time a request is lost
EVERY_S = 0.1  # between two requests of the usual clients
PLAY_S = 25.0
MOST_LAG_S = 1.0  # of this process; beyond that its measure is worth nothing


def request(name: str, text: str) -> bytes:
    """A usual request for a short answer."""
    messages = [{"role": "user", "content": text + " " * 600}]
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 40, "messages": messages}).encode()
    return encode("POST /v1/chat/completions HTTP/1.1", body, Host="api.internal", **fields(name))


def fields(name: str) -> dict[str, str]:
    """The headers of a request."""
    return {"X-Call-Id": name, "X-Call-Class": "yard-query", "X-Caller": "tokachi-farm-coop",
            "X-Route-Hash": "7f3a9c21e0b4d655", "X-Budget-Ms": str(BUDGET_MS),
            "X-Call-Info": "prompt_len=150,max_out=40"}  # fmt: skip


async def play(case: Case) -> None:  # noqa: C901, PLR0915  one sequence, told in its order
    """Usual clients ask ten times a second; with trouble, others send hundreds of requests at once."""
    discovery = Discovery()
    engines = [Engine(case, f"r{n}", "prefill") for n in range(4)] + [
        Engine(case, f"w{n}", "decode") for n in range(4)
    ]
    for each in (discovery, *engines):
        await each.start()
    for engine in engines:
        engine.quiet = True
        discovery.change(discovery.entry(engine))
    node = Conductor(case, "n1")
    node.configure(discovery, SETTINGS)
    node.start()
    await node.ready()
    at_once = AT_ONCE if case.trouble else 1
    sendings = [b"".join(request(f"b{n}-{m}", "x") for m in range(at_once)) for n in range(BAD_CLIENTS)]

    async def bad_client(sending: bytes) -> None:
        try:
            reader, writer = await asyncio.open_connection(*node.listen.split(":"))
            writer.write(sending)
            while await reader.read(65536):
                pass
        except OSError:
            pass

    lags = [0.0]

    async def watch_own_lag() -> None:
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(0.05)
            lags.append(time.monotonic() - began_s - 0.05)

    late: list[str] = []
    answers: dict[str, int] = {}

    async def usual(number: int) -> None:
        messages = [{"role": "user", "content": f"is room {number} free?"}]
        body = json.dumps({"model": "chat", "stream": True, "max_tokens": 40, "messages": messages}).encode()
        began_s = time.monotonic()
        headers = {name.replace("-", "_"): value for name, value in fields(f"u{number}").items()}
        try:
            answer = await call(node.listen, "POST", "/v1/chat/completions", body, 60.0, **headers)
            what = str(answer.status)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            what = type(error).__name__
        took_s = time.monotonic() - began_s
        answers[what] = answers.get(what, 0) + 1
        if took_s > BUDGET_MS / 1000 + ANSWER_SLACK_S or not what.isdecimal():
            late.append(f"u{number}: {what} after {took_s:.1f} s")
            case.note("client", asks=f"u{number}", gets=what, after_s=round(took_s, 1))

    asking: list[asyncio.Task[None]] = []
    lagging = asyncio.create_task(watch_own_lag())
    began_s = time.monotonic()
    bad: list[asyncio.Task[None]] = []
    for number in range(int(PLAY_S / EVERY_S)):
        if number == 20:
            bad = [asyncio.create_task(bad_client(each)) for each in sendings]
            case.note("bad clients", clients=len(bad), requests_at_once=at_once, bytes_each=len(sendings[0]))
        asking.append(asyncio.create_task(usual(number)))
        await asyncio.sleep(max(0.0, began_s + number * EVERY_S - time.monotonic()))
    await asyncio.wait(asking, timeout=30)
    for each in (*bad, lagging):
        each.cancel()
    still = sum(not each.done() for each in asking)
    case.note("usual clients", answers=answers, lost=len(late) + still, own_lag_s=round(max(lags), 2))
    stalls = [each["away_ms"] / 1000 for each in node.logged() if each.get("event") == "stalled"]
    case.note("conductor", stalled_s=stalls, alive=node.alive())
    if max(lags) > MOST_LAG_S:
        raise CannotRunError("this process was held up itself")
    if late or still:
        case.breaks(
            f"{len(late) + still} of {len(asking)} requests had no answer 0.55 s behind their time: "
            f"{', '.join(late[:3])}"
        )


if __name__ == "__main__":
    run(play, Path(__file__).resolve().parent)
