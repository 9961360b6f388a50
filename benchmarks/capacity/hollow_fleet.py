"""Controls a fleet of hollow instances, real voters and real relays under traffic."""

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

from .hollow_figures import Bins, bins_of, rates

ZONES = ("a", "b", "c", "d", "e")
VOTERS, RELAYS = 5, 3
PERIOD_S, BOUND_S, HORIZON_S, WINDOW_S = 1.0, 2.0, 30.0, 1.0  # the program's defaults, all times `stretch`
RATE = 60.0  # messages a second to the real relays
ORDER_TIMEOUT_S = 240.0  # timeout of a worker's order
MEMORY = Path("/dev/shm")
LINE_BYTES = 1 << 28  # limit of a response line, which may hold the bins of all observed deaths
FIRST = 100  # the number of the first hollow instance
ZONE_SHARE = 0.2  # share of hollow instances in the zone that is lost; more with `zone_of`


def regions_section(zones: Sequence[str], window_s: float) -> str:
    """Return the part of the operator's file that defines two regions."""
    east = (len(zones) + 1) // 2
    named = ", ".join(
        f'{zone} = {{ region = "{"east" if n < east else "west"}" }}' for n, zone in enumerate(zones)
    )
    return f"[failover]\nzones = {{ {named} }}\nwindow_s = {window_s:g}\n"


class WorkerError(Exception):
    """A worker has exited, or could not carry out an order."""


@dataclass
class Worker:
    """One process of hollow instances."""

    process: asyncio.subprocess.Process
    numbers: list[int]
    empty: int  # bytes of memory before it had any instance
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def do(self, **order: Any) -> Any:
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self.lock, asyncio.timeout(ORDER_TIMEOUT_S):
            self.process.stdin.write(json.dumps(order).encode() + b"\n")
            await self.process.stdin.drain()
            line = await self.process.stdout.readline()
        if not line:
            raise WorkerError(f"a worker has exited with code {self.process.returncode}")
        reply = json.loads(line)
        if isinstance(reply, dict) and "error" in reply:
            raise WorkerError(reply["error"])
        return reply


