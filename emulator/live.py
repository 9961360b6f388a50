"""An experiment with real relay processes over loopback: the same traffic, partners, clients and restarts.

Each partner is `fakes.endpoint` with the same model, the register is `fakes.discovery_agent`, in this
process, as
are the clients. It runs in real time, a seed at a time. What it measures are the same figures as the virtual
fleet's (`measures.Record`), from what the partners' ledgers say."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from fakes.discovery_agent import Agent
from message_relay.core.tasks import wait_for_event

from .clients import Address, Clients, Said, request
from .draws import Draws
from .experiment import Experiment, Restart, Variant, settings_of
from .measures import Life, Record
from .partner import Partner
from .runs import Result, result_of
from .traffic import Job, arrivals

READY_S, STOP_S = 30.0, 10.0
AFTER_S = 1.0  # the world goes on so long after the last message's time
SETTLE_S = 1.0  # before the clock of the experiment begins


class LiveError(RuntimeError):
    """It cannot be played with real processes; the text says why."""


class Register(Agent):
    """Hears notices, and tells changes to whoever watches."""

    def __init__(self, listing: dict[str, Any]) -> None:
        super().__init__(json.dumps(listing).encode())
        self.entries: list[dict[str, Any]] = listing["instances"]
        self.changed = asyncio.Event()
        self.changes: list[dict[str, Any]] = []
        self.told: Any = None

    def change(self, entry: dict[str, Any]) -> None:
        self.generation += 1
        self.changes.append(entry)
        self.entries = [each for each in self.entries if each["instanceId"] != entry["instanceId"]]
        if entry["lifecycle"] != "gone":
            self.entries.append(entry)
        whole = {"generation": self.generation, "reset": True, "instances": self.entries}
        self.listing = json.dumps(whole).encode()
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method: str, target: str, told: bytes) -> tuple[int, bytes]:
        if method == "POST":
            for line in told.splitlines():
                self.told(json.loads(line))
            return 204, b""
        if "from=" not in target:
            return 200, self.listing
        asked = int(target.partition("from=")[2].split("&")[0])
        hold_ms = int(target.partition("hold_ms=")[2].split("&")[0] or 0)
        if asked == self.generation:
            await wait_for_event(self.changed, hold_ms / 1000)
        missed = self.generation - asked
        entries = self.changes[-missed:] if 0 < missed <= len(self.changes) else []
        return 200, json.dumps({"generation": self.generation, "reset": False, "instances": entries}).encode()


@dataclass
class Live:
    it: Experiment
    variant: Variant
    seed: int
    folder: Path
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    ids: dict[str, Life] = field(default_factory=dict)  # by the id under which a message was handed in
    work: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.record = Record(self.it)
        self.clients = Clients(self.it.clients.wait_ms)
        self.draws = Draws(self.seed, "clients")
        fleet = self.it.fleet
        self.ports = free_ports(fleet.relays)
        self.up = [True] * fleet.relays
        self.front = [1 / (n + 1) ** fleet.skew for n in range(fleet.relays)]
        self.begun = 0.0  # Unix seconds of the experiment's beginning

    # -- processes ---------------------------------------------------------------------------------------

    async def _start(self, name: str, *args: str, env: dict[str, str] | None = None) -> str:
        with open(self.folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *args,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, **(env or {})},
            )
        self.processes[name] = process
        if not args[0].startswith("fakes"):
            return ""
        assert process.stdout is not None
        line = (await asyncio.wait_for(process.stdout.readline(), READY_S)).decode().split()
        if len(line) < 2:
            raise LiveError(f"{name} did not start: {(self.folder / f'{name}.log').read_text()[-500:]}")
        return line[1]

    async def set_up(self) -> None:
        entries, ident = [], 0
        for n, partner in enumerate(self.it.partners):
            spec = self.folder / f"partner{n}.json"
            spec.write_bytes(msgspec.json.encode(partner))
            at = await self._start(
                f"partner{n}",
                "fakes.endpoint",
                "--spec",
                str(spec),
                "--armed",
                "--seed",
                str(self.seed),
                "--calls",
                str(self.folder / f"calls{n}"),
                "--ledger",
                str(self.folder / f"effects{n}"),
            )
            rate = partner.listed_rate
            if rate is None:
                rate = 0.0 if partner.rate is None else partner.rate.per_s
            for _ in range(partner.endpoints):
                ident += 1
                entries.append(
                    {
                        "instanceId": f"e{ident}",
                        "hostPort": at,
                        "zone": "z",
                        "machineType": "k",
                        "cell": n + 1,
                        "lifecycle": "ready",
                        "weight": rate,
                        "startedAtMs": 0,
                    }
                )
        self.register = Register({"generation": 1, "reset": True, "instances": entries})
        self.register.told = self._notice
        self.server = await asyncio.start_server(self.register.serve, "127.0.0.1", 0)
        agent = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        for n in range(self.it.fleet.relays):
            (self.folder / f"state{n}").mkdir()
            (self.folder / f"config{n}.json").write_text(
                json.dumps(
                    {
                        "name": f"r{n}",
                        "listen": f"127.0.0.1:{self.ports[n]}",
                        "discovery": agent,
                        "seed": f"{self.seed * 1000 + n:x}",
                        "state": str(self.folder / f"state{n}"),
                        "settings": settings_of(self.it),
                        "limits": {"sockets": 1024, "memory_mb": 512, "disk_mb": 50},
                        "known": {"generation": 1, "reset": True, "instances": entries},
                    }
                )
            )
        (self.folder / "relay.toml").write_text(
            f"[fleet]\ninstances = {self.it.fleet.relays}\n"
            f"share_rates = {str(self.it.fleet.share_rates).lower()}\n"
        )
        for n in range(self.it.fleet.relays):
            await self._relay(n)
        for n in range(self.it.fleet.relays):
            await self._ready(n)

    async def _relay(self, n: int) -> None:
        env = {
            "RELAY_CONFIG": str(self.folder / f"config{n}.json"),
            "RELAY_INSTANCE": str(n),
            "RELAY_OPERATOR": str(self.folder / "relay.toml"),
        }
        if self.variant.version:
            env["PYTHONPATH"] = self.variant.version
        await self._start(f"relay{n}", "message_relay", env=env)

    async def _ready(self, n: int) -> None:
        ends = time.monotonic() + READY_S
        while time.monotonic() < ends:
            if self.processes[f"relay{n}"].returncode is not None:
                raise LiveError(f"relay {n} ended: {(self.folder / f'relay{n}.log').read_text()[-500:]}")
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.ports[n])
                writer.close()
                return
            await asyncio.sleep(0.02)
        raise LiveError(f"relay {n} is not ready after {READY_S:g} s")

    async def close(self) -> None:
        for name in sorted(self.processes, key=lambda name: not name.startswith("relay")):
            process = self.processes[name]
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                await asyncio.wait_for(process.wait(), STOP_S)
            except TimeoutError:
                process.kill()
                await process.wait()
        self.clients.close()
        if hasattr(self, "server"):
            self.server.close()

    # -- the experiment ----------------------------------------------------------------------------------

    async def play(self) -> Record:
        await asyncio.sleep(SETTLE_S)
        for name, process in self.processes.items():
            if name.startswith("partner"):
                process.send_signal(signal.SIGUSR1)
        self.begun = time.time()
        for restart in self.it.fleet.restarts:
            self._later(self._restart(restart))
        for n, partner in enumerate(self.it.partners):
            first = sum(each.endpoints for each in self.it.partners[:n])
            for change in partner.changes:
                self._later(self._change(first + change.endpoint - 1, change.at_s, change.listing))
        for job in arrivals(self.it, self.seed):
            await self._until(job.at)
            life = self.record.asked(job)
            self._later(self._hand_in(life, job, 0.0))
        longest = max(each.deadline_ms for each in self.it.classes) / 1000
        await self._until((self.it.traffic.seconds + longest + AFTER_S) * 1000)
        for task in self.work:
            task.cancel()
        await asyncio.gather(*self.work, return_exceptions=True)
        self._read()
        return self.record

    def _later(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.work.add(task)
        task.add_done_callback(self.work.discard)

    async def _until(self, at_ms: float) -> None:
        pause = self.begun + at_ms / 1000 - time.time()
        if pause > 0:
            await asyncio.sleep(pause)

    def now(self) -> float:
        return (time.time() - self.begun) * 1000

    async def _hand_in(self, life: Life, job: Job, pause_ms: float) -> None:
        if pause_ms:
            await asyncio.sleep(pause_ms / 1000)
        life.tries += 1
        place = job.relay if life.tries == 1 else self.draws.random()
        at = self._place(place)
        left = min(life.due, life.until) - self.now()
        if at is None or left <= 0:
            self._again(life, job, Said("none"))
            return
        ident = f"{life.number}-{life.tries}-{self.seed}"
        self.ids[ident] = life
        name = self.it.classes[life.class_].name
        said = await self.clients.hand_in(
            at,
            request(
                ident,
                name,
                life.destination,
                left,
                b"x" * job.bytes,
                f"k{life.number}",
                "1" if life.tries > 1 else "",
            ),
        )
        if said.taken:
            self.record.took(life, self.now())
            return
        self.record.refused += said.refused
        self._again(life, job, said)

    def _place(self, place: float) -> Address | None:
        up = [n for n, flag in enumerate(self.up) if flag]
        place *= sum(self.front[n] for n in up)
        for n in up:
            place -= self.front[n]
            if place < 0:
                return "127.0.0.1", self.ports[n]
        return None

    def _again(self, life: Life, job: Job, said: Said) -> None:
        clients = self.it.clients
        pause = clients.pause_ms * 2 ** (life.tries - 1) * (0.5 + self.draws.random())
        if self.draws.random() < clients.heed:
            pause = max(pause, said.retry_ms)
        if life.tries < clients.tries and self.now() + pause < min(life.due, life.until):
            self._later(self._hand_in(life, job, pause))

    def _notice(self, told: dict[str, Any]) -> None:
        life = self.ids.get(told["id"])
        if life is None:
            return
        if told["state"] == "failed":
            life.failed = True
            return
        self.record.returned += 1
        job = Job(
            life.number,
            life.at,
            life.class_,
            life.destination,
            life.due - life.at,
            self.it.traffic.bytes,
            0.0,
        )
        self._again(life, job, Said("returned", float(told.get("after_ms", 0.0))))

    async def _change(self, n: int, at_s: float, listing: str) -> None:
        await self._until(at_s * 1000)
        entry = next(each for each in self.register.entries if each["instanceId"] == f"e{n + 1}")
        self.register.change({**entry, "lifecycle": listing})

    async def _restart(self, restart: Restart) -> None:
        await self._until(restart.at_s * 1000)
        process = self.processes[f"relay{restart.relay}"]
        if restart.how == "kill":
            process.kill()
        else:
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
        self.up[restart.relay] = False
        await process.wait()
        await asyncio.sleep(0.6)
        await self._relay(restart.relay)
        await self._ready(restart.relay)
        self.up[restart.relay] = True

    def _read(self) -> None:
        """What the partners say came, and took effect."""
        partners = []
        for n, partner in enumerate(self.it.partners):
            model = Partner(partner.model(), Draws(self.seed, "unused"))
            for line in lines(self.folder / f"calls{n}"):
                at, trace, reply, after, *_ = line.split()
                life = self.ids.get(trace)
                begun = float(at) - self.begun * 1000
                self.record.called(n + 1, begun)
                if reply == "full":
                    self.record.full[n + 1] += 1
                if life is None:
                    continue
                life.calls += 1
                if reply == "ok":
                    done = begun + float(after)
                    life.done = done if life.done is None else min(life.done, done)
            for line in lines(self.folder / f"effects{n}"):
                life = self.ids.get(line.split()[1])
                if life is not None:
                    model.effects[str(life.number)] += 1
            partners.append(model)
        for times in self.record.calls.values():
            times.sort()
        self.record.finish(partners, [])


def lines(path: Path) -> list[str]:
    return path.read_text().splitlines() if path.exists() else []


def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            found.append(int(sock.getsockname()[1]))
        return found


@contextlib.asynccontextmanager
async def fleet(it: Experiment, variant: Variant, seed: int) -> AsyncIterator[Live]:
    with tempfile.TemporaryDirectory(prefix="message_relay-live-") as folder:
        live = Live(it.of(variant), variant, seed, Path(folder))
        try:
            await live.set_up()
            yield live
        finally:
            await live.close()


async def _one(it: Experiment, variant: Variant, seed: int) -> Result:
    async with fleet(it, variant, seed) as live:
        record = await live.play()
        found = result_of(record, variant, seed)
        unheard = {**found.figures, "tries_while_out": None}  # nobody counts them there
        return msgspec.structs.replace(found, figures=unheard)


def one(it: Experiment, variant: Variant, seed: int) -> Result:
    """Raises LiveError."""
    if variant.constants:
        raise LiveError(
            f"variants.{variant.name}.constants: live relays run as they are; name a version instead"
        )
    if variant.mixed < 1:
        raise LiveError(f"variants.{variant.name}.mixed: is for the virtual fleet only")
    return asyncio.run(_one(it, variant, seed))
