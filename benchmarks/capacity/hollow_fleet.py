"""A fleet of hollow instances, real voters and real relays under traffic, and what happens to it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.cluster_harness import ClusterHarness, cluster
from benchmarks.processes import Clients
from message_relay.fleet.status import StatusError

from .hollow_figures import Bins, of, rates

ZONES = ("a", "b", "c", "d", "e")
VOTERS, RELAYS = 5, 3
PERIOD_S, BOUND_S, HORIZON_S, WINDOW_S = 1.0, 2.0, 30.0, 1.0  # of the program's defaults; stretched together
RATE = 60.0  # messages a second to the real ones
ORDER_S = 240.0  # an order takes no longer
MEMORY = Path("/dev/shm")
LINE_BYTES = 1 << 28  # of an answer: who heard of whose end, in bins
FIRST = 100  # the number of the first hollow one
ZONE_SHARE = 0.2  # of the hollow ones are in the zone that is lost; more with `zone_of`


def parts(zones: Sequence[str], window_s: float) -> str:
    """Of the operator's file: two regions."""
    east = (len(zones) + 1) // 2
    named = ", ".join(
        f'{zone} = {{ region = "{"east" if n < east else "west"}" }}' for n, zone in enumerate(zones)
    )
    return f"[failover]\nzones = {{ {named} }}\nwindow_s = {window_s:g}\n"


class Broken(Exception):
    """A worker has ended, or could not do what it was told."""


@dataclass
class Worker:
    """One process of hollow instances."""

    process: asyncio.subprocess.Process
    numbers: list[int]
    empty: int  # bytes of memory before it had any
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def do(self, **order: Any) -> Any:
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self.lock, asyncio.timeout(ORDER_S):
            self.process.stdin.write(json.dumps(order).encode() + b"\n")
            await self.process.stdin.drain()
            line = await self.process.stdout.readline()
        if not line:
            raise Broken(f"a worker has ended with {self.process.returncode}")
        told = json.loads(line)
        if isinstance(told, dict) and "error" in told:
            raise Broken(told["error"])
        return told


