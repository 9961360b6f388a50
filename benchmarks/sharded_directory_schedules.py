"""Simulates the sharded directory in virtual time: real servers and clients, simulated links and sources.

    python -m benchmarks.sharded_directory_schedules --seeds 1000 [--readers 200] [--json]

Processes are killed, frozen and restarted, links are cut and sources are silent, as drawn from the seed. The
lateness of a call is the time for which its client could continuously have reached a server that has the
newer entry: alive, not frozen, both directions of the link open. Requests go over TCP (delayed, or not
delivered where a direction is cut); digests are datagrams (lost, duplicated, reordered). Each row's rate is
the generation that it is from, so that the age of an entry can be read from the directory.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from typing import Any

from message_relay.core.directory import EndpointDirectory
from message_relay.core.ports import EndpointUpdate
from message_relay.decisions.model import DestinationKind, Effect, MessageClass, Settings
from message_relay.sharded_directory.response_builder import MAX_RESPONSE_BYTES
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.shard_server import (
    BURST_S,
    BYTES_S,
    RESPONSES_PER_S,
    ShardServer,
)
from message_relay.sharded_directory.wire import (
    DRAINING,
    GONE,
    Digest,
    Layout,
    LayoutMismatch,
    Overloaded,
    Row,
    ShardRequest,
    ShardResponse,
)

BOUND_S = 12.0
# After an up-to-date server was reachable for this long, calls are made and requested shards are resident.
MAX_BLOCKED_S = 10.0
SOURCE_POLL_S = 2.0  # interval at which a server polls its source
REQUEST_TIMEOUT_S = 1.0
SETTINGS = Settings(
    classes=(MessageClass("order", Effect.KEYED, 4000.0, 16000.0, 2.0, 0.5, 4000.0),),
    kinds=(DestinationKind("k"),),
    max_concurrent_attempts=8,
    max_pending_messages=40,
    max_attempts=5,
)


@dataclass
class Plan:
    """A schedule; fields that are None are drawn from the seed."""

    seed: int
    clients: int = 200
    servers: int = 8
    destinations: int = 800
    shard_count: int = 128
    destinations_per_client: int = 12
    seconds: float = 50.0
    call_interval_s: float = 1.0  # mean time between two calls of a client
    change_interval_s: float = 0.7  # mean time between two changes
    fault_count: int | None = None
    restarts_all: bool | None = None  # whether all servers restart together during the run
    max_freeze_s: float = 25.0  # longest duration of a fault
    digest_loss: float | None = None  # share of digests that are lost


@dataclass
class Findings:
    """Counters and violations of one run; the field names are keys of `--json`."""

    seed: int
    calls: int = 0
    blocked: int = 0  # calls withheld because `is_current` was false
    late_s: float = 0.0  # greatest lateness of a call by a replaced entry
    late_calls: int = 0  # calls later than the bound
    older: int = 0  # entries that the directory replaced by an older version
    returned: int = 0  # added entries that were replaced by the directory's latest generation
    # Calls withheld and shards not resident although an up-to-date server was reachable for MAX_BLOCKED_S.
    stuck: int = 0
    wait_s: float = 0.0  # wait for a requested shard while an up-to-date server was reachable
    wrong_absent: int = 0  # destinations reported missing that existed throughout the bound
    unmet: int = 0  # destinations in use whose entries differ from the source after the final quiet period
    answers: int = 0
    busy: int = 0
    stale_refused: int = 0
    answers_s: float = 0.0  # most responses of one server in a second
    bytes_s: float = 0.0
    reader_bytes_s: float = 0.0  # mean over the clients, of encoded requests and responses
    notes: list[str] = field(default_factory=list)

    @property
    def has_violations(self) -> bool:
        wrong = (self.late_calls, self.older, self.returned, self.stuck, self.wrong_absent, self.unmet)
        return bool(
            any(wrong)
            or self.answers_s > RESPONSES_PER_S * (1 + BURST_S) + 1
            or self.bytes_s > BYTES_S * (1 + BURST_S) + 2 * MAX_RESPONSE_BYTES
        )


class SourceModel:
    """The source of the directory: the current rows and all changes so far."""

    def __init__(self, plan: Plan, rng: random.Random) -> None:
        self.rng, self.plan = rng, plan
        self.rows: dict[str, Row] = {}
        self.changes: list[tuple[int, list[Row], list[tuple[str, int]]]] = []
        self.history: dict[str, list[int]] = defaultdict(list)  # name -> generations that changed it
        # Maps each destination to (start time, number of endpoints) entries.
        self.endpoint_counts: dict[int, list[tuple[float, int]]] = defaultdict(list)
        self.generation_times = [0.0]
        self.generation = 0
        for number in range(plan.destinations):
            for each in range(1 + (number % 5 == 0)):
                self._set(0.0, Row(f"e{number}.{each}", number, 0, "h", 1 + number, None, "z", 0.0))

    def _set(self, now: float, row: Row) -> None:
        before = self.rows.pop(row.name, None)
        if row.listing != GONE:
            self.rows[row.name] = row
        self.history[row.name].append(self.generation)
        for changed, delta in ((before, -1), (row if row.listing != GONE else None, 1)):
            if changed is not None:
                counts = self.endpoint_counts[changed.destination]
                counts.append((now, (counts[-1][1] if counts else 0) + delta))

    def change(self, now: float, count: int = 1) -> None:
        self.generation += 1
        self.generation_times.append(now)
        rows, listings = [], []
        for _ in range(count):
            name = f"e{self.rng.randrange(self.plan.destinations)}.{self.rng.randrange(2)}"
            known = self.rows.get(name)
            chance = self.rng.random()
            mark = float(self.generation)
            if known is None or chance < 0.4:  # new, or with another address
                destination = (
                    self.rng.randrange(self.plan.destinations) if known is None else known.destination
                )
                row = Row(name, destination, 0, "h", self.rng.randrange(1, 65536), None, "z", mark)
            elif chance < 0.6:  # to another destination
                destination = self.rng.randrange(self.plan.destinations)
                row = Row(name, destination, 0, "h", 7, None, "z", mark)
            elif chance < 0.8:
                row = Row(name, known.destination, DRAINING, "h", known.port, None, "z", mark)
            else:
                row = Row(name, known.destination, GONE, "h", known.port, None, "z", mark)
                listings.append((name, GONE))
                self._set(now, row)
                continue
            rows.append(row)
            self._set(now, row)
        # As some sources do: rows first, listings after. Of several changes of a name in a generation, only
        # the last is sent.
        last_rows = {row.name: row for row in rows}
        removed = [(name, life) for name, life in listings if name not in self.rows]
        self.changes.append(
            (self.generation, [row for name, row in last_rows.items() if name in self.rows], removed)
        )

    def replaced_at(self, name: str, mark: int) -> int | None:
        """Returns the generation that replaced this name's entry of generation `mark`, or None."""
        generations = self.history[name]
        index = bisect_right(generations, mark)
        return generations[index] if index < len(generations) else None

    def existed_since(self, destination: int, since: float) -> bool:
        """Whether the destination had an endpoint at every moment since then."""
        counts = self.endpoint_counts[destination]
        index = bisect_right(counts, (since, 1 << 30))
        return bool(index) and counts[index - 1][1] > 0 and all(count > 0 for _, count in counts[index:])


