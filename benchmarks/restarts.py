"""Soak test of restarts: real relay processes under traffic get series of signals; clients use their
connections until the kill.

    python -m benchmarks.restarts [--seeds 50] [--first 1] [--restarts 4] [--parallel 4] [--json]
    python -m benchmarks.restarts --seed 7          # repeats one run and keeps the relay's log

Agent, endpoints and clients run in this process, the relay in a separate one; the plan is drawn from the seed
(restart_plan.py). SIGKILL follows 3.7 s after SIGTERM and the next start 0.6 s later, as on the platform. A
ledger of all parties finds the violated rules (restart_ledger.py). The program prints the violations with the
command that repeats the run; the exit code is 1 if there are any."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from emulator.partner import Partner
from emulator.spec import Service, Spec
from fakes.discovery_agent import Agent
from fakes.endpoint import Endpoint

from .kills import wait_until_healthy
from .process_memory import memory_mb
from .processes import settings
from .report import report
from .restart_clients import BUSY_PAUSE_S, CROWD, RESTING_PAUSE_S, Client, idle_visitor
from .restart_ledger import CallLog, Ledger, NoticeLog, Process
from .restart_plan import FirstMoment, Plan, Restart, Step, draw
from .slow_discovery import entry

ROOT = Path(__file__).parent.parent
KILL_AFTER_S, START_AFTER_S = 3.7, 0.6
BETWEEN_SIGNALS_S = 0.05
SIGNAL_AGAIN_S = 0.4
ENDPOINTS = 3
CLOSED_MS = 700.0
LAG_CHECK_S = 0.01
LEARNED_S = 1.0  # plus the agent's delay: the relay has certainly received a list of this age
KEY_WINDOW_MS = 3_600_000.0
SETTLE_S = 5.5  # longer than each message's deadline
SOCKETS = 128
PORT = 7070
DISK_MB = 3
MEMORY_MB = 32  # the least that the platform's pages name
MEMORY_CHECK_S = 0.05


def loopback_address(number: int) -> str:
    """Maps a process id to one of some 15 million addresses of the loopback network."""
    return f"127.{1 + number // 62_500 % 250}.{number // 250 % 250}.{1 + number % 250}"


class SoakRun:
    """One run, by the plan of one seed."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.rng = random.Random(plan.seed)
        self.ledger = Ledger(is_prompt=plan.agent_delay_s == 0, has_crowd=plan.has_crowd)
        self.endpoints: list[Endpoint] = []
        self.agents: list[Agent] = []
        self.left: int | None = None  # the endpoint that is listed as leaving
        self.lists: list[tuple[float, dict[str, Any]]] = []  # since when, and the agent's list
        self.known_at = time.monotonic()  # a new process is configured with the list as of this time
        # A separate address for each run: no other process can bind the port while the relay is down.
        self.address = (loopback_address(os.getpid()), PORT)
        self.accepted = asyncio.Event()
        self.peak_mb = 0.0  # of all relay processes
        self.process: asyncio.subprocess.Process | None = None
        self.timers: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        await self._set_up()
        watches = [asyncio.ensure_future(self._watch_own_lags()), asyncio.ensure_future(self._watch_memory())]
        clients = self._start_clients()
        try:
            for step in self.plan.steps:
                await self._start(step)
                await self._serve(step)
                await self._stop(step)
            await self._start(None)
            for task in clients:
                task.cancel()
            await asyncio.sleep(SETTLE_S)
            await self._signal(signal.SIGTERM)
            await self._wait_for_exit()
        finally:
            work = (*clients, *self.timers, *watches)
            for task in work:
                task.cancel()
            await asyncio.gather(*work, return_exceptions=True)
            if self.process is not None and self.process.returncode is None:
                self.process.kill()
                await self.process.wait()
        for endpoint in self.endpoints:
            self.ledger.effects += endpoint.model.effects

    async def _watch_own_lags(self) -> None:
        while True:
            slept_at = time.monotonic()
            await asyncio.sleep(LAG_CHECK_S)
            lag = time.monotonic() - slept_at - LAG_CHECK_S
            if lag > LAG_CHECK_S:
                self.ledger.lags.append((time.monotonic(), lag))

    async def _watch_memory(self) -> None:
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            if self.process is not None and self.process.returncode is None:
                self.peak_mb = max(self.peak_mb, memory_mb(self.process.pid, "VmHWM"))

    # -- the parties -------------------------------------------------------------------------------------

    async def _set_up(self) -> None:
        plan = self.plan
        spec = Spec(
            service=Service(10.0, cv=0.5),
            key_window_ms=KEY_WINDOW_MS,
            refuse=plan.refuse,
            error=plan.error,
            reset=plan.reset,
            hang=plan.hang,
        )
        for number in range(ENDPOINTS):
            log: Any = CallLog(self.ledger, f"s-{number}")
            model = Partner(spec, random.Random(plan.seed * 10 + number))
            # On an address of its own: no other process can take its port during an outage.
            endpoint = Endpoint(model, (self.address[0], 0), None, None, log)
            await endpoint.start()
            endpoint.start_model()
            self.endpoints.append(endpoint)
        notices: Any = NoticeLog(self.ledger)
        known = {"generation": 1, "reset": True, "instances": self._list_entries()}
        for _ in range(2):
            agent = await Agent(json.dumps(known).encode(), notices).start()
            agent.delay_s = plan.agent_delay_s
            self.agents.append(agent)
        (self.folder / "state").mkdir()
        self.lists.append((time.monotonic(), known))
        self._configure(0)

    def _list_entries(self) -> list[dict[str, Any]]:
        return [
            entry(f"s-{n}", endpoint.listen, "draining" if n == self.left else "ready")
            for n, endpoint in enumerate(self.endpoints)
        ]

    def _known_list(self) -> dict[str, Any]:
        """Returns the list that the relay last received, as the platform writes it into the configuration."""
        received = [listing for since, listing in self.lists if since <= self.known_at]
        return received[-1] if received else self.lists[0][1]

    def _configure(self, agent: int) -> None:
        self.agent = agent
        config = {
            "name": "n",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.agents[agent].address),
            "seed": f"{self.plan.seed:x}",
            "known": self._known_list(),
            "state": str(self.folder / "state"),
            "settings": settings(0.25),
            "limits": {"sockets": SOCKETS, "disk_mb": DISK_MB, "memory_mb": MEMORY_MB},
        }
        partial = self.folder / "config.tmp"
        partial.write_text(json.dumps(config))
        partial.replace(self.folder / "config.json")

    def _start_clients(self) -> list[asyncio.Task[None]]:
        client_runs: list[Coroutine[Any, Any, None]] = []
        for number in range(self.plan.clients):
            is_resting = number < self.plan.resting_clients
            pause_s = RESTING_PAUSE_S if is_resting else BUSY_PAUSE_S
            rng = random.Random(self.plan.seed * 100 + number)
            client_runs.append(Client(self.address, number, pause_s, rng, self.ledger, self.accepted).run())
        if self.plan.has_crowd:
            client_runs += [idle_visitor(self.address) for _ in range(CROWD)]
        return [asyncio.ensure_future(client_run) for client_run in client_runs]

    # -- the relay process -------------------------------------------------------------------------------

    async def _launch(self) -> Process:
        self._configure(self.agent)
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        command = str(deploy["run"]).replace(".venv/bin/python", sys.executable)
        env = {**os.environ, "RELAY_CONFIG": str(self.folder / "config.json")}
        record = Process(time.monotonic())
        self.ledger.processes.append(record)
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, env=env, cwd=ROOT, stdout=log, stderr=log
            )
        return record

    async def _start(self, step: Step | None) -> None:
        record = await self._launch()
        if step is not None and step.first_moment is not FirstMoment.NOTHING:
            await asyncio.sleep(step.first_moment_s)
            if step.first_moment is FirstMoment.HUP:
                self._reload()
            else:
                await self._signal(
                    signal.SIGTERM if step.first_moment is FirstMoment.TERM else signal.SIGKILL
                )
                await self._wait_for_exit()
                record = await self._launch()
        await wait_until_healthy(self.address[1], self.address[0])
        record.ready_at = time.monotonic()

    async def _signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        record = self.ledger.processes[-1]
        if number in (signal.SIGTERM, signal.SIGINT):
            record.signalled_at = min(record.signalled_at, time.monotonic())
        elif number is signal.SIGKILL:
            record.killed_at = time.monotonic()
        self._send(number)

    def _send(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has ended.

        Not by `send_signal` of subprocess: that collects the exit code of a process that has just ended,
        which asyncio then reports as 255.
        """
        assert self.process is not None
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def _wait_for_exit(self) -> None:
        """Waits until the process has exited; kills it at the earliest time that the platform would."""
        assert self.process is not None
        record = self.ledger.processes[-1]
        kill_at = min(record.signalled_at + KILL_AFTER_S, record.killed_at)
        try:
            async with asyncio.timeout(max(0.0, kill_at - time.monotonic())):
                await self.process.wait()
        except TimeoutError:
            await self._signal(signal.SIGKILL)
        record.exit_code = await self.process.wait()
        record.exited_at = time.monotonic()
        if record.ready_at < record.exited_at and not self.agents[0].is_silent:
            self.known_at = record.exited_at - self.plan.agent_delay_s - LEARNED_S
        await asyncio.sleep(max(0.0, kill_at - time.monotonic()) + START_AFTER_S)

    def _reload(self) -> None:
        """Writes a configuration that names the other agent, and sends SIGHUP."""
        assert self.process is not None
        self._configure(1 - self.agent)
        self.ledger.reloads.append(time.monotonic())
        self._send(signal.SIGHUP)

    # -- events during service --------------------------------------------------------------------------

    async def _serve(self, step: Step) -> None:
        self._schedule(step.leave_at_s, self._leave_or_return)
        self._schedule(step.close_at_s, self._refuse_connections)
        if step.reload_at_s < step.serve_s:
            self._schedule(step.reload_at_s, self._reload)
            self._schedule(step.reload_at_s + BETWEEN_SIGNALS_S, self._reload)
        if step.silent_s:
            self._silence(step.silent_s)
        await asyncio.sleep(step.serve_s)

    def _schedule(self, delay_s: float, action: Any) -> None:
        async def wait() -> None:
            await asyncio.sleep(delay_s)
            action()

        task = asyncio.ensure_future(wait())
        self.timers.add(task)
        task.add_done_callback(self.timers.discard)

    def _leave_or_return(self) -> None:
        now = time.monotonic()
        if self.left is None:
            self.left = self.rng.randrange(ENDPOINTS)
            self.ledger.leaving.append((now, float("inf"), f"s-{self.left}"))
        else:
            since, _, name = self.ledger.leaving.pop()
            self.ledger.leaving.append((since, now, name))
            self.left = None
        for agent in self.agents:
            agent.replace_list(self._list_entries())
        self.lists.append((now, json.loads(self.agents[0].listing)))

    def _refuse_connections(self) -> None:
        endpoint = self.endpoints[self.rng.randrange(ENDPOINTS)]
        if endpoint.server.is_serving():  # else its port is bound again while it is bound already
            endpoint._go_down(CLOSED_MS)

    def _silence(self, seconds: float) -> None:
        now = time.monotonic()
        self.ledger.silences.append((now, now + seconds))
        for agent in self.agents:
            agent.is_silent = True
        self._schedule(seconds, self._end_silence)

    def _end_silence(self) -> None:
        for agent in self.agents:
            agent.is_silent = False

    async def _stop(self, step: Step) -> None:
        if step.restart is Restart.KILL_BEHIND_ANSWER:
            self.accepted.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self.accepted.wait()
        if step.restart in (Restart.KILL, Restart.KILL_BEHIND_ANSWER):
            await self._signal(signal.SIGKILL)
        elif step.restart is Restart.INT:
            await self._signal(signal.SIGINT)
        else:
            if step.restart is Restart.HUP_THEN_TERM:
                self._reload()
                await asyncio.sleep(self.rng.uniform(0.0, BETWEEN_SIGNALS_S))
            await self._signal(signal.SIGTERM)
        if step.restart is Restart.TERM_TWICE:
            await asyncio.sleep(self.rng.uniform(0.0, SIGNAL_AGAIN_S))
            await self._signal(signal.SIGTERM)
        elif step.restart is Restart.HUP_WHILE_STOPPING:
            await asyncio.sleep(self.rng.uniform(0.0, SIGNAL_AGAIN_S))
            self._reload()
        if step.leaves_while_away:
            self._schedule(self.rng.uniform(0.0, KILL_AFTER_S), self._leave_or_return)
        await self._wait_for_exit()


async def run_soak(seed: int, restarts: int, folder: Path) -> dict[str, Any]:
    soak = SoakRun(draw(seed, restarts), folder)
    try:
        async with asyncio.timeout(60.0 + 20.0 * restarts):
            await soak.run()
        broken = soak.ledger.violations()
        if soak.peak_mb > MEMORY_MB:
            broken.append(f"peak memory of {soak.peak_mb:.1f} MB")
    except TimeoutError:
        broken = ["the run did not finish in time"]
    ledger = soak.ledger
    return {
        "seed": seed,
        "accepted": len(ledger.accepted),
        "answers": dict(ledger.answers),
        "processes": len(ledger.processes),
        "calls": len(ledger.calls),
        "notices": len(ledger.notices),
        "excused": sum(ledger.is_excused(each) for each in ledger.unanswered),
        "rested": sum(ledger.is_excused(each) and each.idle_s >= 2.0 for each in ledger.unanswered),
        "lag_s": max((lag for _, lag in ledger.lags), default=0.0),
        "peak_mb": soak.peak_mb,
        "broken": broken,
    }


async def run_soaks(
    seeds: list[int], restarts: int, parallel: int, keep: Path | None
) -> list[dict[str, Any]]:
    slots = asyncio.Semaphore(parallel)

    async def run_seed(seed: int) -> dict[str, Any]:
        async with slots:
            command = [sys.executable, "-m", "benchmarks.restarts", "--seed", str(seed), "--json"]
            command += ["--restarts", str(restarts)]
            process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            output, _ = await process.communicate()
            (row,) = json.loads(output)
            return dict(row)

    if keep is not None:
        return [await run_soak(seeds[0], restarts, keep)]
    return list(await asyncio.gather(*(run_seed(seed) for seed in seeds)))


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.restarts")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--restarts", type=int, default=4)
    parser.add_argument("--parallel", type=int, default=4)
    parser.add_argument("--folder", type=Path, help="an empty folder that keeps the files of a single run")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        if args.seed is not None:
            rows = asyncio.run(run_soaks([args.seed], args.restarts, 1, args.folder or Path(folder)))
        else:
            seeds = list(range(args.first, args.first + args.seeds))
            rows = asyncio.run(run_soaks(seeds, args.restarts, args.parallel, None))
    report(
        [{**row, "failures": len(row["broken"])} if not args.json else row for row in rows],
        args.json,
        (
            "restarts under traffic",
            "seed  accepted  processes   calls  notices  excused  rested  lag s  peak MB  broken",
        ),
        "{seed:4}{accepted:10}{processes:11}{calls:8}{notices:9}{excused:9}{rested:8}{lag_s:7.2f}{peak_mb:9.1f}{failures:8}",
    )
    for row in rows:
        for text in row["broken"][:10]:
            print(f"seed {row['seed']}: {text}", file=sys.stderr)
        if row["broken"]:
            command = f"python -m benchmarks.restarts --seed {row['seed']} --restarts {args.restarts}"
            print(f"again: {command}", file=sys.stderr)
    return 1 if any(row["broken"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
