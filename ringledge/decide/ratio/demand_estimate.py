"""What each role needs and what each server gets through, from what members tell; free of I/O and clocks.

Each site's tokens to read and to write are followed at two horizons. While they agree within their noise the
slow one counts; once they don't, the fast one does. The way that the mix goes up and down is kept as legs
between its turning points (a retracement beyond noise ends a leg): so a mix that swings is told from one that
has shifted, and how long the present leg will last is expected from those before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp, inf, log, sqrt
from statistics import median

from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.ratio.settings import RatioConfig

BEYOND = 8.0  # times its site's median that one member's demand counts at most, where three or more tell
LEGS = 6  # of the mix's way that are kept: three swings
TURN = log(1.5)  # least retracement that ends a leg: half as much again of one role is a tenth of the servers
OVERDUE = 1.25  # times its usual length from which a leg is taken to be none of a swing's
MOST_FIGURE = 1e12  # requests or tokens a second that a member may tell: past any site, and sums stay finite
FEW = 1e-9  # tokens per s: less is none


@dataclass(frozen=True, slots=True)
class Need:
    """What a site asks for."""

    read: float  # tokens per s to read, after reuse
    write: float  # tokens per s to write
    doubt: float  # standard deviation of either, as a part of it; what isn't heard included
    spans: tuple[tuple[float, float], ...]  # mixes to be served: one, or those of a swing's legs
    lasts_s: float  # how long the present mix is expected to last; inf: nothing tells of an end
    fresh: int  # members heard
    absent: int  # members that tell nothing, nonsense, or what is old


@dataclass(slots=True)
class Level:
    """One figure at two horizons, with its noise."""

    fast: float = 0.0
    slow: float = 0.0
    last: float = 0.0  # sample
    noise: float = 0.0  # variance of one sample, by the difference to the one before: a trend adds little

    def add(self, value: float, fast: float, slow: float, first: bool) -> None:
        """Take a sample with the weights of the two horizons."""
        if first:
            self.fast = self.slow = self.last = value
            return
        self.noise += slow * ((value - self.last) ** 2 / 2 - self.noise)
        self.last = value
        self.fast += fast * (value - self.fast)
        self.slow += slow * (value - self.slow)

    def deviation(self, weight: float) -> float:
        """Standard deviation of a horizon's mean, were samples independent."""
        return sqrt(self.noise * weight / (2 - weight))

    def value(self, fast: float, slow: float, sure: float, lead: float) -> tuple[float, float]:
        """The figure as it is now, and its standard deviation.

        The further the horizons are apart, the more the fast one counts, up to all of it at `sure`
        deviations; `lead` times their distance makes up for what it lags behind a trend.
        """
        apart, deviation = self.fast - self.slow, self.deviation(fast)
        trust = min(1.0, (apart / (sure * deviation + FEW)) ** 2)
        value = self.slow + trust * ((1 + lead) * apart)
        return max(0.0, value), trust * deviation + (1 - trust) * self.deviation(slow)


@dataclass(slots=True)
class Way:
    """How the mix (log of read to write) went: turning points, and the legs between them."""

    extreme: float = 0.0
    extreme_s: float = -inf
    rises: bool | None = None
    turned_s: float = -inf  # when the present leg began
    legs: deque[float] = field(default_factory=lambda: deque(maxlen=LEGS))  # how long they were, s

    def add(self, now_s: float, mix: float, turn: float) -> None:
        """Take the mix as it is; a retracement by `turn` or more ends the leg at its extreme."""
        if self.turned_s == -inf:
            self.extreme, self.extreme_s, self.turned_s = mix, now_s, now_s
        elif self.rises is None:
            if abs(mix - self.extreme) >= turn:
                self.rises, self.turned_s = mix > self.extreme, now_s
                self.extreme, self.extreme_s = mix, now_s
        elif (mix > self.extreme) is self.rises and mix != self.extreme:
            self.extreme, self.extreme_s = mix, now_s
        elif abs(mix - self.extreme) >= turn:
            self.legs.append(now_s - self.turned_s)
            self.rises, self.turned_s = not self.rises, now_s
            self.extreme, self.extreme_s = mix, now_s
        if self.legs and now_s - self.turned_s > 3 * median(self.legs):
            self.legs.clear()  # it has stopped to swing

    def leg_s(self) -> float:
        """How long a leg usually lasts; inf where no two have ended."""
        return median(self.legs) if len(self.legs) >= 2 else inf


@dataclass(slots=True)
class Site:
    """What is known of one site's demand."""

    read: Level = field(default_factory=Level)
    write: Level = field(default_factory=Level)
    way: Way = field(default_factory=Way)
    at_s: float = -inf
    per_request: dict[str, float] = field(default_factory=dict)  # unread tokens a request, by class
    past: deque[tuple[float, float, float]] = field(default_factory=deque)  # time, read, write
    need: Need | None = None


