"""The leader's buckets, one for each busy tenant: what is left of its limit, and what core machines hold of it.

A bucket that is full again and of which nobody holds anything is dropped. One made anew counts as filled since the
leader began, with nothing in it then: what a leader before it gave out is not known, and may still be held. Pure; only
the proven leader may call `grant`, so that no two give out at once. Bound: `limit`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from knotwalk.shared_state.limit import Limit
from knotwalk.shared_state.messages import AllowanceGrant, AllowanceWant

DRIFT = 1.02  # steady clocks of two machines may run 2% apart
SWEEP = 5.0  # seconds between looks for buckets that can be dropped
# Seconds of a leader, at most, in which a bucket that could not fill yet is no proof that the limit is reached.
BEGINNING = 30.0
UNLIMITED_LASTS = 2.0  # seconds for which a core machine may go by "no limit"


@dataclass(slots=True)
class Part:
    """The most that a core machine can hold unused, until `ends` by the leader's clock."""

    held: int
    ends: float


@dataclass(slots=True)
class Bucket:
    """What is left of a tenant's limit: `level` tokens at `at`; `parts` by core machine."""

    limit: Limit
    level: float
    at: float
    parts: dict[str, Part] = field(default_factory=dict)

    def fill(self, now: float, limit: Limit, known_from: float) -> None:
        """Let it fill up to `now`, as far as what was held meanwhile leaves room: called before what is held changes.

        A changed limit counts from now on, and at the lower rate before. Before `known_from`, parts that a leader
        before this one gave out may be held."""
        rate = min(self.limit.rate, limit.rate)
        held = limit.outstanding if self.at < known_from else self.outstanding(self.at, "")
        room = max(1.0, limit.most - held)
        self.level = min(room, self.level + rate * max(0.0, now - self.at))
        self.at, self.limit = max(now, self.at), limit

    def outstanding(self, now: float, core: str) -> int:
        """What all core machines but `core` may hold."""
        return sum(part.held for holder, part in self.parts.items() if holder != core and part.ends > now)

    def hold(self, now: float, core: str, held: int) -> None:
        """A core machine holds so many from now on."""
        self.parts.pop(core, None)
        if held:
            self.parts[core] = Part(held, now + self.limit.lasts * DRIFT)

    def idle(self, now: float) -> bool:
        """Whether it is full and nobody holds anything, so that it can be made anew."""
        full = self.level + self.limit.rate * (now - self.at) >= self.limit.most
        return full and not self.outstanding(now, "")


class Buckets:
    """The buckets of a leader that has been proven since `since`; `limit_of` tells a tenant's limit in force."""

    def __init__(self, since: float, limit_of: Callable[[str], Limit | None]):
        self.since, self.limit_of = since, limit_of
        self.buckets: dict[str, Bucket] = {}
        self._swept = since

    def grant(self, now: float, core: str, wants: list[AllowanceWant]) -> list[AllowanceGrant]:
        """What a core machine may use of what it asks for, in the order of its wants."""
        if now >= self._swept + SWEEP:
            self._sweep(now)
        return [self._granted(now, core, want) for want in wants]

    def _granted(self, now: float, core: str, want: AllowanceWant) -> AllowanceGrant:
        limit = self.limit_of(want.tenant)
        if limit is None:
            self.buckets.pop(want.tenant, None)
            return AllowanceGrant(want.tenant, 0, UNLIMITED_LASTS, unlimited=True)
        bucket = self._bucket(now, want.tenant, limit)
        bucket.hold(now, core, want.unused)
        bucket.level += max(0, -want.wanted)
        bucket.fill(now, limit, self._known_from(limit))
        granted = self._take(now, core, want, bucket)
        held = want.unused + granted
        bucket.hold(now, core, held)
        lasts = limit.lasts if held <= limit.share else 0.0
        empty = granted < want.wanted and bucket.level < 1 and self._sure(now, limit)
        return AllowanceGrant(want.tenant, granted, lasts, empty)

    def _take(self, now: float, core: str, want: AllowanceWant, bucket: Bucket) -> int:
        limit = bucket.limit
        own_room = limit.share - want.unused
        room = limit.outstanding - bucket.outstanding(now, core) - want.unused
        granted = max(0, min(want.wanted, int(bucket.level), own_room, room))
        bucket.level -= granted
        return granted

    def _bucket(self, now: float, tenant: str, limit: Limit) -> Bucket:
        """A tenant's bucket, filled up to `now`."""
        known_from = self._known_from(limit)
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = Bucket(limit, 0.0, self.since)
            bucket.fill(min(now, known_from), limit, known_from)
        bucket.fill(now, limit, known_from)
        return bucket

    def _known_from(self, limit: Limit) -> float:
        """From when on nothing is held any more that a leader before this one gave out, and that nobody told here."""
        return self.since + limit.lasts * DRIFT

    def _sure(self, now: float, limit: Limit) -> bool:
        """Whether an empty bucket means that the tenant used it up, and not that this leader is new."""
        return now >= self.since + min(BEGINNING, limit.most / limit.rate)

    def _sweep(self, now: float) -> None:
        self._swept = now
        self.buckets = {tenant: bucket for tenant, bucket in self.buckets.items() if not bucket.idle(now)}