class SimulatedServer:
    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.up_since: float | None = None  # None: dead
        self.frozen_until = 0.0
        self.source_cut_until = 0.0
        self.process_number = 0
        self.server: ShardServer
        self.generations: list[int] = []  # generations that this process has had; times in generation_times
        self.generation_times: list[float] = []
        self.responses_by_second: Counter[int] = Counter()
        self.bytes_by_second: Counter[int] = Counter()
        self.start(0.0)

    def start(self, now: float) -> None:
        self.process_number += 1
        rng = random.Random(f"{self.simulation.plan.seed} {self.name} {self.process_number}")
        self.server = ShardServer(self.simulation.layout, 1, rng)
        self.up_since, self.frozen_until = now, 0.0
        self.generations, self.generation_times = [], []
        self.simulation.at(
            now + (0.0 if now == 0.0 else rng.uniform(0.2, 1.0)),
            lambda: self.poll_source(self.process_number),
        )

    def stop(self) -> None:
        self.up_since = None

    def poll_source(self, process_number: int) -> None:
        simulation, now = self.simulation, self.simulation.now
        if process_number != self.process_number or self.up_since is None:
            return
        if self.frozen_until > now:
            simulation.at(self.frozen_until, lambda: self.poll_source(process_number))
            return
        source = simulation.source
        if self.source_cut_until <= now:
            if not self.server.is_loaded:
                staged = self.server.start_list(now, (1, source.generation))
                staged.add(source.rows.values())
                assert staged.seal(now)
                while not staged.step():
                    pass
                assert staged.is_committed
            elif self.server.table.generation < source.generation:
                for generation, rows, listings in source.changes[self.server.table.generation :]:
                    assert self.server.apply_changes(now, generation, rows, listings)
            self.server.confirm_source(now)
            if not self.generations or self.generations[-1] < source.generation:
                self.generations.append(source.generation)
                self.generation_times.append(now)
        simulation.at(
            now + SOURCE_POLL_S * simulation.rng.uniform(0.7, 1.1), lambda: self.poll_source(process_number)
        )

    def known_since(self, generation: int) -> float | None:
        """Returns the time since which it has this or a later generation."""
        index = bisect_left(self.generations, generation)
        return self.generation_times[index] if index < len(self.generations) else None

    def handle_request(
        self, client: str, request: ShardRequest
    ) -> ShardResponse | Overloaded | LayoutMismatch:
        response = self.server.handle_request(self.simulation.now, client, request)
        if isinstance(response, ShardResponse):
            self.responses_by_second[int(self.simulation.now)] += 1
        return response

    def current_since(self, now: float) -> float | None:
        """Returns the time since which it runs and reaches its source; None if it does not."""
        if (
            self.up_since is None
            or self.frozen_until > now
            or self.source_cut_until > now
            or not self.generations
        ):
            return None
        return max(
            self.up_since,
            self.frozen_until,
            self.source_cut_until + 1.1 * SOURCE_POLL_S,
            self.generation_times[0],
        )


