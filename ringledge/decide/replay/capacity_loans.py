"""Which part of the fleet's spare capacity a site's replay may take, so that two never believe it is theirs.

Each site has a part by its weight among all sites of the settings, whether or not they are heard of. A site
with nothing to replay lends its part for a stated time to those that ask. A question carries a number that
is never used again; the lender's answer names it. The borrower counts the loan's time from when it asked,
the lender from when it answered, which is later, and each allows for the other's clock: so the lender takes
its part back only once the borrower has let go of it, however late, doubled or lost any message is. A new
holder of a site's duty knows not what its predecessor lent, and takes its own part only after the longest
loan. Times in s, parts 0 to 1.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from math import inf

import msgspec

from ringledge.decide.replay.fair_share import Claim, max_min

LOAN_S = 6.0  # of a loan: some rounds of facts, and soon back when its owner needs it
ASK_EVERY_S = 2.0  # a loan is asked for anew before it ends
DRIFT = 0.02  # rates of two clocks differ by less: a hundred times what quartz does


class Want(msgspec.Struct, array_like=True, frozen=True):
    """A site asks for parts of others (key want/SITE)."""

    token: int  # of its replay duty
    number: int  # grows with each question under the token
    most: float  # the part of the whole that it could use beyond its own


class Lend(msgspec.Struct, array_like=True, frozen=True):
    """A site lends to another (key lend/SITE/BORROWER), for LOAN_S from when it was asked."""

    token: int  # of the question that this answers
    number: int
    part: float


@dataclass(slots=True)
class _Loan:
    """What one site has from us, or we have from it."""

    part: float
    until_s: float


class Lending:
    """One site's parts, kept by the holder of its replay duty."""

    def __init__(self, site: str, weights: Mapping[str, float], token: int, now_s: float) -> None:
        """`weights`: of all sites that share the capacity, this one too; the same at each of them."""
        self._site, self._weights, self._token = site, dict(weights), token
        self.base = weights[site] / sum(weights.values())
        alone = len(weights) == 1
        self._free_s = -inf if alone else now_s + LOAN_S * (1 + DRIFT)  # what a predecessor lent is back then
        self._need = 0.0
        self._number, self._asked_s = 0, -inf
        self._asked: dict[int, float] = {}  # when each question was asked whose loans may still run
        self._out: dict[str, list[_Loan]] = {}  # lent, by borrower
        self._answered: dict[str, Lend] = {}  # the last answer to each borrower
        self._in: dict[str, _Loan] = {}  # borrowed, by lender

    def need(self, now_s: float, part: float) -> None:
        """The part of the whole that could be used now; 0: there is nothing to replay."""
        self._need = part
        if part > self.base and now_s - self._asked_s >= ASK_EVERY_S:
            self._number, self._asked_s = self._number + 1, now_s
            self._asked = {n: at_s for n, at_s in self._asked.items() if now_s - at_s < LOAN_S}
            self._asked[self._number] = now_s

    def receive(self, now_s: float, wants: Mapping[str, Want], lends: Mapping[str, Lend]) -> None:
        """What the other sites ask for, and what they lend us, by site."""
        for lender, row in lends.items():
            asked_s = self._asked.get(row.number)
            if row.token == self._token and asked_s is not None and lender in self._weights:
                self._in[lender] = _Loan(row.part, asked_s + LOAN_S * (1 - DRIFT))
        fresh = {site: row for site, row in wants.items() if self._unanswered(site, row)}
        if now_s < self._free_s:
            return
        claims = {site: Claim(self._weights[site], max(0.0, row.most)) for site, row in fresh.items()}
        # A loan that is renewed may be as large as it was; who asks for the first time gets what isn't out.
        free = max(0.0, self.base - self._need - self._lent(now_s, fresh))
        for site, wished in max_min(free, claims).items():
            asked, part = fresh[site], min(wished, self.base - self._lent(now_s, (site,)))
            if part > 0:
                self._out.setdefault(site, []).append(_Loan(part, now_s + LOAN_S * (1 + DRIFT)))
                self._answered[site] = Lend(asked.token, asked.number, part)

    def part(self, now_s: float) -> float:
        """What this site may take now of the whole."""
        own = 0.0 if now_s < self._free_s else max(0.0, self.base - self._lent(now_s))
        return own + sum(loan.part for loan in self._in.values() if now_s < loan.until_s)

    def rows(self) -> dict[str, Want | Lend]:
        """What to tell as facts now, by key."""
        told: dict[str, Want | Lend] = {f"lend/{self._site}/{to}": row for to, row in self._answered.items()}
        if self._number and self._need > self.base:
            told[f"want/{self._site}"] = Want(self._token, self._number, self._need - self.base)
        return told

    def _unanswered(self, site: str, row: Want) -> bool:
        if site == self._site or site not in self._weights:
            return False
        last = self._answered.get(site)
        return last is None or (row.token, row.number) > (last.token, last.number)

    def _lent(self, now_s: float, without: Container[str] = ()) -> float:
        """The sum that is out; of several to one borrower it uses one, and the largest counts."""
        total = 0.0
        for site, loans in self._out.items():
            self._out[site] = [loan for loan in loans if now_s < loan.until_s]
            if site not in without:
                total += max((loan.part for loan in self._out[site]), default=0.0)
        return total