@dataclass
class HollowFleet:
    harness: ClusterHarness
    instances: int
    processes: int
    stretch: float
    zone_of: int = 0  # hollow instances in zone a; 0: the same number as in every other zone
    workers: list[Worker] = field(default_factory=list)
    down: set[int] = field(default_factory=set)
    clients: Clients | None = None
    traffic: asyncio.Future[Any] | None = None
    expected: set[str] = field(default_factory=set)  # processes (name/epoch) that were stopped on purpose
    process_epochs: Counter[int] = field(default_factory=Counter)
    # Maps each running process that was declared dead to the number of observers.
    wrong_deaths: dict[str, int] = field(default_factory=dict)
    suspected: Counter[str] = field(default_factory=Counter)
    version: int = 1
    state: Path = Path()  # in memory if possible: thousands of starts would wait for one disk
    conflicts: int = 0  # proposals based on a version that was no longer the newest
    log: Callable[[str], None] = lambda text: print(text, file=sys.stderr, flush=True)

    # -- set up ----------------------------------------------------------------------------------------------

    @property
    def numbers(self) -> list[int]:
        return list(range(FIRST, FIRST + self.instances))

    def zone(self, number: int) -> int:
        n = number - FIRST
        if not self.zone_of:
            return n % self.zones
        step = self.instances / self.zone_of  # spreads them over all processes
        is_in_large_zone = int((n + 1) / step) > int(n / step)
        return 0 if is_in_large_zone else 1 + n % (self.zones - 1)

    @property
    def zones(self) -> int:
        return len(self.harness.partners)

    async def start_workers(self) -> None:
        """Start the worker processes, without instances."""
        for n in range(self.processes):
            log = open(self.harness.folder / f"hollow{n}.log", "ab")  # noqa: SIM115  the process inherits it
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.capacity.hollow_instance",
                "--operator",
                str(self.harness.folder / "relay.toml"),
                "--config",
                str(self.harness.folder / "config0.json"),
                "--state",
                str(self.state),
                "--address",
                f"127.{self.harness.block}.{4 + n}.1",
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
                raise WorkerError((self.harness.folder / f"hollow{n}.log").read_text()[-2000:])
            worker.empty = json.loads(line)["rss"]
            self.workers.append(worker)

    async def order_all(self, **order: Any) -> list[Any]:
        return await asyncio.gather(*(worker.do(**order) for worker in self.workers))

    async def start(self, numbers: list[int], within_s: float) -> float:
        """Start these instances, spread over `within_s`. Returns the seconds until all have started."""
        started_at = time.monotonic()
        zones = {str(number): self.zone(number) for number in numbers}
        selected = set(numbers)
        await asyncio.gather(
            *(
                worker.do(
                    do="start",
                    numbers=[n for n in worker.numbers if n in selected],
                    zones=zones,
                    of=self.instances + self.harness.instances,
                    within_s=within_s,
                )
                for worker in self.workers
            )
        )
        self.process_epochs.update(numbers)
        self.down -= selected
        return time.monotonic() - started_at

    async def stop(self, numbers: list[int], announce: bool = False) -> float:
        """Stop these instances at once. Returns the time of the order.

        With `announce`, each announces its departure first.
        """
        stopped_at = time.monotonic()
        self.expected |= {f"n{n}/{self.process_epochs[n]}" for n in numbers}
        self.down |= set(numbers)
        await self.order_all(do="end", numbers=numbers, word=announce)
        return stopped_at

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

    # -- observing -------------------------------------------------------------------------------------------

    @property
    def up(self) -> int:
        return self.instances - len(self.down)

    async def wait_until(
        self,
        condition: Callable[[list[dict[str, Any]]], bool],
        seconds: float,
        description: str,
        interval_s: float = 1.0,
    ) -> float:
        """Wait until the condition holds. Returns the seconds; a timeout is logged and returns nan."""
        started_at = time.monotonic()
        while True:
            reports = await self.order_all(do="known", version=self.version)
            if condition(reports):
                return time.monotonic() - started_at
            if time.monotonic() > started_at + seconds:
                self.log(f"  timeout after {seconds:.0f} s: {description}: {reports[:3]}")
                return float("nan")
            await asyncio.sleep(interval_s)

    async def all_known(self, seconds: float) -> float:
        """Wait until each instance knows every other running instance, and no others."""
        count = self.up + self.harness.instances
        return await self.wait_until(
            lambda reports: all(row["least"] == row["most"] == count for row in reports),
            seconds,
            f"all know {count}",
        )

    async def all_act(self, seconds: float) -> float:
        return await self.wait_until(
            lambda reports: sum(row["acts"] for row in reports) == self.up,
            seconds,
            f"all act by {self.version}",
            0.25,
        )

    async def drain_observations(self) -> dict[str, dict[str, Bins]]:
        """Return observed deaths and starts since the last call, by process. Wrong deaths are recorded."""
        observed: dict[str, dict[str, Bins]] = {"deaths": {}, "lives": {}}
        for report in await self.order_all(do="changes"):
            for kind, rows in observed.items():
                for key, counts in report[kind].items():
                    rows.setdefault(key, Bins()).merge(counts)
            self.suspected.update(report["suspects"])
        for key, bins in observed["deaths"].items():
            if key not in self.expected:
                self.wrong_deaths[key] = self.wrong_deaths.get(key, 0) + len(bins)
        return observed

    async def counts(self) -> dict[str, Any]:
        rows = await self.order_all(do="counts")
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
            "voters": {n: self._cpu_seconds(n) for n in range(self.harness.instances)},
            "voter": await self._traffic(0),
        }

    async def _traffic(self, n: int) -> Counter[str]:
        try:
            return Counter((await self.harness.status(n))["traffic"])
        except StatusError:
            return Counter()

    def _cpu_seconds(self, n: int) -> float:
        """Return the processor seconds of a real instance."""
        pid = self.harness.processes[self.harness.name(n)].pid
        with open(f"/proc/{pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _memory(self, n: int) -> float:
        pid = self.harness.processes[self.harness.name(n)].pid
        with open(f"/proc/{pid}/statm") as file:
            return int(file.read().split()[1]) * float(os.sysconf("SC_PAGE_SIZE"))

    async def rest(self, seconds: float) -> dict[str, float]:
        """Measure the cost of an instance at rest, over this time."""
        before = await self.counts()
        await asyncio.sleep(seconds)
        after = await self.counts()
        seconds_measured = after["at"] - before["at"]
        instance = rates(before["counts"], after["counts"], seconds_measured, self.up)
        voter = rates(before["voter"], after["voter"], seconds_measured, 1)
        voter_cores = [
            (after["voters"][n] - before["voters"][n]) / seconds_measured for n in range(self.harness.voters)
        ]
        return {
            "bytes_s": instance["sent_bytes"] + instance["asked_bytes"],
            "bytes_in_s": instance["received_bytes"],
            "datagrams_s": instance["sent"],
            "datagrams_in_s": instance["received"],
            "cpu_share": (after["cpu_s"] - before["cpu_s"]) / seconds_measured / self.up,
            "memory_bytes": after["rss"] / self.up,
            "descriptors": after["descriptors"],
            "lag_ms": after["lag_ms"],
            "voter_datagrams_in_s": voter.get("received", 0.0),
            "voter_bytes_in_s": voter.get("received_bytes", 0.0),
            "voter_datagrams_s": voter.get("sent", 0.0),
            "voter_bytes_s": voter.get("sent_bytes", 0.0),
            "voter_cpu_share": max(voter_cores),
            "voter_memory_bytes": max(self._memory(n) for n in range(self.harness.voters)),
        }

    # -- traffic and changes ---------------------------------------------------------------------------------

    def serve(self) -> None:
        """Start traffic to the real relays."""
        relays = self.harness.instances - self.harness.voters
        self.clients = Clients(self.harness.port + self.harness.voters, relays, deadline_share=0.5)
        self.traffic = asyncio.ensure_future(self.clients.run(RATE, 3600.0))

    async def propose(self, rate: float) -> tuple[int, float]:
        """Propose a version. Returns its number and the time of the proposal.

        Retries if another version, such as a plan, was accepted first.
        """
        rules = {"destinations": {"1": {"rate": rate}}}
        deadline = time.monotonic() + 30.0
        while True:
            proposed_at = time.monotonic()
            try:
                reply = await self.harness.propose(0, rules)
            except StatusError as error:
                reply = {"number": 0, "refused": str(error)}
            if reply["number"]:
                self.version = reply["number"]
                return reply["number"], proposed_at
            self.conflicts += 1
            if time.monotonic() > deadline:
                raise WorkerError(f"a version was not accepted: {reply['refused']}")
            await asyncio.sleep(0.1)

    async def acting_times(self, version: int) -> Bins:
        return bins_of([at for row in await self.order_all(do="acted", version=version) for at in row])

    async def change(self, rate: float, seconds: float) -> dict[str, float]:
        """Propose one version. Returns quantiles of the time until each hollow instance acts by it."""
        version, at = await self.propose(rate)
        await self.all_act(seconds)
        bins = await self.acting_times(version)
        return {**bins.quartet(at), "acting": len(bins), "of": self.up}


async def start_fleet(fleet: HollowFleet, within_s: float, seconds: float) -> dict[str, float]:
    """Start all. Returns the times until all act by the rules, and until all know all."""
    started_at = time.monotonic()
    start_s = await fleet.start(fleet.numbers, within_s)
    fleet.log(f"  {fleet.instances} started in {start_s:.1f} s")
    act_s = await fleet.all_act(seconds)
    fleet.log(f"  all act after {time.monotonic() - started_at:.1f} s")
    known_s = await fleet.all_known(seconds)
    return {"start_s": start_s, "start_acts_s": start_s + act_s, "start_known_s": start_s + act_s + known_s}


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
        more_parts=regions_section(zones, WINDOW_S * stretch),
    ) as harness:
        memory = str(MEMORY) if MEMORY.is_dir() else None
        with tempfile.TemporaryDirectory(prefix="message_relay-hollow-", dir=memory) as state:
            fleet = HollowFleet(harness, instances, processes, stretch, zone_of, state=Path(state))
            try:
                await fleet.start_workers()
                yield fleet
            finally:
                await fleet.close()
