"""Cluster harness for tests and benchmarks: real instances with consensus, connected by a fault proxy.

Each instance is a separate process (`message_relay run` with an operator's file), reaches the others only
through fakes.fault_proxy, and delivers to one partner, whose ledger records the rules version of each call.
Instances are started, killed, frozen and restarted by number, and their state folders can be restored to an
older copy.
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
    """Runs `instances` processes without a supervisor; the first `voters` of them vote.

    `bound` is the lease bound T, in seconds. The field `shared` of Fleet is not used.
    """

    voters: int = 3
    bound: float = 2.0
    horizon: float = 6.0
    period: float = 0.5  # gossip period, in seconds
    zones: int = 1
    agreed: bool = True  # False: the same instances without gossip and consensus
    net_seed: int = 1
    answer_ms: int = 10
    destinations: int = 1
    clock_rates: dict[int, str] = field(default_factory=dict)
    block: int = 0  # loopback addresses are 127.BLOCK.x.n, so that clusters side by side stay separate
    more_env: dict[int, dict[str, str]] = field(default_factory=dict)
    first: str = ""  # section [accord.first] of the operator's file
    partners: tuple[str, ...] = ()  # zones with one partner each; instance n is in zone n % len(partners)
    partner: tuple[str, ...] = ()  # additional arguments of each partner
    fleet_of: int = 40  # lower limit of the fleet size in the operator's file, by which rates are divided
    more_parts: str = ""  # additional sections of the operator's file
    agents: dict[int, str] = field(default_factory=dict)  # maps each zone index to its agent's address

    def name(self, n: int) -> str:
        return f"i{n}"

    async def set_up(self) -> None:
        self.block = self.block or 16 + os.getpid() % 200
        self.port = free_ports(max(self.instances, 40), self.block)
        (self.folder / "run").mkdir()
        partner_addresses: dict[str, str] = {}
        for zone in self.partners or ("z",):
            partner_addresses[zone] = await self.start(
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
        # A separate proxy route from each zone's instances to each partner, so that each can be cut alone.
        routes = [
            {
                "from": f"relays {source_zone}",
                "to": f"partner {target_zone}",
                "at": f"127.{self.block}.3.{n + 1}:{PORT}",
                "target": partner_addresses[target_zone],
            }
            for n, (source_zone, target_zone) in enumerate(
                (a, b) for a in self.partners for b in self.partners
            )
        ]
        listings = {}
        for n, zone in enumerate(self.partners or ("z",)):
            addresses_by_target = {
                route["to"]: route["at"] for route in routes if route["from"] == f"relays {zone}"
            }
            listings[n] = self._listed(
                {
                    target_zone: addresses_by_target.get(f"partner {target_zone}", address)
                    for target_zone, address in partner_addresses.items()
                }
            )
            (self.folder / f"list{n}.json").write_text(json.dumps(listings[n]))
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
        (self.folder / "plan.json").write_text(json.dumps({"nodes": nodes, "doors": routes}))
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
                "known": listings[n],
                "state": str(self.folder),
                "settings": self._settings()
                | {"az": n, "zones": list(self.partners or ("z",)), "prices": {"cross-zone": 0.05}},
            }
            (self.folder / f"config{n}.json").write_text(json.dumps(platform))
        (self.folder / "secret").write_text(SECRET)
        self.configure(self.instances)
        await asyncio.gather(*(self.start_instance(n) for n in range(self.instances)))

    def _settings(self) -> dict[str, Any]:
        """Partners of different zones don't know each other's keys, so the scope of a key is its zone."""
        base = settings(self.deadline_share)
        scope = {"dedup-scope": "zone"} if self.partners else {}
        return base | {"classes": [class_ | scope for class_ in base["classes"]]}

    def violations(self, accepted: dict[str, str]) -> list[str]:
        """Excludes repeatable messages that took effect in two zones, which is harmless."""
        violations = super().violations(accepted)
        if not self.partners:
            return violations
        return [
            text
            for text in violations
            if "took effect" not in text or accepted.get(text.partition(":")[0]) != "status"
        ]

    def _listed(self, partner_addresses: dict[str, str]) -> dict[str, Any]:
        entries = [
            {
                "instanceId": f"p{destination}{zone if self.partners else ''}",
                "hostPort": address,
                "zone": zone,
                "machineType": "k",
                "cell": destination,
                "lifecycle": "ready",
                "weight": self.rate,
                "startedAtMs": 0,
            }
            for zone, address in partner_addresses.items()
            for destination in range(1, self.destinations + 1)
        ]
        return {"generation": 1, "reset": True, "instances": entries}

    def configure(self, instances: int) -> None:
        self.instances = instances
        peers_and_accord = ""
        if self.agreed:
            seeds = ", ".join(f'"127.{self.block}.2.{n}:{PORT}"' for n in range(self.voters))
            peers_and_accord = (
                f'[peers]\nlisten = "127.{self.block}.1.{{n}}:{PORT}"\n'
                f'address = "127.{self.block}.2.{{n}}:{PORT}"\n'
                f'seeds = [{seeds}]\nsecret_file = "{self.folder}/secret"\nperiod_s = {self.period}\n'
                f"[accord]\nvoters = {list(range(self.voters))}\nbound_s = {self.bound}\n"
                f"horizon_s = {self.horizon}\n{self.first}"
            )
        (self.folder / "relay.toml").write_text(
            f'[fleet]\ninstances = {max(instances, self.fleet_of)}\n[status]\nfolder = "{self.folder}/run"\n'
            + peers_and_accord
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
                        f"instance {n} exited: " + (self.folder / f"i{n}.log").read_text()[-2000:]
                    )
                await asyncio.sleep(0.05)

    async def kill(self, n: int, signal_number: signal.Signals = signal.SIGKILL) -> None:
        process = self.processes[self.name(n)]
        if process.returncode is None:
            process.send_signal(signal_number)
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)

    def freeze(self, n: int) -> None:
        self.send_signal(self.name(n), signal.SIGSTOP)

    def resume(self, n: int) -> None:
        self.send_signal(self.name(n), signal.SIGCONT)

    def full_disk(self, n: int, full: bool = True) -> None:
        """Prevents the instance from extending or creating files, until called with full=False."""
        pid = self.processes[self.name(n)].pid
        hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)[1]
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0 if full else hard, hard))

    def save_state_folder(self, n: int) -> None:
        """Copies the instance's gossip and consensus state, for `restore_state_folder`."""
        copy = self.folder / "kept" / str(n)
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(self.folder / "state" / str(n) / "peers", copy)

    def restore_state_folder(self, n: int) -> None:
        """Restores the instance's gossip and consensus state to the saved copy."""
        peers_folder = self.folder / "state" / str(n) / "peers"
        for path in peers_folder.iterdir():
            path.unlink()
        for path in (self.folder / "kept" / str(n)).iterdir():
            shutil.copy(path, peers_folder / path.name)

    # -- the net and the rules -------------------------------------------------------------------------------

    async def net(
        self, do: str, source: str | list[str] = "*", to: str | list[str] = "*", **options: Any
    ) -> Any:
        host, _, port = self.control.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(json.dumps({"do": do, "from": source, "to": to, **options}).encode() + b"\n")
        reply = json.loads(await reader.readline())
        writer.close()
        if isinstance(reply, str) and reply.startswith("error"):
            raise ValueError(reply)
        return reply

    async def cut(self, some: list[int], others: list[int] | None = None) -> None:
        """Cuts both directions between these instances and the others (default: all others)."""
        names = [f"n{n}" for n in some]
        other_names = [
            f"n{n}"
            for n in (
                others if others is not None else [n for n in range(max(self.instances, 40)) if n not in some]
            )
        ]
        await self.net("set", names, other_names, cut=True)
        await self.net("set", other_names, names, cut=True)

    async def rules(self, n: int, command: str, **options: Any) -> dict[str, Any]:
        return await send_request(self.folder / "run" / f"{n}.rules", {"ask": command, **options})

    async def propose(self, n: int, rules: dict[str, Any], **options: Any) -> dict[str, Any]:
        return await self.rules(
            n, "propose", rules=rules, author="test", cause=options.pop("cause", "a test"), **options
        )

    async def status(self, n: int) -> dict[str, Any]:
        return await self.rules(n, "status")

    async def wait_for_version(self, label: str, of: list[int] | None = None, seconds: float = 30.0) -> float:
        """Waits until these instances (default: all) act by that version; returns the seconds it took."""
        started_at = time.monotonic()
        remaining = list(range(self.instances)) if of is None else of
        try:
            async with asyncio.timeout(seconds):
                while remaining:
                    for n in list(remaining):
                        with contextlib.suppress(StatusError):
                            if (await self.status(n))["acts by"] == label:
                                remaining.remove(n)
                    if remaining:
                        await asyncio.sleep(0.02)
        except TimeoutError:
            raise TimeoutError(
                f"instances {remaining} don't act by version {label}: {await self.describe_instances()}"
            ) from None
        return time.monotonic() - started_at

    async def describe_instances(self) -> str:
        """Returns the main fields of each instance's consensus status, for error messages."""
        descriptions = []
        for n in range(self.instances):
            try:
                status = await asyncio.wait_for(self.status(n), 2.0)
                descriptions.append(f"{n}: { {name: status[name] for name in DESCRIBED_FIELDS} }")
            except (StatusError, TimeoutError) as error:
                descriptions.append(f"{n}: {error!r}")
        return "; ".join(descriptions)

    async def wait_for(
        self, condition: Callable[[dict[str, Any]], bool], n: int, seconds: float = 30.0
    ) -> dict[str, Any]:
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(StatusError):
                    status = await self.status(n)
                    if condition(status):
                        return status
                await asyncio.sleep(0.05)

    def labelled_calls(self) -> list[tuple[float, str, str]]:
        """Returns (Unix ms, message, label of the rules it was made under) of each complete call."""
        calls = []
        for path in self.folder.glob("calls*"):
            for line in lines(path):
                arrived_at, message_id, _, _, label = line.split()
                calls.append((float(arrived_at), message_id, label))
        return sorted(calls)

    def calls_at(self, zone: str) -> list[float]:
        """Returns the arrival time of each complete call at that zone's partner, in Unix ms."""
        return sorted(float(line.split()[0]) for line in lines(self.folder / f"calls {zone}"))

    async def close(self) -> None:
        """Raises RuntimeError if an instance has not exited in time after SIGTERM."""
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
            raise RuntimeError(f"{', '.join(late)}: not exited {STOP_TIMEOUT_S:g} s after SIGTERM")


@contextlib.asynccontextmanager
async def cluster(instances: int, **fields: Any) -> AsyncIterator[ClusterHarness]:
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        harness = ClusterHarness(Path(folder), instances, fields.pop("rate", 1000.0), False, **fields)
        try:
            await harness.set_up()
            yield harness
        finally:
            await harness.close()