class SimulatedClient:
    def __init__(self, simulation: Simulation, name: str, rng: random.Random) -> None:
        self.simulation, self.name, self.rng = simulation, name, rng
        plan = simulation.plan
        self.client = ShardClient(name, simulation.layout, rng, idle_s=15.0)
        self.directory = EndpointDirectory(SETTINGS, ("z",))
        self.destinations = rng.sample(range(plan.destinations), plan.destinations_per_client)
        self.frozen_until = 0.0
        self.delayed: list[Callable[[], None]] = []  # events received while frozen
        self.latest_marks: dict[str, int] = {}  # the latest generation of each name in the directory
        self.latest_mark = 0  # the latest generation of any name
        self.waiting_since: dict[int, float] = {}
        self.next_tick = -1.0
        self.byte_count = 0

    def deliver(self, work: Callable[[], None]) -> None:
        """Processes an incoming event; a frozen client does so once it wakes."""
        if self.frozen_until > self.simulation.now:
            self.delayed.append(work)
        else:
            work()
            self.process()

    def wake(self) -> None:
        if self.frozen_until > self.simulation.now:
            return
        for _ in range(3):  # pending messages continue at once, before delayed events are read
            self.call()
        work, self.delayed = self.delayed, []
        self.rng.shuffle(work)
        for each in work:
            each()
        self.process()

    def process(self) -> None:
        simulation, client, now = self.simulation, self.client, self.simulation.now
        if client.next_tick_at() <= now:
            client.tick(now, lambda destination: False)
        for update in client.updates:
            self.check_update(update)
        client.updates.clear()
        for destination in client.missing_destinations:
            self.waiting_since.pop(destination, None)
            existed = simulation.source.existed_since(destination, now - BOUND_S)
            if existed and simulation.had_current_server(self, now, BOUND_S):
                simulation.findings.wrong_absent += 1
                simulation.note(f"{now:.1f} {self.name}: {destination} is reported missing, but exists")
        client.missing_destinations.clear()
        for destination in [each for each in self.waiting_since if client.is_resident(each)]:
            del self.waiting_since[destination]
        for server, request in client.outgoing:
            simulation.send_request(self, server, request)
        client.outgoing.clear()
        due = max(client.next_tick_at(), now + 0.02)
        if not now < self.next_tick <= due:
            self.next_tick = due
            simulation.at(due, lambda: self.deliver(lambda: None))

    def check_update(self, update: EndpointUpdate) -> None:
        simulation, directory = self.simulation, self.directory
        latest_before = self.latest_mark
        for member in update.endpoints:
            mark = int(member.rate)
            if mark < self.latest_marks.get(member.name, 0):
                simulation.findings.older += 1
                simulation.note(f"{self.name}: {member.name} of {mark}, had {self.latest_marks[member.name]}")
            elif member.name not in directory.by_name:
                replaced = simulation.source.replaced_at(member.name, mark)
                if replaced is not None and replaced <= latest_before:
                    simulation.findings.returned += 1
                    simulation.note(
                        f"{self.name}: {member.name} of {mark}, replaced at {replaced}; had {latest_before}"
                    )
            self.latest_marks[member.name] = max(mark, self.latest_marks.get(member.name, 0))
            self.latest_mark = max(self.latest_mark, mark)
        directory.apply(update)

    def call(self) -> None:
        """Handles one message: it is sent, withheld, or waits for its shard."""
        simulation, client, now = self.simulation, self.client, self.simulation.now
        if self.rng.random() < 0.05:
            self.destinations[self.rng.randrange(len(self.destinations))] = self.rng.randrange(
                simulation.plan.destinations + 5
            )
        destination = self.rng.choice(self.destinations)
        simulation.findings.calls += 1
        if not client.is_resident(destination):
            self.waiting_since.setdefault(destination, now)
            client.request(now, destination, now + self.rng.choice((1.0, 5.0, 30.0)))
            return
        client.touch(now, destination)
        if not client.is_current(now, destination):
            simulation.findings.blocked += 1
            if simulation.had_current_server(self, now, MAX_BLOCKED_S):
                simulation.findings.stuck += 1
                simulation.note(
                    f"{now:.1f} {self.name}: call to {destination} withheld: {client.status(now)}"
                )
            return
        for known in list(self.directory.by_name.values()):
            if known.endpoint.destination == destination and known.is_ready:
                self.check_lateness(known.name, int(known.endpoint.rate))

    def check_lateness(self, name: str, mark: int) -> None:
        simulation, now = self.simulation, self.simulation.now
        replaced = simulation.source.replaced_at(name, mark)
        if replaced is None:
            return
        for server in simulation.servers.values():
            server_had_it_at = server.known_since(replaced)
            reachable_since = simulation.reachable_since(self, server, now)
            if server_had_it_at is None or reachable_since is None:
                continue
            late = now - max(server_had_it_at, reachable_since)
            simulation.findings.late_s = max(simulation.findings.late_s, late)
            if late > BOUND_S:
                simulation.findings.late_calls += 1
                simulation.note(f"{now:.1f} {self.name}: {name} of {mark}, not {replaced}, {late:.1f} s late")
                break