class Estimate:
    """The demand of all sites and the paces of all servers."""

    def __init__(self, settings: RatioConfig) -> None:
        self.settings = settings
        self.sites = dict[str, Site]()
        self._told = dict[tuple[str, str], tuple[float, ClassDemand]]()  # by member and class, since when

    def look(
        self,
        now_s: float,
        demand: Mapping[tuple[str, str], ClassDemand],
        members: Mapping[str, str],
        cold: Mapping[str, float] | None = None,
    ) -> dict[str, Need]:
        """Take what members tell, by member and class; gives each site's need, where anything is known.

        `members`: the site of each that is there, whether it tells anything or not. `cold`: the part of each
        site's reading that changed its role lately: its prompts are read anew, which the plan itself caused.
        """
        told: dict[str, dict[str, ClassDemand]] = {member: {} for member in members}
        for key in self._told.keys() - demand.keys():
            del self._told[key]
        for key, each in demand.items():
            if key[0] in told and sane(each):
                if key not in self._told or self._told[key][1] != each:
                    self._told[key] = (now_s, each)
                # One with nothing to do has no news; one that is busy says never twice the same.
                if each.arrivals <= FEW or now_s - self._told[key][0] <= self.settings.old_s:
                    told[key[0]][key[1]] = each
        needs, cold = dict[str, Need](), cold or {}
        for site in sorted(set(members.values())):
            its = [member for member, at in members.items() if at == site]
            heard = [told[member] for member in its if told[member]]
            if heard:
                needs[site] = self._site(now_s, site, heard, len(its) - len(heard), cold.get(site, 0.0))
        for site in self.sites.keys() - set(members.values()):
            del self.sites[site]
        return needs

    def _site(
        self, now_s: float, name: str, heard: list[dict[str, ClassDemand]], absent: int, cold: float
    ) -> Need:
        site = self.sites.setdefault(name, Site())
        first, step_s = site.at_s == -inf, now_s - site.at_s
        site.at_s = now_s
        fast, slow = (1 - exp(-step_s / each) for each in (self.settings.fast_s, self.settings.slow_s))
        # Who isn't heard is taken to have what the others have in the mean: clients spread over all.
        scale = (len(heard) + absent) / len(heard)
        read, write = 0.0, 0.0
        for kind in sorted({kind for each in heard for kind in each}):
            rows = [each[kind] for each in heard if kind in each]
            arrivals = clipped([row.arrivals for row in rows])
            to_read = clipped([row.prefill_tokens for row in rows])
            read += self._uncaused(site, kind, arrivals, to_read, cold, slow)
            write += clipped([row.decode_tokens for row in rows])
        site.read.add(read * scale, fast, slow, first)
        site.write.add(write * scale, fast, slow, first)
        return self._need(now_s, site, (fast, slow), len(heard), absent)

    def _uncaused(
        self, site: Site, kind: str, arrivals: float, to_read: float, cold: float, weight: float
    ) -> float:
        """Tokens to read less what the plan's own changes can have added to them."""
        if arrivals <= FEW:
            return to_read
        each = to_read / arrivals
        before = site.per_request.get(kind, each)
        each = max(min(each, before), each * (1 - min(1.0, cold)))
        site.per_request[kind] = before + weight * (each - before)
        return each * arrivals

    def _need(self, now_s: float, site: Site, weights: tuple[float, float], fresh: int, absent: int) -> Need:
        settings = self.settings
        lead = settings.fast_s / (settings.slow_s - settings.fast_s)
        (read, read_off), (write, write_off) = (
            level.value(*weights, settings.sure, lead) for level in (site.read, site.write)
        )
        unheard = absent / (fresh + absent)
        doubt = max(read_off / max(read, FEW), write_off / max(write, FEW)) + unheard / sqrt(fresh + 1)
        doubt = min(1.0, doubt)
        mix = log(max(site.read.fast, FEW) / max(site.write.fast, FEW))
        noise = max(each.deviation(weights[0]) / max(each.fast, FEW) for each in (site.read, site.write))
        site.way.add(now_s, mix, max(TURN, settings.sure * noise))
        leg_s = site.way.leg_s()
        site.past.append((now_s, site.read.fast, site.write.fast))
        while site.past and now_s - site.past[0][0] > min(LEGS * leg_s, LEGS * settings.least_stay_s):
            site.past.popleft()
        spans: tuple[tuple[float, float], ...] = ((read, write),)
        lasts_s = inf
        if leg_s < 2 * settings.change_s:  # over before a change to it would have paid: serve all its legs
            spans = tuple((read, write) for _, read, write in site.past)
        elif now_s - site.way.turned_s < OVERDUE * leg_s < inf:
            lasts_s = max(0.0, leg_s - (now_s - site.way.turned_s))
        site.need = Need(read, write, doubt, spans, lasts_s, fresh, absent)
        return site.need


def clipped(values: list[float]) -> float:
    """Their sum; one that tells far more than the rest counts as far as that could be chance."""
    middle = median(values)
    most = BEYOND * middle if len(values) >= 3 and middle > FEW else inf
    return sum(min(value, most) for value in values)


def sane(told: ClassDemand | ServerObservation) -> bool:
    """Whether all its figures are numbers that can be."""
    figures = (getattr(told, name) for name in told.__struct_fields__)
    return all(0 <= figure <= MOST_FIGURE for figure in figures)
