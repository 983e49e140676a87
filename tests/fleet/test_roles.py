"""The planner of roles in several processes: the real duty, from the demand of real requests at each.

Nothing here tells rows but the program itself. Servers keep a role for long (`least_stay_s`), so whatever is
asked once has to stay, over the planner's death and a cut too.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.fleet.fleet import Fleet
from tests.fleet.links import LinkFaults
from tests.fleet.shared_servers import HELD, Servers, Story, Traffic
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
MANY = 12  # requests a member, each of another session: some would fall to any server that reads


class Roles:
    """A fleet, its servers, and what its members say."""

    def __init__(self, fleet: Fleet, servers: Servers) -> None:
        self.fleet, self.servers, self.traffic = fleet, servers, Traffic(fleet.nodes)
        self.stories = {name: Story(node) for name, node in fleet.nodes.items()}

    def alike(self, *names: str) -> bool:
        """Whether these members were asked the same, by one planner, and have come to it."""
        first, *others = (self.stories[name] for name in names)
        asked = first.asked()
        same = len({token for token, _, _ in asked.values()}) == 1 and all(
            each.asked() == asked for each in others
        )
        done = all(self.stories[name].changed() >= asked.keys() for name in names)
        return same and done and "write" in {role for _, _, role in asked.values()}

    def planned(self, *names: str) -> dict[str, tuple[int, int, str]]:
        """Traffic at these members until they agree on a plan with a writer; what they were asked."""
        self.traffic.until(lambda: self.alike(*names), "a plan", *names)
        return self.stories[names[0]].asked()

    def writers(self, asked: dict[str, tuple[int, int, str]]) -> set[str]:
        return {server for server, (_, _, role) in asked.items() if role == "write"}

    def holder(self) -> str:
        """Who began to hold the duty last."""
        begun = [
            (line["token"], name)
            for name, story in self.stories.items()
            for line in story.lines("duty_lease_changed")
            if line["duty"] == "planner" and line["what"] == "begun"
        ]
        return max(begun, default=(0, ""))[1]


@contextmanager
def roles(folder: Path) -> Iterator[Roles]:
    servers = Servers(4)
    try:
        told = {"ratio.toml": RATIO}
        with Fleet(folder, duties=(), mixed=servers.each, files=told) as fleet:
            yield Roles(fleet, servers)
    finally:
        servers.close()


def kept(old: dict[str, tuple[int, int, str]], new: dict[str, tuple[int, int, str]]) -> bool:
    """Whether each server that had a role has it still, by a token above."""
    return old.keys() <= new.keys() and all(new[s][2] == old[s][2] and new[s][0] > old[s][0] for s in old)


def test_all_are_asked_the_same_and_what_is_read_before_a_change_is_fetched(tmp_path: Path) -> None:
    with roles(tmp_path) as its:
        names = its.fleet.names
        held = [its.traffic.post("c1", HELD) for _ in range(12)]
        calls = its.servers.held(len(held))
        its.traffic.until(lambda: bool(its.stories["c1"].asked()), "a plan", *names)
        for call in calls:
            call.read()  # where its server changes, the state waits at one that reads no more
        assert {take(client).status for _, client in held} == {200}
        asked = its.planned(*names)
        early = {name for name, _ in held}
        assert its.servers.reads(early) & its.writers(asked)  # there some of those states waited
        assert sum(each.request in early for each in its.servers.came) == 2 * len(early)
        later = its.traffic.round(*names, times=MANY)
        assert its.servers.reads(later) and not its.servers.reads(later) & its.writers(asked)
        assert its.servers.twice() == []
        assert sum(len(story.lines("role_plan_published")) for story in its.stories.values()) > 0


def test_a_killed_planner_is_followed_and_no_server_turns_back(tmp_path: Path) -> None:
    with roles(tmp_path) as its:
        asked, first = its.planned(*its.fleet.names), its.holder()
        its.fleet.kill(first)
        before = len(its.servers.came)
        left = [name for name in its.fleet.names if name != first]
        stories = [its.stories[name] for name in left]
        its.traffic.until(lambda: all(kept(asked, each.asked()) for each in stories), "a planner", *left)
        assert its.holder() in left
        its.traffic.round(*left, times=MANY)
        reads = {each.server for each in its.servers.came[before:] if each.read}
        assert reads and not reads & its.writers(asked)  # while nobody planned, too
        for story in stories:
            told = {(line["server"], line["role"]) for line in story.lines("role_change_received")}
            assert len(told) == len({server for server, _ in told})  # none was ever asked for another role
        assert its.servers.twice() == []


def test_who_is_cut_off_plans_nothing_and_keeps_the_roles_it_had(tmp_path: Path) -> None:
    with roles(tmp_path) as its:
        names = its.fleet.names
        its.fleet.receiver.wait_until(lambda: bool(its.holder()), "a holder")
        alone = its.holder()
        left = [name for name in names if name != alone]
        cut = its.fleet.links.between([alone], left)
        its.fleet.links.set_faults(LinkFaults(cut=True), cut)
        its.traffic.until(lambda: its.holder() in left, "another holder")
        # It has demand, paces, and servers without a role: but for the lease it would plan.
        its.traffic.until(lambda: its.alike(*left), "a plan", *names)
        assert its.stories[alone].lines("role_plan_published") == [] and its.stories[alone].asked() == {}
        its.fleet.links.heal()
        asked = its.planned(*names)
        its.fleet.links.set_faults(LinkFaults(cut=True), cut)
        seen = its.fleet.links.count("cut", cut)
        its.fleet.receiver.wait_until(lambda: its.fleet.links.count("cut", cut) >= seen + 60, "datagrams cut")
        later = its.traffic.round(alone, times=MANY)
        assert its.servers.reads(later) and not its.servers.reads(later) & its.writers(asked)
        assert its.stories[alone].lines("role_plan_published") == [] and its.servers.twice() == []