class Simulation:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.findings = Findings(plan.seed)
        self.layout = Layout(plan.shard_count, tuple(range(1, plan.servers + 1)))
        self.source = SourceModel(plan, self.rng)
        self.digest_loss = self.rng.choice((0.0, 0.1, 0.5)) if plan.digest_loss is None else plan.digest_loss
        self.cuts: dict[tuple[str, str], list[float]] = {}  # (client, server): cut until, each way
        self.servers = {f"n{i}": SimulatedServer(self, f"n{i}") for i in range(1, plan.servers + 1)}
        self.clients = {
            name: SimulatedClient(self, name, random.Random(f"{plan.seed} {name}"))
            for name in (f"n{100 + i}" for i in range(plan.clients))
        }
        self.is_quiet = False

    def at(self, when: float, work: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, work))

    def note(self, text: str) -> None:
        if len(self.findings.notes) < 5:
            self.findings.notes.append(text)

    # -- the network -----------------------------------------------------------------------------------------

    def is_open(self, client: str, server: str, direction: int) -> bool:
        cut = self.cuts.get((client, server))
        return cut is None or cut[direction] <= self.now

    def send_request(self, side: SimulatedClient, name: str, request: ShardRequest) -> None:
        """Transmits a request over a connection, and its response."""
        sent_at, server, is_finished = self.now, self.servers[name], [False]

        def end() -> None:
            if not is_finished[0]:
                is_finished[0] = True
                side.deliver(lambda: side.client.on_request_failed(self.now, name))

        def arrive() -> None:
            if server.up_since is None or not self.is_open(side.name, name, 0):
                return
            if server.frozen_until > self.now:
                self.at(server.frozen_until + 0.01, arrive)
                return
            response = server.handle_request(side.name, request)
            side.byte_count += 600
            if isinstance(response, ShardResponse):
                size = sum(64 * len(getattr(part, "rows", ())) for part in response.parts)
                server.bytes_by_second[int(self.now)] += size
                side.byte_count += size + 60
            self.at(self.now + self.rng.uniform(0.001, 0.2), lambda: back(response))
            if self.rng.random() < 0.05:  # duplicated and reordered
                self.at(self.now + self.rng.uniform(0.001, 6.0), lambda: twice(response))

        def back(response: ShardResponse | Overloaded | LayoutMismatch) -> None:
            if (
                not self.is_open(side.name, name, 1)
                or is_finished[0]
                or self.now - sent_at > REQUEST_TIMEOUT_S
            ):
                return
            is_finished[0] = True
            side.deliver(lambda: side.client.on_response(self.now, name, response))

        def twice(response: ShardResponse | Overloaded | LayoutMismatch) -> None:
            side.deliver(lambda: side.client.on_response(self.now, name, response))

        self.at(sent_at + self.rng.uniform(0.001, 0.1), arrive)
        self.at(sent_at + REQUEST_TIMEOUT_S, end)

    def send_due_digests(self, server: SimulatedServer) -> None:
        if server.up_since is not None and server.frozen_until <= self.now:
            for client, digest in server.server.due_digests(self.now):
                self.send_digest(server, client, digest)
        self.at(self.now + 0.1, lambda: self.send_due_digests(server))

    def send_digest(self, server: SimulatedServer, client: str, digest: Digest) -> None:
        side = self.clients[client]

        def arrive() -> None:
            if self.is_open(client, server.name, 1):
                side.deliver(lambda: side.client.on_digest(self.now, server.name, digest))

        if self.rng.random() >= self.digest_loss:
            self.at(self.now + self.rng.uniform(0.001, 0.05), arrive)
        if self.rng.random() < 0.1:
            self.at(self.now + self.rng.uniform(0.001, 10.0), arrive)

    def reachable_since(self, side: SimulatedClient, server: SimulatedServer, now: float) -> float | None:
        """Returns the time since which a request would be answered; None if it would not be."""
        if server.up_since is None or server.frozen_until > now:
            return None
        cut = max(self.cuts.get((side.name, server.name), [0.0]))
        return None if cut > now else max(server.up_since, server.frozen_until, cut)

    def had_current_server(self, side: SimulatedClient, now: float, long: float) -> bool:
        """Whether an up-to-date server was reachable for `long` seconds, while the client was not frozen."""
        if now - side.frozen_until < long:
            return False
        for server in self.servers.values():
            current_since, reachable_since = (
                server.current_since(now),
                self.reachable_since(side, server, now),
            )
            if (
                current_since is not None
                and reachable_since is not None
                and now - max(current_since, reachable_since) >= long
            ):
                return True
        return False

    # -- faults ----------------------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        rng, now = self.rng, self.now
        length = rng.uniform(2.0, self.plan.max_freeze_s)
        until = min(now + length, self.end_of_faults)
        client_names = rng.sample(sorted(self.clients), max(1, len(self.clients) // rng.choice((2, 5, 20))))
        server = rng.choice(list(self.servers.values()))
        kind = rng.choice(("kill", "freeze keeper", "cut", "one way", "source", "freeze readers", "most"))
        if kind == "kill":
            server.stop()
            self.at(until, lambda: self.restart(server))
        elif kind == "freeze keeper":
            server.frozen_until = until
        elif kind in ("cut", "one way"):
            direction = rng.randrange(2)
            for name in client_names:
                for other in rng.sample(sorted(self.servers), max(1, len(self.servers) - rng.randrange(3))):
                    cut = self.cuts.setdefault((name, other), [0.0, 0.0])
                    for side in (0, 1) if kind == "cut" else (direction,):
                        cut[side] = max(cut[side], until)
        elif kind == "source":
            server.source_cut_until = until
        elif kind == "freeze readers":
            for name in client_names:
                side_ = self.clients[name]
                side_.frozen_until = max(side_.frozen_until, until)
                self.at(until + 0.001, side_.wake)
        else:  # all servers but one lose their source or are killed
            spared = rng.choice(list(self.servers))
            is_kill = rng.random() < 0.5
            for name, each in self.servers.items():
                if name != spared:
                    if is_kill and each.up_since is not None:
                        each.stop()
                        self.at(until + rng.random(), lambda each=each: self.restart(each))  # type: ignore[misc]
                    else:
                        each.source_cut_until = until

    def restart(self, server: SimulatedServer) -> None:
        if server.up_since is None:
            server.start(self.now)

    def restart_all(self) -> None:
        for server in self.servers.values():
            server.stop()
            server.start(self.now)

    # -- the run ---------------------------------------------------------------------------------------------

    def run(self) -> Findings:
        plan, rng = self.plan, self.rng
        self.end_of_faults = plan.seconds * 0.75
        when = 0.0
        while when < self.end_of_faults:
            when += rng.expovariate(1.0 / plan.change_interval_s)
            count = 1 if rng.random() < 0.95 else rng.randrange(2, plan.destinations // 2)
            self.at(when, lambda count=count: self.source.change(self.now, count))  # type: ignore[misc]
        for _ in range(rng.randrange(3, 16) if plan.fault_count is None else plan.fault_count):
            self.at(rng.uniform(2.0, self.end_of_faults), self.inject_fault)
        if plan.restarts_all if plan.restarts_all is not None else rng.random() < 0.3:
            self.at(rng.uniform(5.0, self.end_of_faults), self.restart_all)
        for server in self.servers.values():
            self.send_due_digests(server)
        for side in self.clients.values():
            self.at(rng.uniform(0.0, 3.0), lambda side=side: self.call_repeatedly(side))  # type: ignore[misc]
        while self.events and self.events[0][0] <= plan.seconds:
            self.now, _, work = heapq.heappop(self.events)
            work()
        return self.collect()

    def call_repeatedly(self, side: SimulatedClient) -> None:
        if side.frozen_until <= self.now:
            side.deliver(side.call)
            for destination, since in side.waiting_since.items():
                if self.now - since >= MAX_BLOCKED_S and self.had_current_server(
                    side, self.now, MAX_BLOCKED_S
                ):
                    self.findings.stuck += 1
                    self.note(f"{self.now:.1f} {side.name}: has waited for {destination} since {since:.1f}")
        self.at(
            self.now + self.plan.call_interval_s * side.rng.uniform(0.5, 1.5),
            lambda: self.call_repeatedly(side),
        )

    def collect(self) -> Findings:
        findings = self.findings
        for side in self.clients.values():
            findings.stale_refused += side.client.stale_rejected
            self._compare(side)
        for server in self.servers.values():
            findings.answers += sum(server.responses_by_second.values())
            findings.busy += server.server.overloaded
            findings.answers_s = max([findings.answers_s, *server.responses_by_second.values()])
            findings.bytes_s = max([findings.bytes_s, *server.bytes_by_second.values()])
        total = sum(side.byte_count for side in self.clients.values())
        findings.reader_bytes_s = total / len(self.clients) / self.now
        return findings

    def _compare(self, side: SimulatedClient) -> None:
        """Checks, after the final quiet period, each destination in use against the source."""
        for destination in set(side.destinations):
            if side.client.is_resident(destination):
                actual = {
                    (known.name, int(known.endpoint.rate))
                    for known in side.directory.by_name.values()
                    if known.endpoint.destination == destination
                }
                expected = {
                    (row.name, int(row.rate))
                    for row in self.source.rows.values()
                    if row.destination == destination
                }
                if actual != expected:
                    self.findings.unmet += 1
                    self.note(
                        f"{side.name}: {destination}: expected {sorted(expected)}, found {sorted(actual)}"
                    )


def run_plan(plan: Plan) -> Findings:
    return Simulation(plan).run()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--readers", type=int, default=200)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    plans = [Plan(seed, clients=args.readers) for seed in range(args.first, args.first + args.seeds)]
    with ProcessPoolExecutor(args.processes) as pool:
        findings = list(pool.map(run_plan, plans, chunksize=4))
    total: dict[str, Any] = {"schedules": len(findings), "readers": args.readers}
    for name in (
        "calls",
        "blocked",
        "late_calls",
        "older",
        "returned",
        "stuck",
        "wrong_absent",
        "unmet",
        "answers",
        "busy",
        "stale_refused",
    ):
        total[name] = sum(getattr(each, name) for each in findings)
    lateness = sorted(each.late_s for each in findings)
    total["late_s"] = {
        "p50": lateness[len(lateness) // 2],
        "p99": lateness[len(lateness) * 99 // 100],
        "most": lateness[-1],
    }
    total["answers_s"] = max(each.answers_s for each in findings)
    total["bytes_s"] = max(each.bytes_s for each in findings)
    total["reader_bytes_s"] = sum(each.reader_bytes_s for each in findings) / len(findings)
    total["bad"] = [asdict(each) for each in findings if each.has_violations][:10]
    if args.json:
        print(json.dumps(total))
    else:
        for name, value in total.items():
            print(f"{name:16} {value}")
    raise SystemExit(1 if total["bad"] else 0)


if __name__ == "__main__":
    main()
