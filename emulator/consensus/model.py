"""Model of the leases of agreed rules: a small state machine whose states are explored exhaustively.

    python -m emulator.consensus.model [--without GUARD] [--json]

The model has three voters, one relay that acts on version 1, and version 2, which forbids what 1 allows.
Time advances in ticks. Any message may be delayed, lost or overtaken, a voter may restart at any moment, also
with a log that lags behind, and the relay's clock may be slow. Version 2 is *in force* once a majority of
voters has cleared it: from then on another relay may act on it. The bound is broken if the relay then sends a
call that version 2 forbids.

Each guard of message_relay/consensus can be removed; then the shortest path to a broken bound is printed.
Simplifications: ages are counted only up to the highest relevant one; the relay's actions after it has
dropped version 1 are left out, since its actions on version 2 break no bound; the number of messages in
flight is bounded.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

GUARDS = {
    "majority": "a relay acts only on what a majority has recorded",
    "asked": "a lease runs from when it was requested, not from when the answer came",
    "drift": "a voter waits longer than a holder counts",
    "cleared": "nothing below what was cleared is recorded",
    "kept": "what was cleared outlasts the process",
    "start": "a voter that starts waits as if everything had been granted",
    "refused": "a version that was dropped is not used again after a late answer",
    "byte": "the lease is checked right before the first byte",
    "standby": "a version that forbids the standby rules waits for the horizon",
    "wait": "a voter waits for what it has recorded",
}
# In ticks by the holder's clock. In the basic case the model treats a lease as long as the horizon.
LEASE = 0
HORIZON = 1
MAX_SKEW = 1  # ticks by which the relay's clock may fall behind in total
OLDEST_AGE = HORIZON + MAX_SKEW + 1  # higher ages are not distinguished
NOT_RECORDED = OLDEST_AGE
# Limits on one path, which bound the exploration: renewals of the relay, and restarts of voters.
MAX_RENEWALS = 3
MAX_RESTARTS = 1
MAX_IN_FLIGHT = 1  # messages; two if a late answer is explored
MAX_STATES = 3_000_000
REQUEST = "request"
RESPONSE = "response"
RESTART = "stops and starts, its log behind"


class Message(NamedTuple):
    """A renewal or its answer, in flight between the relay and a voter."""

    kind: str
    age: int  # age of the renewal
    is_old_version: bool  # names version 1, not the meet of both


class Voter(NamedTuple):
    """One voter. Voters are sorted by these fields in this order."""

    has_cleared: bool = False  # version 2
    is_cleared_on_disk: bool = False
    uptime: int = OLDEST_AGE
    recorded_age: int = 0  # of the latest renewal that it recorded for version 1
    confirmed_age: int = 0  # at the relay: age of the latest renewal that this voter recorded
    messages: tuple[Message, ...] = ()


class World(NamedTuple):
    """One state of all processes and messages."""

    voters: tuple[Voter, ...]
    holds_old_version: bool = True  # the relay acts on 1 alone; else on the meet of 1 and 2
    is_about_to_send: bool = False  # the relay has checked its lease
    skew_left: int = MAX_SKEW
    renewals_left: int = MAX_RENEWALS
    restarts_left: int = MAX_RESTARTS
    is_in_force: bool = False  # a majority has cleared 2 at some time: another relay may act on it since then
    is_broken: bool = False


Step = tuple[str, World]  # description of the step, and the state after it


def mark_in_force(world: World) -> World:
    """Record whether version 2 is in force."""
    has_majority = sum(voter.has_cleared for voter in world.voters) >= 2
    return world._replace(is_in_force=world.is_in_force or has_majority)


def grantor_wait(without: str, is_standby_forbidden: bool) -> int:
    """Return how long a voter waits after what it has recorded."""
    ticks = LEASE if is_standby_forbidden and without == "standby" else HORIZON
    return ticks + (MAX_SKEW if without != "drift" else 0)


def may_send(world: World, without: str) -> bool:
    """Whether the relay may now send a call that version 2 forbids."""
    ages = sorted(voter.confirmed_age for voter in world.voters)
    age = ages[0] if without == "majority" else ages[1]
    return world.holds_old_version and age <= HORIZON


def steps(world: World, without: str, is_standby_forbidden: bool) -> Iterator[Step]:
    """Yield all possible next steps."""
    yield from _time_steps(world)
    yield from _relay_steps(world, without)
    for number, voter in enumerate(world.voters):
        for text, changed in _voter_steps(world, voter, without, is_standby_forbidden):
            after = _with_voter(world, number, changed)
            yield (
                f"voter {number} {text}",
                after._replace(restarts_left=world.restarts_left - (text == RESTART)),
            )
        yield from _renewal_steps(world, number, voter, without)
        yield from _message_steps(world, number, voter, without)


def _with_voter(world: World, number: int, voter: Voter) -> World:
    voters = list(world.voters)
    voters[number] = voter
    return world._replace(voters=tuple(voters))


def _next_age(age: int) -> int:
    return min(OLDEST_AGE, age + 1)


def _time_steps(world: World) -> Iterator[Step]:
    for is_missed in (False, True):
        if is_missed and not world.skew_left:
            continue
        voters = tuple(_aged(voter, is_missed) for voter in world.voters)
        yield (
            "a tick" + " that the relay's clock misses" * is_missed,
            world._replace(voters=voters, skew_left=world.skew_left - is_missed),
        )


def _aged(voter: Voter, is_missed: bool) -> Voter:
    """Return the voter one tick later; ages by the relay's clock are unchanged if that misses the tick."""
    messages = tuple(
        message if is_missed else message._replace(age=_next_age(message.age))
        for message in voter.messages
        if is_missed or _next_age(message.age) < OLDEST_AGE or message.kind == REQUEST
    )
    return voter._replace(
        uptime=_next_age(voter.uptime),
        recorded_age=_next_age(voter.recorded_age),
        confirmed_age=voter.confirmed_age if is_missed else _next_age(voter.confirmed_age),
        messages=messages,
    )


