"""Simulated service discovery: the endpoints of a scenario's destinations, and what becomes of them."""

from __future__ import annotations

import random
from dataclasses import dataclass

from . import decision_binding as binding
from .decision_scenarios import Scenario

FIRST_ENDPOINT = 101
ZONES = 3
ANSWERS = ("failed", "failed", "lost", "cached", "failed", "failed", "failed", "failed", "whole")
CHANGES = ("drain", "remove", "replace", "back", "rate", "unneeded", "move", "all_gone", "whole")


@dataclass(slots=True)
class Listed:
    """An endpoint as service discovery has it."""

    number: int
    destination: int
    listing: str
    kind: int
    zone: int
    rate: float

    def entry(self) -> binding.Endpoint:
        return binding.endpoint(self.number, self.destination, self.listing, self.kind, self.zone, self.rate)


class Discovery:
    """Draws from the random source of the world that it belongs to."""

    def __init__(self, scenario: Scenario, source: random.Random) -> None:
        self.scenario, self.random = scenario, source
        self.listed: dict[int, Listed] = {}
        self.next_endpoint = FIRST_ENDPOINT
        self.asked = 0
        for destination in range(1, scenario.destinations + 1):
            for _ in range(scenario.endpoints_each):
                self.new_endpoint(destination)

    def new_endpoint(self, destination: int) -> Listed:
        number, self.next_endpoint = self.next_endpoint, self.next_endpoint + 1
        kind = destination % len(self.scenario.kinds)
        rate = self.scenario.listed_rate * (1.0 + 0.25 * (destination % 3))
        it = Listed(number, destination, "ready", kind, number % ZONES, rate)
        self.listed[number] = it
        return it

    def any_entry(self) -> binding.Endpoint:
        return self.random.choice(list(self.listed.values())).entry()

    def first_list(self) -> binding.Event:
        """Where discovery has to be asked, a process begins with what an earlier one kept."""
        return self.whole("cached" if self.scenario.ask_for_list else "whole")

    def whole(self, kind: str) -> binding.Event:
        there = [it.entry() for it in self.listed.values() if it.listing in ("ready", "draining")]
        return binding.endpoint_list(kind, there)

    def answer(self) -> binding.Event | None:
        """To an ask for the list; None: it gets lost, and the scheduler has to ask again."""
        kind = ANSWERS[self.asked % len(ANSWERS)]
        self.asked += 1
        if kind == "failed":
            return binding.endpoint_list("failed", ())
        return None if kind == "lost" else self.whole(kind)

    def change(self) -> binding.Event:
        """Changes an endpoint, or all of a destination; what is told of it."""
        change = self.random.choice(CHANGES)
        if change == "whole":
            return self.whole("whole")
        return binding.endpoint_list("changes", [it.entry() for it in self._changed(change)])

    def _changed(self, change: str) -> list[Listed]:
        ready = [it for it in self.listed.values() if it.listing == "ready"]
        it = self.random.choice(ready or list(self.listed.values()))
        match change:
            case "drain":
                it.listing = "draining"
            case "remove":
                it.listing = "gone"
            case "replace":
                it.listing = "gone"
                return [self.new_endpoint(it.destination), it]
            case "back":
                others = [each for each in self.listed.values() if each.listing != "ready"]
                for each in others[:3]:
                    each.listing = "ready"
                return others[:3]
            case "rate":
                it.rate *= self.random.choice((0.5, 0.8, 1.25, 2.0))
            case "move":
                it.destination = self.random.randint(1, self.scenario.destinations)
            case "all_gone" | "unneeded":
                every = [each for each in ready if each.destination == it.destination]
                for each in every:
                    each.listing = "gone" if change == "all_gone" else "unneeded"
                return every
        return [it]
