"""Discovery is down for 8 s; a writer begins to drain a second after its return, and ends when it may."""

from __future__ import annotations

import copy
import http.client
import json
import secrets
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

import stage

FLEET = 20  # conductors by the settings
PLAYED = 12  # of them that the case starts
DOWN_S = 8.0
TOLD_S = 6.0  # a change counts as told at the latest so long after discovery had it and could be reached
GRACE_S = 0.25 + 0.05  # the grace of the settings, and what the protocol page adds to each time limit
SLACK_S = 0.7  # beyond the rule, for a busy machine
ENDS_S = 10.0  # the draining writer ends so long after it began to drain
TOKENS, PACE_S = 15, 0.08  # an answer takes 1.2 s: what arrived in time is whole before the writer ends
EVERY_S = 0.3  # between two bookings at one conductor


class Clients:
    """Clients that book at one conductor each, one booking after another."""

    def __init__(self, record: stage.Record) -> None:
        self.record, self.stopped = record, threading.Event()
        self.threads: list[threading.Thread] = []
        self.outcomes: list[tuple[float, str, str]] = []  # when sent, name, how it ended

    def start(self, conductor: stage.Conductor) -> None:
        """Begin to book at a conductor."""
        self.threads.append(threading.Thread(target=self._run, args=(conductor,), daemon=True))
        self.threads[-1].start()

    def stop(self) -> None:
        """End, and wait for the answers that are out."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(15.0)

    def _run(self, conductor: stage.Conductor) -> None:
        number = 0
        books: list[threading.Thread] = []
        while not self.stopped.wait(EVERY_S):
            number += 1
            name = f"{conductor.label.partition('#')[0]}-{number}"
            books.append(threading.Thread(target=self._book, args=(conductor, name), daemon=True))
            books[-1].start()
        for book in books:
            book.join(14.0)

    def _book(self, conductor: stage.Conductor, name: str) -> None:
        sent_s = time.monotonic()
        client = http.client.HTTPConnection(*conductor.address("platform"), timeout=13.0)
        body = {"model": "chat", "stream": True, "messages": [{"role": "user", "content": name}]}
        headers = {
            "X-Call-Id": name,
            "X-Call-Class": "booking",
            "X-Caller": "farm",
            "X-Route-Hash": f"{abs(hash(name)):x}",
            "X-Budget-Ms": "12000",
            "X-Call-Info": "prompt_len=40,max_out=80",
        }
        try:
            client.request("POST", "/v1/chat/completions", json.dumps(body), headers)
            answer = client.getresponse()
            text = answer.read()
            seen = "served" if answer.status == 200 and b"[DONE]" in text else f"status {answer.status}"
        except http.client.IncompleteRead:
            seen = "cut off behind its first event"
        except (OSError, http.client.HTTPException) as error:
            seen = f"ended without an answer ({type(error).__name__})"
        finally:
            client.close()
        self.outcomes.append((sent_s, name, seen))
        if seen != "served":
            self.record.write(f"client: booking {name} {seen}")


def play(scene: stage.Stage) -> str:
    """Play the case; returns how the rule was broken, or an empty text."""
    record = scene.record
    settings = copy.deepcopy(stage.SETTINGS)
    settings |= {"membership_mode": "subscribe", "replicas_of_me": FLEET}
    settings["safety"]["ask_every_ms"] = 10000.0
    scene.server("prefill", stage.read)
    writers = [scene.server("decode", lambda call: call.stream(["w "] * TOKENS, PACE_S)) for _ in range(2)]
    leaving = writers[0]
    for position in range(PLAYED):
        changes = {"settings": settings | {"position": position}, "seed": secrets.token_hex(8)}
        scene.conductor(f"n{position + 1}", **changes)
    for conductor in scene.conductors:
        conductor.wait_ready()
    assert scene.discovery is not None
    time.sleep(1.0)
    if scene.trouble:
        scene.discovery.down()
        record.write("discovery is down")
    time.sleep(DOWN_S)
    if scene.trouble:
        scene.discovery.up()
        record.write("discovery is back")
    time.sleep(1.0)
    scene.discovery.set_status("leaving", leaving.name)
    drained_s = time.monotonic()
    record.write(f"discovery: {leaving.name} drains")
    clients = Clients(record)
    for conductor in scene.conductors:
        clients.start(conductor)
    time.sleep(max(0.0, drained_s + ENDS_S - time.monotonic()))
    leaving.stop()
    record.write(f"{leaving.name} ends: what it had been sent in time is whole")
    scene.discovery.set_status("left", leaving.name)
    time.sleep(1.0)
    clients.stop()

    limit_s = drained_s + TOLD_S + GRACE_S + SLACK_S
    late = [each - drained_s for each in leaving.arrived_s if each > limit_s]
    lost = [name for _, name, seen in clients.outcomes if seen != "served"]
    record.write(f"{leaving.name} got {len(late)} bookings over {limit_s - drained_s:.1f} s after the change")
    record.write(f"{len(clients.outcomes)} bookings, {len(lost)} of them not served: {lost}")
    if not late:
        return ""
    return (
        f"{len(late)} bookings went to a draining writer, up to {max(late):.1f} s after the change could be "
        f"had ({TOLD_S + GRACE_S:.1f} s are allowed); {len(lost)} bookings were lost"
    )


stage.main(__file__, play)
