"""The demonstration: servers, a conductor and a few requests on a fresh machine, and what happened."""

from __future__ import annotations

import orjson

from ringledge.lab import load
from ringledge.lab.load_plan import LoadPlan, parse_shares
from ringledge.lab.stage import stage

SECONDS, RATE = 3.0, 30.0


def run() -> int:
    """Show the program at work; 0 if every request was served once."""
    with stage() as on:
        print(f"stand-in servers are up, discovery at {on.discovery}")
        print(f"the conductor listens at {on.listening}")
        plan = LoadPlan(on.listening["platform"], RATE, SECONDS, 0.19, 2.0, 0.5, parse_shares(""))
        report = orjson.loads(load.run(plan))
        for name, each in report["classes"].items():
            first_ms = each["first_token_ms"]["p50"]
            print(f"{name}: {each['asked']} asked, {each['ends']}, first token {first_ms:.0f} ms (median)")
        audit = on.audit()
        print(f"the servers saw {audit}")
    served = all(each["ends"] == {"served": each["asked"]} for each in report["classes"].values())
    return 0 if served and not audit["twice"] and not audit["together"] else 1
