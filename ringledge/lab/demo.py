"""The demonstration: stand-in servers, a conductor and a few requests, with a summary."""

from __future__ import annotations

import orjson

from ringledge.lab import load
from ringledge.lab.load_plan import LoadPlan, parse_shares
from ringledge.lab.stage import start_lab

DURATION_S = 3.0
REQUESTS_PER_S = 30.0


def run() -> int:
    """Run it; the exit status is 0 if every request was served once."""
    with start_lab() as stage:
        print(f"stand-in servers are up, discovery at {stage.discovery}")
        print(f"the conductor listens at {stage.listening}")
        plan = LoadPlan(
            target=stage.listening["platform"],
            requests_per_s=REQUESTS_PER_S,
            duration_s=DURATION_S,
            booking_share=0.19,
            prompt_kb=2.0,
            prompt_sigma=0.5,
            tenant_shares=parse_shares(""),
        )
        report = orjson.loads(load.run(plan))
        for name, each in report["classes"].items():
            first_ms = each["first_token_ms"]["p50"]
            print(f"{name}: {each['asked']} asked, {each['ends']}, first token {first_ms:.0f} ms (median)")
        audit = stage.audit()
        print(f"the servers saw {audit}")
    served = all(each["ends"] == {"served": each["asked"]} for each in report["classes"].values())
    return 0 if served and not audit["twice"] and not audit["together"] else 1