@dataclass
class HollowFleet:
    it: ClusterHarness
    instances: int
    processes: int
    stretch: float
    zone_of: int = 0  # hollow ones in zone a; 0: as many as in each other
    workers: list[Worker] = field(default_factory=list)
    down: set[int] = field(default_factory=set)
    clients: Clients | None = None
    traffic: asyncio.Future[Any] | None = None
    expected: set[str] = field(default_factory=set)  # processes (name/boot) that were ended on purpose
    boots: Counter[int] = field(default_factory=Counter)
    wrong: dict[str, int] = field(default_factory=dict)  # processes held for dead that ran on: by how many
    suspected: Counter[str] = field(default_factory=Counter)
    version: int = 1
    state: Path = Path()  # in memory where that is there: thousands of starts would wait for one disk
    conflicts: int = 0  # proposals that were made against a version that was the newest no more
    say: Callable[[str], None] = lambda text: print(text, file=sys.stderr, flush=True)

    # -- set up ----------------------------------------------------------------------------------------------

    @property
    def numbers(self) -> list[int]:
        return list(range(FIRST, FIRST + self.instances))

    def zone(self, number: int) -> int:
        n = number - FIRST
        if not self.zone_of:
            return n % self.zones
        step = self.instances / self.zone_of  # spread over all processes
        here = int((n + 1) / step) > int(n / step)
        return 0 if here else 1 + n % (self.zones - 1)

    @property
    def zones(self) -> int:
        return len(self.it.partners)

    async def begin(self) -> None:
        """The processes, without instances yet."""
        for n in range(self.processes):
            log = open(self.it.folder / f"hollow{n}.log", "ab")  # noqa: SIM115  the process keeps it
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.capacity.hollow_instance",
                "--operator",
                str(self.it.folder / "relay.toml"),
                "--config",
                str(self.it.folder / "config0.json"),
                "--state",
                str(self.state),
                "--address",
                f"127.{self.it.block}.{4 + n}.1",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=LINE_BYTES,
            )
            log.close()
            worker = Worker(process, self.numbers[n :: self.processes], 0)
            assert process.stdout is not None
            line = await process.stdout.readline()
            if not line:
                raise Broken((self.it.folder / f"hollow{n}.log").read_text()[-2000:])
            worker.empty = json.loads(line)["rss"]
            self.workers.append(worker)

    async def all(self, **order: Any) -> list[Any]:
        return await asyncio.gather(*(worker.do(**order) for worker in self.workers))

    async def start(self, numbers: list[int], within_s: float) -> float:
        """Begins these, spread over so long: s until all of them have begun."""
        begun = time.monotonic()
        zones = {str(number): self.zone(number) for number in numbers}
        wanted = set(numbers)
        await asyncio.gather(
            *(
                worker.do(
                    do="start",
                    numbers=[n for n in worker.numbers if n in wanted],
                    zones=zones,
                    of=self.instances + self.it.instances,
                    within_s=within_s,
                )
                for worker in self.workers
            )
        )
        self.boots.update(numbers)
        self.down -= wanted
        return time.monotonic() - begun

    async def end(self, numbers: list[int], word: bool = False) -> float:
        """Ends these at once; when."""
        at = time.monotonic()
        self.expected |= {f"n{n}/{self.boots[n]}" for n in numbers}
        self.down |= set(numbers)
        await self.all(do="end", numbers=numbers, word=word)
        return at

    async def close(self) -> None:
        if self.traffic is not None and self.clients is not None:
            await self.clients.stop(self.traffic)
            self.clients.close()
        for worker in self.workers:
            with contextlib.suppress(ProcessLookupError):
                worker.process.send_signal(signal.SIGCONT)
            if worker.process.stdin is not None:
                worker.process.stdin.close()
        for worker in self.workers:
            try:
                await asyncio.wait_for(worker.process.wait(), 20.0)
            except TimeoutError:
                worker.process.kill()
                await worker.process.wait()

    # -- looking ---------------------------------------------------------------------------------------------

    @property
    def up(self) -> int:
        return self.instances - len(self.down)

    async def until(
        self, true: Callable[[list[dict[str, Any]]], bool], seconds: float, word: str, every: float = 1.0
    ) -> float:
        """Until that is true of all workers; how long it took. nan, and said, where it does not come."""
        begun = time.monotonic()
        while True:
            told = await self.all(do="known", version=self.version)
            if true(told):
                return time.monotonic() - begun
            if time.monotonic() > begun + seconds:
                self.say(f"  not in {seconds:.0f} s: {word}: {told[:3]}")
                return float("nan")
            await asyncio.sleep(every)

    async def all_known(self, seconds: float) -> float:
        """Until each knows each other one that runs, and nobody else."""
        count = self.up + self.it.instances
        return await self.until(
            lambda told: all(row["least"] == row["most"] == count for row in told),
            seconds,
            f"all know {count}",
        )

    async def all_act(self, seconds: float) -> float:
        return await self.until(
            lambda told: sum(row["acts"] for row in told) == self.up,
            seconds,
            f"all act by {self.version}",
            0.25,
        )

    async def heard(self) -> dict[str, dict[str, Bins]]:
        """What was heard of members since the last look, by process; what was wrong is kept."""
        found: dict[str, dict[str, Bins]] = {"deaths": {}, "lives": {}}
        for told in await self.all(do="changes"):
            for kind, rows in found.items():
                for key, counts in told[kind].items():
                    rows.setdefault(key, Bins()).merge(counts)
            self.suspected.update(told["suspects"])
        for key, bins in found["deaths"].items():
            if key not in self.expected:
                self.wrong[key] = self.wrong.get(key, 0) + len(bins)
        return found

    async def counts(self) -> dict[str, Any]:
        rows = await self.all(do="counts")
        total: Counter[str] = Counter()
        for row in rows:
            total.update(row["counts"])
        return {
            "counts": total,
            "cpu_s": sum(row["cpu_s"] for row in rows),
            "at": time.monotonic(),
            "rss": sum(row["rss"] - worker.empty for row, worker in zip(rows, self.workers, strict=True)),
            "descriptors": max(row["descriptors"] for row in rows),
            "lag_ms": max(row["lag_ms"][2] for row in rows),
            "voters": {n: self._used(n) for n in range(self.it.instances)},
            "voter": await self._traffic(0),
        }

    async def _traffic(self, n: int) -> Counter[str]:
        try:
            return Counter((await self.it.status(n))["traffic"])
        except StatusError:
            return Counter()

    def _used(self, n: int) -> float:
        """Processor seconds of a real one."""
        pid = self.it.processes[self.it.name(n)].pid
        with open(f"/proc/{pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _memory(self, n: int) -> float:
        pid = self.it.processes[self.it.name(n)].pid
        with open(f"/proc/{pid}/statm") as file:
            return int(file.read().split()[1]) * float(os.sysconf("SC_PAGE_SIZE"))

    async def rest(self, seconds: float) -> dict[str, float]:
        """What an instance costs in so long without anything that happens."""
        before = await self.counts()
        await asyncio.sleep(seconds)
        after = await self.counts()
        took = after["at"] - before["at"]
        mine = rates(before["counts"], after["counts"], took, self.up)
        voter = rates(before["voter"], after["voter"], took, 1)
        used = [(after["voters"][n] - before["voters"][n]) / took for n in range(self.it.voters)]
        return {
            "bytes_s": mine["sent_bytes"] + mine["asked_bytes"],
            "bytes_in_s": mine["received_bytes"],
            "datagrams_s": mine["sent"],
            "datagrams_in_s": mine["received"],
            "cpu_share": (after["cpu_s"] - before["cpu_s"]) / took / self.up,
            "memory_bytes": after["rss"] / self.up,
            "descriptors": after["descriptors"],
            "lag_ms": after["lag_ms"],
            "voter_datagrams_in_s": voter.get("received", 0.0),
            "voter_bytes_in_s": voter.get("received_bytes", 0.0),
            "voter_datagrams_s": voter.get("sent", 0.0),
            "voter_bytes_s": voter.get("sent_bytes", 0.0),
            "voter_cpu_share": max(used),
            "voter_memory_bytes": max(self._memory(n) for n in range(self.it.voters)),
        }

    # -- traffic and changes ---------------------------------------------------------------------------------

    def serve(self) -> None:
        """The real relays take traffic from now on."""
        relays = self.it.instances - self.it.voters
        self.clients = Clients(self.it.port + self.it.voters, relays, deadline_share=0.5)
        self.traffic = asyncio.ensure_future(self.clients.run(RATE, 3600.0))

    async def propose(self, rate: float) -> tuple[int, float]:
        """A version, and when it was proposed. A plan may have come first: tried again."""
        rules = {"destinations": {"1": {"rate": rate}}}
        ends = time.monotonic() + 30.0
        while True:
            at = time.monotonic()
            try:
                told = await self.it.propose(0, rules)
            except StatusError as error:
                told = {"number": 0, "refused": str(error)}
            if told["number"]:
                self.version = told["number"]
                return told["number"], at
            self.conflicts += 1
            if time.monotonic() > ends:
                raise Broken(f"a version was not taken: {told['refused']}")
            await asyncio.sleep(0.1)

    async def acted(self, version: int) -> Bins:
        return of([at for row in await self.all(do="acted", version=version) for at in row])

    async def change(self, rate: float, seconds: float) -> dict[str, float]:
        """One version: when each hollow one acts by it."""
        version, at = await self.propose(rate)
        await self.all_act(seconds)
        bins = await self.acted(version)
        return {**bins.quartet(at), "acting": len(bins), "of": self.up}


async def begun(them: HollowFleet, within_s: float, seconds: float) -> dict[str, float]:
    """Starts all; when all know all, and all act by the rules."""
    began = time.monotonic()
    took = await them.start(them.numbers, within_s)
    them.say(f"  {them.instances} begun in {took:.1f} s")
    acts = await them.all_act(seconds)
    them.say(f"  all act after {time.monotonic() - began:.1f} s")
    known = await them.all_known(seconds)
    return {"start_s": took, "start_acts_s": took + acts, "start_known_s": took + acts + known}


@contextlib.asynccontextmanager
async def hollow_fleet(
    instances: int,
    processes: int,
    stretch: float,
    zone_of: int = 0,
    voters: int = VOTERS,
    relays: int = RELAYS,
    zones: tuple[str, ...] = ZONES,
) -> AsyncIterator[HollowFleet]:
    async with cluster(
        voters + relays,
        voters=voters,
        bound=BOUND_S * stretch,
        horizon=HORIZON_S * stretch,
        period=PERIOD_S * stretch,
        zones=len(zones),
        partners=zones,
        deadline_share=0.5,
        more_parts=parts(zones, WINDOW_S * stretch),
    ) as it:
        memory = str(MEMORY) if MEMORY.is_dir() else None
        with tempfile.TemporaryDirectory(prefix="message_relay-hollow-", dir=memory) as state:
            them = HollowFleet(it, instances, processes, stretch, zone_of, state=Path(state))
            try:
                await them.begin()
                yield them
            finally:
                await them.close()