def _relay_steps(world: World, without: str) -> Iterator[Step]:
    if world.holds_old_version:
        yield "the relay learns of 2 and drops 1", world._replace(holds_old_version=False)
    if not world.is_about_to_send and may_send(world, without):
        yield "the relay is about to send", world._replace(is_about_to_send=True)
    if world.is_about_to_send:
        sends = without == "byte" or may_send(world, without)
        yield (
            "the relay " + ("sends" if sends else "does not send after all"),
            world._replace(is_about_to_send=False, is_broken=sends and world.is_in_force),
        )


def _voter_steps(
    world: World, voter: Voter, without: str, is_standby_forbidden: bool
) -> Iterator[tuple[str, Voter]]:
    if not voter.has_cleared:  # at any moment it may learn that 2 is agreed on
        wait = grantor_wait(without, is_standby_forbidden)
        is_past_start = voter.uptime > wait or without == "start"
        is_past_lease = voter.recorded_age > wait or without == "wait"
        if is_past_lease and is_past_start:
            yield "clears 2", voter._replace(has_cleared=True, is_cleared_on_disk=without != "kept")
    if world.restarts_left:
        restarted = voter._replace(has_cleared=voter.is_cleared_on_disk, uptime=0, recorded_age=NOT_RECORDED)
        yield RESTART, restarted


def _renewal_steps(world: World, number: int, voter: Voter, without: str) -> Iterator[Step]:
    in_flight = sum(len(each.messages) for each in world.voters)
    limit = MAX_IN_FLIGHT + (without == "refused")
    if in_flight < limit and world.renewals_left:
        renewal = Message(REQUEST, 0, world.holds_old_version)
        after = _with_voter(world, number, voter._replace(messages=_sorted(*voter.messages, renewal)))
        yield (
            f"the relay renews at voter {number}",
            after._replace(renewals_left=world.renewals_left - 1),
        )


def _sorted(*messages: Message) -> tuple[Message, ...]:
    return tuple(sorted(messages))


