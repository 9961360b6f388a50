"""What is believed of a destination by outcomes alone, and how much it is sent: pace, health, return."""

from __future__ import annotations

import random

from .events import AttemptCompleted
from .model import FOREVER, Outcome, Rates, Settings
from .pending import DestinationState, EndpointState, PendingMessage

FADE_MS = 10000.0  # older evidence counts no more: an answer or a failure of so long ago
HOLD_MS, HOLD_MAX_MS = 4000.0, 16000.0  # a refusal paces for so long: a clump's time; doubles while refused
FREED = 1.5  # at most so many times, so that not all are free in one moment
RETRY_MS = 120.0  # first pause before another try: about one round trip; doubles from try to try
RETRY_MAX_MS = 4000.0  # no pause is longer: beyond it a message's aim is lost anyway
DEVIATIONS = 10.0  # a time-out lies so many mean deviations above the mean: answers have a long tail
USUAL_MS = 500.0, 250.0  # latency and its mean deviation, until destinations have answered
LEAST_MS = 100.0  # but no answer is overdue sooner, nor given up before twice that: it may be us who are late
OVERDUE = 4.0  # an answer is overdue so many mean deviations above the mean
STRETCH_MAX = 8.0  # time-outs double while calls time out (slow is not down), up to this factor
BURST_S, BURST = 1.0, 2.0  # calls saved up for a clump: seconds of the pace, and at least so many
ENOUGH = 1 - 1e-9  # saved up for a call: rounding must not cost it a tick
RARE, RARE_ALL = 0.35, 14.0  # calls a second unpaced, unless refused of late: of one relay, of all together
RISE, GROWTH = 0.5, 0.1  # pace gained with each success that finds it bound: unrefused of late, or paced
LOW, BACK = 0.75, 0.25  # below so much of the equal part one of many gains more: a limit may be back
EVEN, FEW = 1.25, 9.0  # a pace's most: of the equal part (others use theirs, unseen); of few, FEW / relays
CREEP = 0.03  # pace gained with each success above the equal part, where all that did would break the limit
CUT = 0.7  # pace kept after a refusal above the limit
ROUGH = 1.5  # a rough listed rate may be this much too high
BLAME = 0.3  # weight of one failure: two in a row make an outage
VOUCHED, VOUCH_MS = 0.1, 300.0  # its weight so soon after an answer: chance breaks two in a row among many
SICK = 0.5  # blame above which a destination is taken as out
SHUT_MS = 2500.0  # told waits and refusals without a break longer than any span of a limit mean shut
MET = 0.5  # part of the calls since an outage began that another relay made: so many may know of it
LOOK_MS = 500.0  # a queue that waits for something is looked at again at least so often


def averaged(mean: float, dev: float, took: float, gain: float) -> tuple[float, float]:
    return mean + gain * (took - mean), dev + gain * (abs(took - mean) - dev)


def doubt(door: EndpointState, now: float, class_: int) -> float:
    """Guards against an endpoint that fails, or fails one class: others go first until that fades."""
    recent = [c for c, at in door.faults.items() if now - at < FADE_MS]
    return 8.0 * (class_ in recent) + 2.0 * len(recent)


def overdue_ms(lane: DestinationState) -> float:
    """After how long a call there should have been answered."""
    return max(LEAST_MS, (lane.mean + OVERDUE * lane.dev) * lane.stretch)


def suspect(lane: DestinationState, now: float) -> bool:
    """Out, or each endpoint owes an answer that is overdue, and none came since: hung, gone or slow."""
    if lane.sick or not lane.out:
        return lane.sick
    if next(reversed(lane.out.values())).out_since < lane.last_ok:
        return False
    overdue = now - overdue_ms(lane)
    owing: set[int] = set()
    for held in lane.out.values():  # oldest first: mostly the first one answers it
        if held.out_since >= overdue:
            break
        if held.out is not None and held.out_since >= lane.last_ok:
            owing.add(held.out.entry.id)
    return bool(owing) and owing.issuperset(lane.doors)


