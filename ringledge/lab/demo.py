"""A demonstration: starts stand-in servers and a conductor, sends some requests and prints a summary."""

from __future__ import annotations

import orjson

from ringledge.lab import load
from ringledge.lab.load_plan import LoadPlan, parse_shares
from ringledge.lab.stage import start_lab

DURATION_S = 3.0
REQUESTS_PER_S = 30.0


def run() -> int:
    """Run the demonstration; the exit status is 0 if every request was served exactly once."""
    with start_lab() as lab:
        print(f"stand-in servers running, discovery at {lab.discovery}")
        print(f"conductor listening at {lab.listening}")
        plan = LoadPlan(
            target=lab.listening["platform"],
            requests_per_s=REQUESTS_PER_S,
            duration_s=DURATION_S,
            booking_share=0.19,
            prompt_kb=2.0,
            prompt_sigma=0.5,
            tenant_shares=parse_shares(""),
        )
        report = orjson.loads(load.run(plan))
        for class_name, class_report in report["classes"].items():
            first_ms = class_report["first_token_ms"]["p50"]
            print(
                f"{class_name}: {class_report['asked']} requests, outcomes {class_report['ends']}, "
                f"median time to first token {first_ms:.0f} ms"
            )
        audit = lab.audit()
        print(f"counts of the stand-in servers: {audit}")
    served = all(
        class_report["ends"] == {"served": class_report["asked"]}
        for class_report in report["classes"].values()
    )
    return 0 if served and not audit["twice"] and not audit["together"] else 1
