"""Runs an experiment with real relay processes over loopback, with the same traffic, partners, clients and
restarts.

Each partner is a process of `fakes.endpoint` with the same model. The discovery agent
(`fakes.discovery_agent`) and the clients run in this process. An experiment runs in real time, one seed at a
time. It yields the same figures as the virtual fleet (`measures.Record`), computed from the ledgers of the
partners."""

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

from .clients import Address, Clients, Response, request
from .draws import BufferedRandom
from .experiment import Experiment, Restart, Variant, settings_of
from .measures import MessageHistory, Record
from .partner import Partner
from .runs import Result, result_of
from .traffic import Job, arrivals

READY_S, STOP_S = 30.0, 10.0
GRACE_S = 1.0  # the run continues this long after the last deadline
SETTLE_S = 1.0  # before the experiment starts


class LiveError(RuntimeError):
    """The experiment cannot run with real processes. The text gives the reason."""


class ListingAgent(Agent):
    """A discovery agent that receives notifications of final outcomes and serves listing changes to watching
    relays."""

    def __init__(self, listing: dict[str, Any]) -> None:
        super().__init__(json.dumps(listing).encode())
        self.entries: list[dict[str, Any]] = listing["instances"]
        self.changed = asyncio.Event()
        self.changes: list[dict[str, Any]] = []
        self.on_notification: Any = None

    def change(self, entry: dict[str, Any]) -> None:
        self.generation += 1
        self.changes.append(entry)
        self.entries = [each for each in self.entries if each["instanceId"] != entry["instanceId"]]
        if entry["lifecycle"] != "gone":
            self.entries.append(entry)
        complete = {"generation": self.generation, "reset": True, "instances": self.entries}
        self.listing = json.dumps(complete).encode()
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        if method == "POST":
            for line in body.splitlines():
                self.on_notification(json.loads(line))
            return 204, b""
        if "from=" not in target:
            return 200, self.listing
        known = int(target.partition("from=")[2].split("&")[0])
        hold_ms = int(target.partition("hold_ms=")[2].split("&")[0] or 0)
        if known == self.generation:
            await wait_for_event(self.changed, hold_ms / 1000)
        missed = self.generation - known
        entries = self.changes[-missed:] if 0 < missed <= len(self.changes) else []
        return 200, json.dumps({"generation": self.generation, "reset": False, "instances": entries}).encode()