class RateController:
    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.s, self.rng = settings, rng
        self.usual = USUAL_MS  # latency over all destinations: what one not yet seen is taken for

    @property
    def many(self) -> bool:
        """So many relays that one of them meets few of the refusals."""
        return self.s.relays * EVEN > FEW

    def knowers(self, now: float, lane: DestinationState) -> float:
        """How many relays may have met the outage: no more than there are, nor than calls it failed."""
        since = now if lane.bad_since is None else lane.bad_since
        since = max(min(since, lane.last_ok), since - FADE_MS)  # it may have begun at the last answer
        return min(float(self.s.relays), 1 + MET * lane.total * (now - since) / 1000)

    def pace(self, now: float, lane: DestinationState, out: bool) -> tuple[float, float]:
        """Calls a second and in one go: the learned pace; for a destination that is out or cold, this relay's
        part of what it can take cold, so that all relays that know of the outage stay within the budget."""
        safety, total = self.s.safety, lane.total / (ROUGH if self.s.rates is Rates.ROUGH else 1.0)
        cold = max(safety.fall_multiple * safety.cold_share, 0.01) * total
        # Failed, or refused again, and no answer for long: shut, full or out, and back at any moment.
        bad = lane.bad_since is not None and now - lane.bad_since > SHUT_MS
        if out or bad and (lane.failed_at > lane.last_ok or lane.hold > HOLD_MS):
            return cold / self.knowers(now, lane), 1.0
        pace, even = lane.pace, total / self.s.relays if self.many else 0.0
        if now > lane.free_at:
            pace = max(pace, min(RARE, RARE_ALL / self.s.relays), even)  # rare calls fit a limit unpaced
        elif self.many:  # time brings it back: of many relays' calls too few are one's own to wait for
            pace = max(pace, even * (1 - (lane.free_at - now) / (FREED * lane.hold)))
        if now < lane.cold_since + safety.cold_ms:
            warmth = (1 - safety.cold_share) * (now - lane.cold_since) / safety.cold_ms
            return min(pace, cold * (1 + warmth / max(safety.cold_share, 0.01)) / lane.knowers), 1.0
        return pace, max(BURST, pace * BURST_S)

    def room_at(self, now: float, lane: DestinationState, out: bool) -> tuple[float, float]:
        """When this lane takes another call, and when it takes one that overdraws its pace."""
        pace, burst = self.pace(now, lane, out)
        lane.credit, lane.credit_at = min(burst, lane.credit + pace * (now - lane.credit_at) / 1000), now
        if lane.share is not None:  # its slots are its pace, also while it is out and at its return
            at = lane.share.next_at(now)
            return at, at
        if out:
            if now > lane.next_trickle + 2 * LOOK_MS:  # turns are not saved up while slots are busy
                lane.next_trickle = now + 1000 / pace * self.rng.random()
            return lane.next_trickle, lane.next_trickle
        at = now + max(0.0, ENOUGH - lane.credit) / pace * 1000
        return at, at if burst == 1.0 else at - BURST / pace * 1000

    def cold(self, now: float, lane: DestinationState) -> None:
        """It is back: from here on the cold budget holds, shared by the relays that may know of it."""
        lane.knowers = self.knowers(now, lane)
        lane.sick, lane.cold_since, lane.credit, lane.bad_since = False, now, 0.0, None

    def answered(
        self, now: float, door: EndpointState, held: PendingMessage, took: float, waiting: bool
    ) -> None:
        """`waiting`: there is more for this destination."""
        lane = door.lane
        self.usual = averaged(*self.usual, took, 0.05)
        lane.answers += 1
        lane.mean, lane.dev = averaged(lane.mean, lane.dev, took, max(0.15, 1 / (lane.answers + 1)))
        lane.last_ok, lane.stretch, lane.hold = now, 1.0, lane.hold / 2
        lane.blame *= 1 - BLAME
        door.faults.pop(held.msg.class_, None)
        if lane.sick and lane.blame < SICK:
            self.cold(now, lane)
        lane.bad_since = None
        if lane.share is not None:
            lane.share.answered(now)
        if waiting:
            self.room_at(now, lane, lane.sick)  # what was saved up meanwhile counts: it is not bound by it
        if lane.credit < 1:
            most, part = max(EVEN, FEW / self.s.relays), lane.pace * self.s.relays / lane.total
            low, high = self.many and part < LOW, self.many and part >= 1  # of the equal part
            gain = CREEP if high else RISE if now > lane.free_at else BACK if low else GROWTH
            pace = lane.pace * (1 + gain)
            if not lane.listed:  # its limit is found by answers and refusals alone
                lane.total = max(lane.total, pace * self.s.relays)
            lane.pace = min(lane.total, pace, most * lane.total / self.s.relays)

    def failed(self, now: float, door: EndpointState, held: PendingMessage, event: AttemptCompleted) -> None:
        lane, shut = door.lane, event.wait_ms > SHUT_MS
        lane.bad_since = held.out_since if lane.bad_since is None else lane.bad_since
        lane.ran_nothing = event.outcome.proves_no_effect
        if event.wait_ms > 0:  # told to many relays at once: the growing, jittered pause comes after it
            lane.wait_until = max(lane.wait_until, held.ready + event.wait_ms)
        if event.outcome is Outcome.FULL:
            part = lane.total / self.s.relays
            lane.pace = max(part / 3, min(lane.pace * CUT, (lane.pace * part) ** 0.5))
            lane.hold = min(HOLD_MAX_MS, max(HOLD_MS, 2 * lane.hold))
            lane.free_at = now + lane.hold * self.rng.uniform(0.5, FREED)
            lane.credit = min(lane.credit, self.rng.uniform(-0.5, 0.5))
            if not shut:
                return
        else:
            door.faults[held.msg.class_] = lane.failed_at = now
        if event.outcome is Outcome.TIMEOUT:
            lane.stretch = min(STRETCH_MAX, lane.stretch * 2)
        # A recent answer or an endpoint that has not failed vouches for a destination: without either, one
        # failure is an outage. Guards relays that call it too seldom to see two in a row.
        recent = now - VOUCH_MS
        vouched = min(held.out_since, recent) if event.outcome is Outcome.CONNECT_FAILED else now - FADE_MS
        alone = lane.last_ok <= vouched and all(other.faults for other in lane.doors.values())
        weight = BLAME if lane.last_ok < recent else VOUCHED
        lane.blame += (1.0 - lane.blame) * (SICK + 0.05 if alone or shut else weight)
        if lane.blame > SICK and lane.doors:
            lane.next_trickle = lane.next_trickle if lane.sick else now
            lane.sick, lane.blame = True, min(lane.blame, 0.7)
        if lane.share is not None:
            lane.share.failed(now, lane.sick)
        if shut:  # the first calls after it are spread over what it can take cold
            gap = 1000 / self.pace(lane.wait_until, lane, True)[0]
            lane.next_trickle = lane.wait_until + gap * self.rng.random()

    def reported(self, lane: DestinationState, left: float, limit: float) -> None:
        if limit > 0:
            part, lane.pace, lane.total = limit / self.s.relays, lane.pace * limit / lane.total, limit
            change = 1 + GROWTH * (4 * left - 2)
            if change < 1 or lane.credit < 1:
                lane.pace = min(limit, max(lane.pace * change, part / 3))

    def paced_until(self, now: float, lane: DestinationState) -> float:
        """Until when its pace does not rise without an event."""
        if now < lane.cold_since + self.s.safety.cold_ms:
            return now + LOOK_MS
        if now >= lane.free_at:
            return FOREVER
        return min(lane.free_at, now + LOOK_MS) if self.many else lane.free_at
