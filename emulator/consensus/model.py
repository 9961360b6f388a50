"""The leases of agreed rules as a small machine, all of whose states are looked at.

    python -m emulator.consensus.model [--without GUARD] [--json]

Three voters, one relay that acts by version 1, and version 2, which forbids what 1 allows. Time goes in
ticks; any message may be late, lost or overtaken, a voter may stop and start again at any moment, also
with a log that lags behind, and the relay's clock may be slow. Version 2 is *in force* once a majority of
voters has cleared it: from then on another relay may act on it. The bound is broken if the relay then
sends a call that 2 forbids.

Each guard of message_relay/consensus can be taken out; then the shortest path to a broken bound is told.
What is
simplified: ages are counted up to what matters; the relay's moves beyond letting go of 1 are left out,
since what it does with 2 breaks nothing; two messages are on their way for each voter at most."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

GUARDS = {
    "majority": "a relay acts only on what a majority has noted",
    "asked": "a lease runs from when it was asked for, not from when the answer came",
    "drift": "a voter waits longer than a holder counts",
    "cleared": "nothing below what was cleared is noted",
    "kept": "what was cleared outlasts the process",
    "start": "a voter that starts waits as if everything were held",
    "refused": "what was let go is not taken up again by a late answer",
    "byte": "the lease is looked at right before the first byte",
    "standby": "a version that forbids the standby waits for the horizon",
    "wait": "a voter waits for what it has noted",
}
LEASE, HORIZON = (
    0,
    1,
)  # ticks, as a holder counts; in the plain case the lease is as long as the horizon here
SKEW = 1  # ticks by which the relay's clock may stay behind in all
OLD = HORIZON + SKEW + 1  # ages are told apart up to here
NONE = OLD
RENEWALS, STARTS = 3, 1  # of the relay, and of voters, on one path: a bounded look
MOST = 1  # messages on their way at once; two where a late answer is looked for
ASKS, TELLS = "asks", "tells"
STOPS = "stops and starts, its log behind"


class Voter(NamedTuple):
    cleared: bool = False  # 2
    kept: bool = False  # on disk: that it cleared 2
    started: int = OLD  # age
    noted: int = 0  # age of the latest renewal that it noted for version 1; NONE: let go, or none
    word: int = 0  # at the relay: age of the renewal that this voter noted last
    post: tuple[
        tuple[str, int, bool], ...
    ] = ()  # on the way: kind, age of the renewal, it says 1 (not the meet)


class World(NamedTuple):
    voters: tuple[Voter, ...]
    holds: bool = True  # the relay acts by 1 alone; else by the meet of 1 and 2
    decided: bool = False  # it has looked, and is about to send
    skew: int = SKEW
    renewals: int = RENEWALS  # still to come
    starts: int = STARTS
    force: bool = False  # a majority has cleared 2 at some time: another relay may act on it ever since
    broken: bool = False


def in_force(world: World) -> World:
    force = world.force or sum(voter.cleared for voter in world.voters) >= 2
    return world._replace(force=force)


def waits(without: str, tight: bool) -> int:
    """How long a voter waits after what it has noted. `tight`: 2 forbids even the standby of 1."""
    ticks = LEASE if tight and without == "standby" else HORIZON
    return ticks + (SKEW if without != "drift" else 0)


def acts(world: World, without: str, tight: bool) -> bool:
    """Whether the relay, asked now, may send what 2 forbids."""
    words = sorted(voter.word for voter in world.voters)
    age = words[0] if without == "majority" else words[1]
    return world.holds and age <= HORIZON


def steps(world: World, without: str, tight: bool) -> Iterator[tuple[str, World]]:
    yield from _time(world, without)
    yield from _relay(world, without, tight)
    for n, voter in enumerate(world.voters):
        for what, new in _voter(world, voter, without, tight):
            voters = list(world.voters)
            voters[n] = new
            yield (
                f"voter {n} {what}",
                world._replace(voters=tuple(voters), starts=world.starts - (what == STOPS)),
            )
        yield from _post(world, n, voter, without)


def _time(world: World, without: str) -> Iterator[tuple[str, World]]:
    def older(age: int) -> int:
        return min(OLD, age + 1)

    for slow in (False, True):
        if slow and not world.skew:
            continue
        voters = tuple(
            voter._replace(
                started=older(voter.started),
                noted=older(voter.noted),
                word=voter.word if slow else older(voter.word),
                post=tuple(
                    (kind, age if slow else older(age), one)
                    for kind, age, one in voter.post
                    if slow or older(age) < OLD or kind == ASKS
                ),
            )
            for voter in world.voters
        )
        yield (
            "a tick" + " that the relay's clock misses" * slow,
            world._replace(voters=voters, skew=world.skew - slow),
        )


def _relay(world: World, without: str, tight: bool) -> Iterator[tuple[str, World]]:
    if world.holds:
        yield "the relay hears of 2 and lets go of 1", world._replace(holds=False)
    if not world.decided and acts(world, without, tight):
        yield "the relay is about to send", world._replace(decided=True)
    if world.decided:
        may = without == "byte" or acts(world, without, tight)
        yield (
            "the relay " + ("sends" if may else "does not send after all"),
            world._replace(decided=False, broken=may and world.force),
        )


def _voter(world: World, voter: Voter, without: str, tight: bool) -> Iterator[tuple[str, Voter]]:
    if not voter.cleared:  # that 2 is agreed on it may hear at any moment
        limit = waits(without, tight)
        started = voter.started > limit or without == "start"
        if (voter.noted > limit or without == "wait") and started:
            yield "clears 2", voter._replace(cleared=True, kept=without != "kept")
    if world.starts:
        yield STOPS, voter._replace(cleared=voter.kept, started=0, noted=NONE)


def _post(world: World, n: int, voter: Voter, without: str) -> Iterator[tuple[str, World]]:
    def changed(new: Voter, holds: bool = world.holds) -> World:
        voters = list(world.voters)
        voters[n] = new
        return world._replace(voters=tuple(voters), holds=holds)

    if sum(len(each.post) for each in world.voters) < MOST + (without == "refused") and (world.renewals):
        yield (
            f"the relay renews at voter {n}",
            changed(voter._replace(post=tuple(sorted((*voter.post, (ASKS, 0, world.holds))))))._replace(
                renewals=world.renewals - 1
            ),
        )
    for at, (kind, age, one) in enumerate(voter.post):
        rest = voter.post[:at] + voter.post[at + 1 :]
        yield f"what is on the way of voter {n} is lost", changed(voter._replace(post=rest))
        if kind == ASKS:
            allowed = not one or not voter.cleared or without == "cleared"
            noted = (0 if one else NONE) if allowed else voter.noted
            post = tuple(sorted((*rest, (TELLS, age, one)))) if allowed and one else rest
            yield (
                f"voter {n} takes a renewal of {1 if one else 'the meet'}",
                changed(voter._replace(noted=noted, post=post)),
            )
        elif one and not world.holds:
            if without == "refused":
                yield (
                    f"the relay takes 1 up again by a late answer of voter {n}",
                    changed(voter._replace(word=min(voter.word, age), post=rest), holds=True),
                )
        elif one:
            word = 0 if without == "asked" else age
            yield (
                f"the relay takes the answer of voter {n}",
                changed(voter._replace(word=min(voter.word, word), post=rest)),
            )


def one_form(world: World) -> World:
    """Voters are alike: their order does not matter."""
    return world._replace(voters=tuple(sorted(world.voters)))


def explore(without: str = "", tight: bool = False, most: int = 3_000_000) -> tuple[int, list[str] | None]:
    """States seen, and the shortest path to a broken bound, if there is one. RuntimeError above `most`."""
    first = one_form(World((Voter(),) * 3))
    came: dict[World, tuple[World, str] | None] = {first: None}
    queue = deque([first])
    while queue:
        world = queue.popleft()
        if not world.holds and not world.decided and without != "refused":
            continue  # it has let go of 1, and takes it up no more
        for what, raw in steps(world, without, tight):
            new = one_form(in_force(raw))
            if new in came:
                continue
            came[new] = world, what
            if new.broken:
                return len(came), _path(came, new)
            queue.append(new)
        if len(came) > most:
            raise RuntimeError(f"more than {most} states")
    return len(came), None


def _path(came: dict[World, tuple[World, str] | None], world: World) -> list[str]:
    path = []
    while (before := came[world]) is not None:
        world, what = before
        path.append(what)
    return path[::-1]


def main() -> int:
    parser = argparse.ArgumentParser(prog="emulator.consensus.model")
    parser.add_argument("--without", choices=sorted(GUARDS))
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = []
    for guard in [args.without] if args.without else ["", *GUARDS]:
        begun = time.monotonic()
        seen, path = explore(guard, tight=guard == "standby")
        rows.append({"without": guard, "states": seen, "path": path, "s": round(time.monotonic() - begun, 2)})
        if not args.json:
            print(
                f"without {guard or 'nothing':10} {seen:8} states  {rows[-1]['s']:6} s  "
                + ("keeps the bound" if path is None else f"{len(path)} steps: " + "; ".join(path))
            )
    if args.json:
        print(json.dumps(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
