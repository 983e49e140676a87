"""The role planner runs as a duty of several processes, which measure the demand of real requests.

The test publishes no records of its own: role changes come from the program alone. `least_stay_s` is long, so
a requested role has to be kept, also when the planner is killed or cut off.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.fleet.fleet import Fleet
from tests.fleet.links import LinkFaults
from tests.fleet.shared_servers import HELD_PREFIX, MemberLog, Servers, Traffic
from tests.loopback import take

RATIO = """enabled = true
look_s = 0.2
fast_s = 0.2
slow_s = 0.4
spread_s = 0.2
drain_s = 0.5
warm_s = 0.2
least_stay_s = 600.0
"""
# The requests are of different sessions, so every prefill server receives some of them.
REQUESTS_PER_MEMBER = 12


class Roles:
    """A fleet, its shared servers, and the logs of its members."""

    def __init__(self, fleet: Fleet, servers: Servers) -> None:
        self.fleet, self.servers, self.traffic = fleet, servers, Traffic(fleet.nodes)
        self.logs = {name: MemberLog(node) for name, node in fleet.nodes.items()}

    def agree(self, *names: str) -> bool:
        """Whether these members received the same role changes from one planner and completed them."""
        first, *others = (self.logs[name] for name in names)
        requested_roles = first.requested_roles()
        same = len({token for token, _, _ in requested_roles.values()}) == 1 and all(
            each.requested_roles() == requested_roles for each in others
        )
        done = all(self.logs[name].changed_servers() >= requested_roles.keys() for name in names)
        return same and done and "write" in {role for _, _, role in requested_roles.values()}

    def wait_for_plan(self, *names: str) -> dict[str, tuple[int, int, str]]:
        """Sends traffic until these members agree on a plan with a decode server; returns the roles."""
        self.traffic.wait_until(lambda: self.agree(*names), "a plan", *names)
        return self.logs[names[0]].requested_roles()

    def writers(self, requested_roles: dict[str, tuple[int, int, str]]) -> set[str]:
        return {server for server, (_, _, role) in requested_roles.items() if role == "write"}

    def holder(self) -> str:
        """The member that acquired the planner duty last, or an empty string."""
        begun = [
            (line["token"], name)
            for name, log in self.logs.items()
            for line in log.lines("duty_lease_changed")
            if line["duty"] == "planner" and line["what"] == "begun"
        ]
        return max(begun, default=(0, ""))[1]


@contextmanager
def roles(folder: Path) -> Iterator[Roles]:
    servers = Servers(4)
    try:
        settings_files = {"ratio.toml": RATIO}
        with Fleet(folder, duties=(), mixed=servers.each, files=settings_files) as fleet:
            yield Roles(fleet, servers)
    finally:
        servers.close()


def roles_kept(old: dict[str, tuple[int, int, str]], new: dict[str, tuple[int, int, str]]) -> bool:
    """Whether each server with a role in `old` has the same role in `new`, under a higher token."""
    return old.keys() <= new.keys() and all(new[s][2] == old[s][2] and new[s][0] > old[s][0] for s in old)


def test_members_receive_the_same_roles_and_entries_from_before_a_change_are_decoded(tmp_path: Path) -> None:
    with roles(tmp_path) as rig:
        names = rig.fleet.names
        held_prefills = [rig.traffic.post("c1", HELD_PREFIX) for _ in range(12)]
        calls = rig.servers.held_prefills(len(held_prefills))
        rig.traffic.wait_until(lambda: bool(rig.logs["c1"].requested_roles()), "a plan", *names)
        for call in calls:
            call.read()  # if the server changes its role, the entry stays at a server that prefills no more
        assert {take(client).status for _, client in held_prefills} == {200}
        requested_roles = rig.wait_for_plan(*names)
        early = {name for name, _ in held_prefills}
        # Some of the entries were kept at servers that decode only.
        assert rig.servers.prefill_servers(early) & rig.writers(requested_roles)
        assert sum(each.request in early for each in rig.servers.posts) == 2 * len(early)
        later = rig.traffic.send_round(*names, times=REQUESTS_PER_MEMBER)
        assert rig.servers.prefill_servers(later) and not rig.servers.prefill_servers(later) & rig.writers(
            requested_roles
        )
        assert rig.servers.sent_too_often() == []
        assert sum(len(log.lines("role_plan_published")) for log in rig.logs.values()) > 0


def test_killed_planner_is_replaced_and_servers_keep_their_roles(tmp_path: Path) -> None:
    with roles(tmp_path) as rig:
        requested_roles, first = rig.wait_for_plan(*rig.fleet.names), rig.holder()
        rig.fleet.kill(first)
        before = len(rig.servers.posts)
        left = [name for name in rig.fleet.names if name != first]
        logs = [rig.logs[name] for name in left]
        rig.traffic.wait_until(
            lambda: all(roles_kept(requested_roles, each.requested_roles()) for each in logs),
            "a planner",
            *left,
        )
        assert rig.holder() in left
        rig.traffic.send_round(*left, times=REQUESTS_PER_MEMBER)
        prefill_servers = {each.server for each in rig.servers.posts[before:] if each.read}
        # Also while there was no planner.
        assert prefill_servers and not prefill_servers & rig.writers(requested_roles)
        for log in logs:
            changes = {(line["server"], line["role"]) for line in log.lines("role_change_received")}
            # No server was asked to take a second role.
            assert len(changes) == len({server for server, _ in changes})
        assert rig.servers.sent_too_often() == []


def test_member_that_is_cut_off_publishes_no_plan_and_keeps_its_roles(tmp_path: Path) -> None:
    with roles(tmp_path) as rig:
        names = rig.fleet.names
        rig.fleet.receiver.wait_until(lambda: bool(rig.holder()), "a holder")
        alone = rig.holder()
        left = [name for name in names if name != alone]
        cut = rig.fleet.links.between([alone], left)
        rig.fleet.links.faults(LinkFaults(cut=True), cut)
        rig.traffic.wait_until(lambda: rig.holder() in left, "another holder")
        # The member has demand, measured paces and servers without a role; only the lease is missing.
        rig.traffic.wait_until(lambda: rig.agree(*left), "a plan", *names)
        assert rig.logs[alone].lines("role_plan_published") == [] and rig.logs[alone].requested_roles() == {}
        rig.fleet.links.heal()
        requested_roles = rig.wait_for_plan(*names)
        rig.fleet.links.faults(LinkFaults(cut=True), cut)
        seen = rig.fleet.links.count("cut", cut)
        rig.fleet.receiver.wait_until(lambda: rig.fleet.links.count("cut", cut) >= seen + 60, "datagrams cut")
        later = rig.traffic.send_round(alone, times=REQUESTS_PER_MEMBER)
        assert rig.servers.prefill_servers(later) and not rig.servers.prefill_servers(later) & rig.writers(
            requested_roles
        )
        assert rig.logs[alone].lines("role_plan_published") == [] and rig.servers.sent_too_often() == []
