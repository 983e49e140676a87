"""The arrivals of a load plan, and a conductor between stand-in servers and the load generator."""

import orjson
import pytest

from ringledge.lab import load
from ringledge.lab.load_plan import MAX_BODY_BYTES, Burst, LoadPlan, draw_arrivals, parse_burst, parse_shares
from ringledge.lab.stage import start_lab

BURSTS, TENANTS = (Burst(10, 5, 4, 200),), {"a": 3.0, "b": 1.0}
PLAN = LoadPlan("127.0.0.1:1", 200.0, 50.0, 0.19, 2.0, 0.5, TENANTS, BURSTS)


def test_arrivals_follow_the_plan_and_are_reproducible_by_seed() -> None:
    drawn = list(draw_arrivals(PLAN))
    assert drawn == list(draw_arrivals(PLAN))
    normal = [each for each in drawn if not 10 <= each.at_s < 15]
    burst = [each for each in drawn if 10 <= each.at_s < 15]
    assert len(normal) / 45 == pytest.approx(200, rel=0.05) and len(burst) / 5 == pytest.approx(800, rel=0.05)
    assert sum(each.class_index for each in drawn) / len(drawn) == pytest.approx(0.19, rel=0.1)
    assert sum(each.tenant == "a" for each in drawn) / len(drawn) == pytest.approx(0.75, rel=0.05)
    assert sorted(each.body_bytes for each in normal)[len(normal) // 2] == pytest.approx(2048, rel=0.1)
    assert max(each.body_bytes for each in burst) == MAX_BODY_BYTES


def test_a_malformed_burst_raises_value_error() -> None:
    with pytest.raises(ValueError, match="not enough values"):
        parse_burst("1,2")
    with pytest.raises(ValueError, match="a burst is AT,FOR,TIMES"):
        parse_burst("1,2,3,4,5")


def test_a_conductor_serves_each_request_of_the_load_once() -> None:
    with start_lab(("--read-ms", "1", "--stream-ms", "5")) as lab:
        plan = LoadPlan(lab.listening["platform"], 40.0, 1.0, 0.3, 2.0, 0.0, parse_shares(""), seed=3)
        report, audit = orjson.loads(load.run(plan)), lab.audit()
    requests = sum(each["asked"] for each in report["classes"].values())
    assert requests > 10 and report["unanswered"] == 0
    assert all(each["ends"] == {"served": each["asked"]} for each in report["classes"].values())
    assert audit["answers"] == audit["reads"] == requests and not audit["twice"] and not audit["together"]