@dataclass
class Live:
    """The processes of one run: relays and partners, with the clients and the discovery agent of this
    process."""

    experiment: Experiment
    variant: Variant
    seed: int
    folder: Path
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    histories: dict[str, MessageHistory] = field(default_factory=dict)  # by the trace id of a submission
    background: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.record = Record(self.experiment)
        self.clients = Clients(self.experiment.clients.wait_ms)
        self.rng = BufferedRandom(self.seed, "clients")
        fleet = self.experiment.fleet
        self.ports = free_ports(fleet.relays)
        self.up = [True] * fleet.relays
        self.traffic_shares = [1 / (n + 1) ** fleet.skew for n in range(fleet.relays)]
        self.started_at = 0.0  # Unix time of the start of the experiment, in seconds

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
        for n, partner in enumerate(self.experiment.partners):
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
        self.agent = ListingAgent({"generation": 1, "reset": True, "instances": entries})
        self.agent.on_notification = self._on_notification
        self.server = await asyncio.start_server(self.agent.serve, "127.0.0.1", 0)
        agent_address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        for n in range(self.experiment.fleet.relays):
            (self.folder / f"state{n}").mkdir()
            (self.folder / f"config{n}.json").write_text(
                json.dumps(
                    {
                        "name": f"r{n}",
                        "listen": f"127.0.0.1:{self.ports[n]}",
                        "discovery": agent_address,
                        "seed": f"{self.seed * 1000 + n:x}",
                        "state": str(self.folder / f"state{n}"),
                        "settings": settings_of(self.experiment),
                        "limits": {"sockets": 1024, "memory_mb": 512, "disk_mb": 50},
                        "known": {"generation": 1, "reset": True, "instances": entries},
                    }
                )
            )
        (self.folder / "relay.toml").write_text(
            f"[fleet]\ninstances = {self.experiment.fleet.relays}\n"
            f"share_rates = {str(self.experiment.fleet.share_rates).lower()}\n"
        )
        for n in range(self.experiment.fleet.relays):
            await self._start_relay(n)
        for n in range(self.experiment.fleet.relays):
            await self._wait_until_ready(n)

    async def _start_relay(self, n: int) -> None:
        env = {
            "RELAY_CONFIG": str(self.folder / f"config{n}.json"),
            "RELAY_INSTANCE": str(n),
            "RELAY_OPERATOR": str(self.folder / "relay.toml"),
        }
        if self.variant.version:
            env["PYTHONPATH"] = self.variant.version
        await self._start(f"relay{n}", "message_relay", env=env)

    async def _wait_until_ready(self, n: int) -> None:
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
        self.started_at = time.time()
        for restart in self.experiment.fleet.restarts:
            self._start_task(self._restart(restart))
        for n, partner in enumerate(self.experiment.partners):
            first = sum(each.endpoints for each in self.experiment.partners[:n])
            for change in partner.changes:
                self._start_task(self._change(first + change.endpoint - 1, change.at_s, change.listing))
        for job in arrivals(self.experiment, self.seed):
            await self._sleep_until(job.at)
            history = self.record.submitted(job)
            self._start_task(self._submit(history, job, 0.0))
        longest = max(each.deadline_ms for each in self.experiment.classes) / 1000
        await self._sleep_until((self.experiment.traffic.seconds + longest + GRACE_S) * 1000)
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        self._read_ledgers()
        return self.record

    def _start_task(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _sleep_until(self, at_ms: float) -> None:
        pause = self.started_at + at_ms / 1000 - time.time()
        if pause > 0:
            await asyncio.sleep(pause)

    def now(self) -> float:
        return (time.time() - self.started_at) * 1000

    async def _submit(self, history: MessageHistory, job: Job, pause_ms: float) -> None:
        if pause_ms:
            await asyncio.sleep(pause_ms / 1000)
        history.tries += 1
        position = job.relay if history.tries == 1 else self.rng.random()
        at = self._relay_address(position)
        left = min(history.deadline, history.resubmit_until) - self.now()
        if at is None or left <= 0:
            self._schedule_resubmission(history, job, Response("none"))
            return
        ident = f"{history.number}-{history.tries}-{self.seed}"
        self.histories[ident] = history
        name = self.experiment.classes[history.class_].name
        response = await self.clients.hand_in(
            at,
            request(
                ident,
                name,
                history.destination,
                left,
                b"x" * job.bytes,
                f"k{history.number}",
                "1" if history.tries > 1 else "",
            ),
        )
        if response.taken:
            self.record.accepted(history, self.now())
            return
        self.record.refused += response.refused
        self._schedule_resubmission(history, job, response)

    def _relay_address(self, position: float) -> Address | None:
        up = [n for n, flag in enumerate(self.up) if flag]
        position *= sum(self.traffic_shares[n] for n in up)
        for n in up:
            position -= self.traffic_shares[n]
            if position < 0:
                return "127.0.0.1", self.ports[n]
        return None

    def _schedule_resubmission(self, history: MessageHistory, job: Job, response: Response) -> None:
        clients = self.experiment.clients
        pause = clients.pause_ms * 2 ** (history.tries - 1) * (0.5 + self.rng.random())
        if self.rng.random() < clients.heed:
            pause = max(pause, response.retry_ms)
        if history.tries < clients.tries and self.now() + pause < min(
            history.deadline, history.resubmit_until
        ):
            self._start_task(self._submit(history, job, pause))

    def _on_notification(self, notification: dict[str, Any]) -> None:
        history = self.histories.get(notification["id"])
        if history is None:
            return
        if notification["state"] == "failed":
            history.failed = True
            return
        self.record.returned += 1
        job = Job(
            history.number,
            history.at,
            history.class_,
            history.destination,
            history.deadline - history.at,
            self.experiment.traffic.bytes,
            0.0,
        )
        self._schedule_resubmission(
            history, job, Response("returned", float(notification.get("after_ms", 0.0)))
        )

    async def _change(self, n: int, at_s: float, listing: str) -> None:
        await self._sleep_until(at_s * 1000)
        entry = next(each for each in self.agent.entries if each["instanceId"] == f"e{n + 1}")
        self.agent.change({**entry, "lifecycle": listing})

    async def _restart(self, restart: Restart) -> None:
        await self._sleep_until(restart.at_s * 1000)
        process = self.processes[f"relay{restart.relay}"]
        if restart.how == "kill":
            process.kill()
        else:
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
        self.up[restart.relay] = False
        await process.wait()
        await asyncio.sleep(0.6)
        await self._start_relay(restart.relay)
        await self._wait_until_ready(restart.relay)
        self.up[restart.relay] = True

    def _read_ledgers(self) -> None:
        """Reads the calls and effects from the ledgers of the partners, and finishes the record."""
        partners = []
        for n, partner in enumerate(self.experiment.partners):
            model = Partner(partner.model(), BufferedRandom(self.seed, "unused"))
            for line in lines(self.folder / f"calls{n}"):
                at, trace, reply, after, *_ = line.split()
                history = self.histories.get(trace)
                called_at = float(at) - self.started_at * 1000
                self.record.called(n + 1, called_at)
                if reply == "full":
                    self.record.full[n + 1] += 1
                if history is None:
                    continue
                history.calls += 1
                if reply == "ok":
                    done = called_at + float(after)
                    history.delivered_at = (
                        done if history.delivered_at is None else min(history.delivered_at, done)
                    )
            for line in lines(self.folder / f"effects{n}"):
                history = self.histories.get(line.split()[1])
                if history is not None:
                    model.effects[str(history.number)] += 1
            partners.append(model)
        for times in self.record.calls.values():
            times.sort()
        self.record.finish(partners, [])


def lines(path: Path) -> list[str]:
    return path.read_text().splitlines() if path.exists() else []


def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            ports.append(int(sock.getsockname()[1]))
        return ports


@contextlib.asynccontextmanager
async def fleet(experiment: Experiment, variant: Variant, seed: int) -> AsyncIterator[Live]:
    with tempfile.TemporaryDirectory(prefix="message_relay-live-") as folder:
        live = Live(experiment.with_variant(variant), variant, seed, Path(folder))
        try:
            await live.set_up()
            yield live
        finally:
            await live.close()


async def _one(experiment: Experiment, variant: Variant, seed: int) -> Result:
    async with fleet(experiment, variant, seed) as live:
        record = await live.play()
        result = result_of(record, variant, seed)
        figures = {**result.figures, "tries_while_out": None}  # the ledgers do not show these attempts
        return msgspec.structs.replace(result, figures=figures)


def one(experiment: Experiment, variant: Variant, seed: int) -> Result:
    """Runs one variant with one seed. Raises LiveError."""
    if variant.constants:
        raise LiveError(
            f"variants.{variant.name}.constants: real relays run unmodified; name a version instead"
        )
    if variant.mixed < 1:
        raise LiveError(f"variants.{variant.name}.mixed: only the virtual fleet supports it")
    return asyncio.run(_one(experiment, variant, seed))
