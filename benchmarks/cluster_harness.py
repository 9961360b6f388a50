"""Real instances that agree on rules, with a net between them in which faults are put: for tests and
benchmarks.

Each instance is a process of its own (`message_relay run` with an operator's file), reaches the others only
through fakes.fault_proxy, and delivers to one partner, whose ledger says under which version each call was
made. Started, killed, frozen and started again by number; their folders can be put back to an older
state.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from message_relay.consensus.admin_socket import send_request
from message_relay.fleet.status import StatusError

from .processes import Fleet, free_ports, lines, settings

SECRET = "of this test's fleet alone"
START_TIMEOUT_S, STOP_TIMEOUT_S = 60.0, 15.0
PORT = 7400
DESCRIBED_FIELDS = "acts by", "newest", "votes", "mute", "leader", "why not", "waits for", "members"


@dataclass
class ClusterHarness(Fleet):
    """`voters` of `instances` vote; `bound` is T. `shared` and the supervisor of a Fleet are not used."""

    voters: int = 3
    bound: float = 2.0
    horizon: float = 6.0
    period: float = 0.5  # of membership
    zones: int = 1
    agreed: bool = True  # without: neither peers nor rules, the same instances alone
    net_seed: int = 1
    answer_ms: int = 10
    destinations: int = 1
    clock_rates: dict[int, str] = field(default_factory=dict)
    block: int = 0  # of loopback addresses: 127.BLOCK.x.n, so that towns beside each other don't meet
    more_env: dict[int, dict[str, str]] = field(default_factory=dict)
    first: str = ""  # of the operator's file: [accord.first]
    partners: tuple[str, ...] = ()  # zones, each with a partner of its own; instance n is in zone n % as many
    partner: tuple[str, ...] = ()  # more arguments of each partner
    fleet_of: int = 40  # instances that the operator's file names at the least: rates are shared by them
    more_parts: str = ""  # of the operator's file
    agents: dict[int, str] = field(default_factory=dict)  # by place of the zone

    def name(self, n: int) -> str:
        return f"i{n}"

    async def set_up(self) -> None:
        self.block = self.block or 16 + os.getpid() % 200
        self.port = free_ports(max(self.instances, 40), self.block)
        (self.folder / "run").mkdir()
        places: dict[str, str] = {}
        for zone in self.partners or ("z",):
            places[zone] = await self.start(
                f"partner {zone}" if self.partners else "partner",
                "fakes.endpoint",
                "--answer-ms",
                str(self.answer_ms),
                "--calls",
                str(self.folder / (f"calls {zone}" if self.partners else "calls")),
                "--ledger",
                str(self.folder / "effects"),
                *self.partner,
            )
        # From each zone of instances to each partner a door of its own, so that either can be cut alone.
        doors = [
            {
                "from": f"relays {one}",
                "to": f"partner {other}",
                "at": f"127.{self.block}.3.{n + 1}:{PORT}",
                "target": places[other],
            }
            for n, (one, other) in enumerate((a, b) for a in self.partners for b in self.partners)
        ]
        known = {}
        for n, zone in enumerate(self.partners or ("z",)):
            at = {door["to"]: door["at"] for door in doors if door["from"] == f"relays {zone}"}
            known[n] = self._listed(
                {other: at.get(f"partner {other}", place) for other, place in places.items()}
            )
            (self.folder / f"list{n}.json").write_text(json.dumps(known[n]))
            self.agents[n] = await self.start(
                f"agent {n}" if n else "agent",
                "fakes.discovery_agent",
                "--list",
                str(self.folder / f"list{n}.json"),
                "--ledger",
                str(self.folder / "notices"),
            )
        nodes = [
            {
                "name": f"n{n}",
                "zone": f"z{n % self.zones}",
                "bind": f"127.{self.block}.1.{n}:{PORT}",
                "at": f"127.{self.block}.2.{n}:{PORT}",
            }
            for n in range(max(self.instances, 40))
        ]
        (self.folder / "plan.json").write_text(json.dumps({"nodes": nodes, "doors": doors}))
        self.control = await self.start(
            "net",
            "fakes.fault_proxy",
            "--plan",
            str(self.folder / "plan.json"),
            "--seed",
            str(self.net_seed),
            "--log",
            str(self.folder / "net.log"),
        )
        for n, _ in enumerate(self.partners or ("z",)):
            platform = {
                "name": "x",
                "listen": "127.0.0.1:1",
                "discovery": self.agents[n],
                "seed": "1",
                "known": known[n],
                "state": str(self.folder),
                "settings": self._settings()
                | {"az": n, "zones": list(self.partners or ("z",)), "prices": {"cross-zone": 0.05}},
            }
            (self.folder / f"config{n}.json").write_text(json.dumps(platform))
        (self.folder / "secret").write_text(SECRET)
        self.configure(self.instances)
        await asyncio.gather(*(self.start_instance(n) for n in range(self.instances)))

    def _settings(self) -> dict[str, Any]:
        """Partners of different zones know nothing of each other's keys."""
        told = settings(self.deadline_share)
        scope = {"dedup-scope": "zone"} if self.partners else {}
        return told | {"classes": [class_ | scope for class_ in told["classes"]]}

    def broken(self, taken: dict[str, str]) -> list[str]:
        """A repeatable message may take effect in two zones: that is harmless."""
        bad = super().broken(taken)
        if not self.partners:
            return bad
        return [
            text for text in bad if "took effect" not in text or taken.get(text.partition(":")[0]) != "status"
        ]

    def _listed(self, places: dict[str, str]) -> dict[str, Any]:
        entries = [
            {
                "instanceId": f"p{dest}{zone if self.partners else ''}",
                "hostPort": at,
                "zone": zone,
                "machineType": "k",
                "cell": dest,
                "lifecycle": "ready",
                "weight": self.rate,
                "startedAtMs": 0,
            }
            for zone, at in places.items()
            for dest in range(1, self.destinations + 1)
        ]
        return {"generation": 1, "reset": True, "instances": entries}

    def configure(self, instances: int) -> None:
        self.instances = instances
        part = ""
        if self.agreed:
            seeds = ", ".join(f'"127.{self.block}.2.{n}:{PORT}"' for n in range(self.voters))
            part = (
                f'[peers]\nlisten = "127.{self.block}.1.{{n}}:{PORT}"\n'
                f'address = "127.{self.block}.2.{{n}}:{PORT}"\n'
                f'seeds = [{seeds}]\nsecret_file = "{self.folder}/secret"\nperiod_s = {self.period}\n'
                f"[accord]\nvoters = {list(range(self.voters))}\nbound_s = {self.bound}\n"
                f"horizon_s = {self.horizon}\n{self.first}"
            )
        (self.folder / "relay.toml").write_text(
            f'[fleet]\ninstances = {max(instances, self.fleet_of)}\n[status]\nfolder = "{self.folder}/run"\n'
            + part
            + self.more_parts
        )

    # -- instances -------------------------------------------------------------------------------------------

    async def start_instance(self, n: int, wait: bool = True) -> None:
        state = self.folder / "state" / str(n)
        state.mkdir(parents=True, exist_ok=True)
        env = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / f"config{n % max(1, len(self.partners))}.json"),
            "RELAY_NAME": f"n{n}",
            "RELAY_LISTEN": f"127.0.0.1:{self.port + n}",
            "RELAY_STATE": str(state),
            "RELAY_OPERATOR": str(self.folder / "relay.toml"),
            "RELAY_INSTANCE": str(n),
            **self.more_env.get(n, {}),
        }
        if n in self.clock_rates:
            env["LINNETSTILE_CLOCK_RATE"] = self.clock_rates[n]
        with open(self.folder / f"i{n}.log", "ab") as log:
            self.processes[self.name(n)] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "message_relay", "run", stdout=log, stderr=log, env=env
            )
        if wait:
            await self.wait_until_serving(n)

    async def wait_until_serving(self, n: int) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", self.port + n)
                    writer.close()
                    return
                if self.processes[self.name(n)].returncode is not None:
                    raise RuntimeError(
                        f"instance {n} ended: " + (self.folder / f"i{n}.log").read_text()[-2000:]
                    )
                await asyncio.sleep(0.05)

    async def kill(self, n: int, how: signal.Signals = signal.SIGKILL) -> None:
        process = self.processes[self.name(n)]
        if process.returncode is None:
            process.send_signal(how)
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)

    def freeze(self, n: int) -> None:
        self.tell(self.name(n), signal.SIGSTOP)

    def resume(self, n: int) -> None:
        self.tell(self.name(n), signal.SIGCONT)

    def full_disk(self, n: int, full: bool = True) -> None:
        """No file of it can grow, or be written anew, until it is told otherwise."""
        pid = self.processes[self.name(n)].pid
        hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)[1]
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0 if full else hard, hard))

    def save_state_folder(self, n: int) -> None:
        """As it is now, for `old_folder`."""
        kept = self.folder / "kept" / str(n)
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(self.folder / "state" / str(n) / "peers", kept)

    def restore_state_folder(self, n: int) -> None:
        """Puts its part on peers and rules back to what was kept, in its place."""
        place = self.folder / "state" / str(n) / "peers"
        for path in place.iterdir():
            path.unlink()
        for path in (self.folder / "kept" / str(n)).iterdir():
            shutil.copy(path, place / path.name)

    # -- the net and the rules -------------------------------------------------------------------------------

    async def net(
        self, do: str, source: str | list[str] = "*", to: str | list[str] = "*", **more: Any
    ) -> Any:
        host, _, port = self.control.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(json.dumps({"do": do, "from": source, "to": to, **more}).encode() + b"\n")
        answer = json.loads(await reader.readline())
        writer.close()
        if isinstance(answer, str) and answer.startswith("error"):
            raise ValueError(answer)
        return answer

    async def cut(self, some: list[int], others: list[int] | None = None) -> None:
        """Between these and all others, both ways."""
        mine = [f"n{n}" for n in some]
        rest = [
            f"n{n}"
            for n in (
                others if others is not None else [n for n in range(max(self.instances, 40)) if n not in some]
            )
        ]
        await self.net("set", mine, rest, cut=True)
        await self.net("set", rest, mine, cut=True)

    async def rules(self, n: int, ask: str, **more: Any) -> dict[str, Any]:
        return await send_request(self.folder / "run" / f"{n}.rules", {"ask": ask, **more})

    async def propose(self, n: int, rules: dict[str, Any], **more: Any) -> dict[str, Any]:
        return await self.rules(
            n, "propose", rules=rules, author="test", cause=more.pop("cause", "a test"), **more
        )

    async def status(self, n: int) -> dict[str, Any]:
        return await self.rules(n, "status")

    async def wait_for_version(self, label: str, of: list[int] | None = None, seconds: float = 30.0) -> float:
        """Until these (or all) act by that version: how long it took."""
        begun = time.monotonic()
        wanted = list(range(self.instances)) if of is None else of
        try:
            async with asyncio.timeout(seconds):
                while wanted:
                    for n in list(wanted):
                        with contextlib.suppress(StatusError):
                            if (await self.status(n))["acts by"] == label:
                                wanted.remove(n)
                    if wanted:
                        await asyncio.sleep(0.02)
        except TimeoutError:
            raise TimeoutError(f"{wanted} don't act by {label}: {await self.describe_instances()}") from None
        return time.monotonic() - begun

    async def describe_instances(self) -> str:
        """Of each instance what its rules' socket says, for whoever looks for a cause."""
        found = []
        for n in range(self.instances):
            try:
                said = await asyncio.wait_for(self.status(n), 2.0)
                found.append(f"{n}: { {name: said[name] for name in DESCRIBED_FIELDS} }")
            except (StatusError, TimeoutError) as error:
                found.append(f"{n}: {error!r}")
        return "; ".join(found)

    async def wait_for(
        self, true: Callable[[dict[str, Any]], bool], n: int, seconds: float = 30.0
    ) -> dict[str, Any]:
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(StatusError):
                    told = await self.status(n)
                    if true(told):
                        return told
                await asyncio.sleep(0.05)

    def labelled_calls(self) -> list[tuple[float, str, str]]:
        """Of each whole call: Unix ms, message, and by what it was made."""
        found = []
        for path in self.folder.glob("calls*"):
            for line in lines(path):
                at, ident, _, _, label = line.split()
                found.append((float(at), ident, label))
        return sorted(found)

    def calls_at(self, zone: str) -> list[float]:
        """Unix ms of each whole call to the partner of that zone."""
        return sorted(float(line.split()[0]) for line in lines(self.folder / f"calls {zone}"))

    async def close(self) -> None:
        """Raises RuntimeError where an instance did not end when it was told to."""
        late = []
        for name, process in self.processes.items():
            if process.returncode is None and name.startswith("i"):
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for name, process in self.processes.items():
            if name.startswith("i"):
                try:
                    await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
                except TimeoutError:
                    late.append(name)
                    process.kill()
                    await process.wait()
        for name, process in self.processes.items():
            if name.startswith(("partner ", "agent ")) and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
                await process.wait()
        net = self.processes.get("net")
        if net is not None and net.returncode is None:
            net.terminate()
            await net.wait()
        await super().close()
        if late:
            raise RuntimeError(f"{', '.join(late)}: not ended {STOP_TIMEOUT_S:g} s after SIGTERM")


@contextlib.asynccontextmanager
async def cluster(instances: int, **more: Any) -> AsyncIterator[ClusterHarness]:
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        it = ClusterHarness(Path(folder), instances, more.pop("rate", 1000.0), False, **more)
        try:
            await it.set_up()
            yield it
        finally:
            await it.close()
