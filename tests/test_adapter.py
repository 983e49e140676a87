"""The simulator adapter's protocol, and constraints on the files of the routing policy."""

import io
import subprocess
import sys
import tomllib
from pathlib import Path
from types import FunctionType

import pytest

from ringledge.routing.policy import Policy
from ringledge.routing.simulator_adapter import serve
from tests.router_harness import SETTINGS

ROOT = Path(__file__).parent.parent
START = """ROUND wall_ms=1000
AT dispatcher=3
CONFIGURE rng_seed=1 unknown.path=7 caps.max_attempts=4 caps.cancel=true caps.retry_after=true \
caps.max_retry_after_ms=1000 classes.count=1 classes.0.deadline_ms=6000.0 classes.0.effect=retryable \
classes.0.goal_time_ms=1500.0 replicas_of_me=2 specifics.role_by_kind=read,write stats.how=pull tick_ms=2 \
specifics.token_aim_ms=60.0 membership_mode=automatic tenants=
ROSTER_CHANGE form=Persisted epoch=41 rows=2
M host=10.0.0.1:5000 hall=0 hw=0 pod=0 availability=on scale=1 colour=red
M host=10.0.0.2:5000 hall=0 hw=1 pod=0 availability=on scale=1
EOB
"""
BATCH = "ROUND wall_ms=1001\nAT dispatcher=3\n"
REQUEST = "NEW_REQUEST op_id=t/a n_max=256 expires_in_ms=5000 profile=0 prompt_len=10 conversation=4 new=1\n"


def exchange(text: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    return serve(io.BytesIO(text.encode()), out, err), out.getvalue(), err.getvalue()


def run_process(text: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "ringledge.routing.simulator_adapter"]
    return subprocess.run(command, input=text, capture_output=True, cwd=ROOT, timeout=30)


def test_adapter_process_replies_to_batches() -> None:
    text = START + BATCH + REQUEST + "EOB\nROUND wall_ms=1002\nEOB\n"
    run = run_process(text.encode())
    assert run.returncode == 0
    replies = run.stdout.decode().split("NEXT\n")
    assert len(replies) == 4 and replies[2:] == ["", ""]
    assert replies[1].splitlines()[:2] == ["FROM dispatcher=3", "DISPATCH op_id=t/a host=10.0.0.1:5000"]


def test_prefill_is_followed_by_decode() -> None:
    prefilled = (
        "ROUND wall_ms=1050\nAT dispatcher=3\nRESOLVED op_id=t/a shot=0 host=10.0.0.1:5000 outcome=100 "
        "cost_time_ms=49 note=3 server_stats=x0:0.5,x1:2.5,new:1\nEOB\n"
    )
    code, out, err = exchange(START + BATCH + REQUEST + "EOB\n" + prefilled)
    assert (code, err) == (0, "")
    assert "DISPATCH op_id=t/a host=10.0.0.2:5000" in out


def test_instances_are_isolated_and_retire_deletes_one() -> None:
    two_instances = START + START.replace("dispatcher=3", "dispatcher=4")
    batch = "ROUND wall_ms=1001\nAT dispatcher=3\nRETIRE\nAT dispatcher=4\n" + REQUEST + "EOB\n"
    code, out, _ = exchange(two_instances + batch)
    assert code == 0 and out.split("NEXT\n")[2].startswith("FROM dispatcher=4\nDISPATCH")


@pytest.mark.parametrize(
    "line",
    [
        "NONSENSE a=b",
        "NEW_REQUEST op_id",
        "RESOLVED op_id=t/a shot=x host=h outcome=1",
        "RING",
        "M host=h",
        "RESOLVED op_id=t/a shot=0 host=h outcome=99",
        "ROUND wall_ms=5",
        "AT dispatcher=9\nRING cookie=x",
    ],
)
def test_malformed_line_exits_with_one_line_message(line: str) -> None:
    code, _, err = exchange(START + BATCH + line + "\nEOB\n")
    assert code != 0 and err.count("\n") == 1
    assert "malformed: " in err and err.startswith("line 1")


def test_invalid_utf8_is_malformed() -> None:
    run = run_process(b"ROUND wall_ms=1\n\xff\xfe\n")
    assert run.returncode != 0 and run.stderr.count(b"\n") == 1


def test_policy_exception_is_reported_as_internal_error(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_handle(*_: object) -> None:
        raise KeyError("nobody")

    monkeypatch.setattr(Policy, "handle", failing_handle)
    code, out, _ = exchange(START + BATCH + REQUEST + "EOB\n")
    assert code == 0 and "INTERNAL_ERROR msg=KeyError" in out


def test_decision_files_stay_within_format_limits() -> None:
    policy_files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    texts = [(ROOT / name).read_text() for name in policy_files]
    lines = [line for text in texts for line in text.splitlines()]
    assert max(map(len, lines)) <= 110
    assert all("interface.py" in text.splitlines()[0] for text in texts)
    assert not any("hash(" in text or "time.time" in text for text in texts)
    assert all(len(text.splitlines()) <= 250 for text in texts)


# Modules of the routing package without decision logic: types, state, estimates and translations.
NO_DECISIONS = {
    "__init__", "actions", "affinity", "concurrency_limit", "context", "control_events", "endpoints",
    "estimates", "events", "fleet", "interface", "observations", "server_pool", "server_views", "settings",
    "simulator_adapter", "simulator_decoder", "simulator_encoder", "snapshot", "state", "warm_capacity",
}  # fmt: skip


def modules_in_use(component: object) -> set[str]:
    """Return the modules of a component's classes, of its module's functions and of its attributes."""
    if not type(component).__module__.startswith("ringledge.routing."):
        return set()
    modules = {each.__module__ for each in type(component).__mro__}
    module_globals = vars(sys.modules[type(component).__module__]).values()
    modules |= {each.__module__ for each in module_globals if isinstance(each, FunctionType)}
    found = {
        module.removeprefix("ringledge.routing.") for module in modules if "ringledge.routing." in module
    }
    attributes = vars(component).values() if hasattr(component, "__dict__") else ()
    return found.union(*map(modules_in_use, attributes))


def test_every_decision_module_is_listed_in_deployment() -> None:
    policy_files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    decisions = {Path(name).stem for name in policy_files}
    files = {path.stem for path in (ROOT / "ringledge" / "routing").glob("*.py")}
    assert all(name == f"ringledge/routing/{Path(name).name}" for name in policy_files)
    assert files - NO_DECISIONS == decisions
    assert files > NO_DECISIONS
    assert modules_in_use(Policy(SETTINGS, 1)) - NO_DECISIONS == decisions
