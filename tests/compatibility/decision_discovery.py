"""Simulated service discovery: the endpoints of a scenario's destinations, and the changes of their list."""

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
    """A simulated discovery service that draws from the random source of its simulation."""

    def __init__(self, scenario: Scenario, source: random.Random) -> None:
        self.scenario, self.random = scenario, source
        self.listed: dict[int, Listed] = {}
        self.next_endpoint = FIRST_ENDPOINT
        self.polls_answered = 0
        for destination in range(1, scenario.destinations + 1):
            for _ in range(scenario.endpoints_each):
                self.new_endpoint(destination)

    def new_endpoint(self, destination: int) -> Listed:
        number, self.next_endpoint = self.next_endpoint, self.next_endpoint + 1
        kind = destination % len(self.scenario.kinds)
        rate = self.scenario.listed_rate * (1.0 + 0.25 * (destination % 3))
        endpoint = Listed(number, destination, "ready", kind, number % ZONES, rate)
        self.listed[number] = endpoint
        return endpoint

    def any_entry(self) -> binding.Endpoint:
        return self.random.choice(list(self.listed.values())).entry()

    def first_list(self) -> binding.Event:
        """Returns the list at a start: the one an earlier process cached, if discovery has to be polled."""
        return self.full_list("cached" if self.scenario.ask_for_list else "whole")

    def full_list(self, kind: str) -> binding.Event:
        entries = [
            endpoint.entry() for endpoint in self.listed.values() if endpoint.listing in ("ready", "draining")
        ]
        return binding.endpoint_list(kind, entries)

    def answer(self) -> binding.Event | None:
        """Returns the answer to a poll; None if it is lost, so that the scheduler has to poll again."""
        kind = ANSWERS[self.polls_answered % len(ANSWERS)]
        self.polls_answered += 1
        if kind == "failed":
            return binding.endpoint_list("failed", ())
        return None if kind == "lost" else self.full_list(kind)

    def change(self) -> binding.Event:
        """Changes an endpoint, or all endpoints of a destination, and returns the update."""
        change = self.random.choice(CHANGES)
        if change == "whole":
            return self.full_list("whole")
        return binding.endpoint_list("changes", [endpoint.entry() for endpoint in self._changed(change)])

    def _changed(self, change: str) -> list[Listed]:
        ready = [endpoint for endpoint in self.listed.values() if endpoint.listing == "ready"]
        endpoint = self.random.choice(ready or list(self.listed.values()))
        match change:
            case "drain":
                endpoint.listing = "draining"
            case "remove":
                endpoint.listing = "gone"
            case "replace":
                endpoint.listing = "gone"
                return [self.new_endpoint(endpoint.destination), endpoint]
            case "back":
                others = [other for other in self.listed.values() if other.listing != "ready"]
                for other in others[:3]:
                    other.listing = "ready"
                return others[:3]
            case "rate":
                endpoint.rate *= self.random.choice((0.5, 0.8, 1.25, 2.0))
            case "move":
                endpoint.destination = self.random.randint(1, self.scenario.destinations)
            case "all_gone" | "unneeded":
                affected = [other for other in ready if other.destination == endpoint.destination]
                for other in affected:
                    other.listing = "gone" if change == "all_gone" else "unneeded"
                return affected
        return [endpoint]