def _message_steps(world: World, number: int, voter: Voter, without: str) -> Iterator[Step]:
    for index, message in enumerate(voter.messages):
        remaining = voter.messages[:index] + voter.messages[index + 1 :]
        without_message = voter._replace(messages=remaining)
        yield f"a message of voter {number} is lost", _with_voter(world, number, without_message)
        if message.kind == REQUEST:
            yield _renewal_received(world, number, without_message, message, without)
        elif message.is_old_version:
            yield from _answer_received(world, number, without_message, message, without)


def _renewal_received(world: World, number: int, voter: Voter, message: Message, without: str) -> Step:
    is_allowed = not message.is_old_version or not voter.has_cleared or without == "cleared"
    after = voter
    if is_allowed and message.is_old_version:
        answer = Message(RESPONSE, message.age, True)
        after = voter._replace(recorded_age=0, messages=_sorted(*voter.messages, answer))
    elif is_allowed:
        after = voter._replace(recorded_age=NOT_RECORDED)
    versions = "1" if message.is_old_version else "the meet"
    return f"voter {number} receives a renewal of {versions}", _with_voter(world, number, after)


def _answer_received(
    world: World, number: int, voter: Voter, message: Message, without: str
) -> Iterator[Step]:
    if world.holds_old_version:
        age = 0 if without == "asked" else message.age
        after = voter._replace(confirmed_age=min(voter.confirmed_age, age))
        yield f"the relay receives the answer of voter {number}", _with_voter(world, number, after)
    elif without == "refused":
        after = voter._replace(confirmed_age=min(voter.confirmed_age, message.age))
        yield (
            f"the relay uses 1 again after a late answer of voter {number}",
            _with_voter(world, number, after)._replace(holds_old_version=True),
        )


def canonical(world: World) -> World:
    """Return one state for all that differ only in the order of the voters."""
    return world._replace(voters=tuple(sorted(world.voters)))


class Exploration(NamedTuple):
    """Result of an exploration."""

    states: int
    path: list[str] | None  # the shortest path to a broken bound, if there is one


def explore(
    without: str = "", is_standby_forbidden: bool = False, max_states: int = MAX_STATES
) -> Exploration:
    """Explore all states, breadth first, until the bound is broken.

    Args:
        without: the guard that is removed; empty for none.
        is_standby_forbidden: version 2 forbids even the standby rules of 1.
        max_states: limit on the number of states.

    Raises:
        RuntimeError: there are more states than the limit.
    """
    first = canonical(World((Voter(),) * 3))
    origins: dict[World, tuple[World, str] | None] = {first: None}
    queue = deque([first])
    while queue:
        world = queue.popleft()
        if not world.holds_old_version and not world.is_about_to_send and without != "refused":
            continue  # the relay has dropped 1, and never uses it again
        for text, successor in steps(world, without, is_standby_forbidden):
            after = canonical(mark_in_force(successor))
            if after in origins:
                continue
            origins[after] = world, text
            if after.is_broken:
                return Exploration(len(origins), _path_to(origins, after))
            queue.append(after)
        if len(origins) > max_states:
            raise RuntimeError(f"more than {max_states} states")
    return Exploration(len(origins), None)


def _path_to(origins: dict[World, tuple[World, str] | None], world: World) -> list[str]:
    path = []
    while (origin := origins[world]) is not None:
        world, text = origin
        path.append(text)
    return path[::-1]


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="emulator.consensus.model")
    parser.add_argument("--without", choices=sorted(GUARDS))
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = []
    for guard in [args.without] if args.without else ["", *GUARDS]:
        started = time.monotonic()
        states, path = explore(guard, is_standby_forbidden=guard == "standby")
        seconds = round(time.monotonic() - started, 2)
        rows.append({"without": guard, "states": states, "path": path, "s": seconds})
        if not args.json:
            result = "keeps the bound" if path is None else f"{len(path)} steps: " + "; ".join(path)
            print(f"without {guard or 'nothing':10} {states:8} states  {seconds:6} s  {result}")
    if args.json:
        print(json.dumps(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
