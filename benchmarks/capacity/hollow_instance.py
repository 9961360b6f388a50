"""Runs many hollow instances in one process: the program's own gossip, rules and plans (fleet/common.py) with
real sockets, over a relay that accepts no messages. Orders arrive as lines of JSON, see `Worker`.

    python -m benchmarks.capacity.hollow_instance --operator FILE --config FILE --state FOLDER --address HOST
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import logging
import os
import resource
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from message_relay.config import Config, load
from message_relay.core.ports import Attempt, AttemptResult, EndpointKey, EndpointUpdate
from message_relay.core.relay import Relay
from message_relay.decisions.model import Outcome
from message_relay.failover.node import load_solver
from message_relay.fleet import operator
from message_relay.fleet.common import SharedSubsystems
from message_relay.fleet.operator import FleetSection, OperatorConfig, StatusSection
from message_relay.fleet.status import LoopLag
from message_relay.gc_policy import run_gc_policy
from message_relay.gossip.wire import Claim, MemberState
from message_relay.http.discovery_client import DiscoveryClient

from .hollow_figures import Bins

PORT = 7400  # plus the instance's number
LINE_BYTES = 1 << 24  # limit of an order, which may hold the numbers of all instances to stop
START_PAUSE_S = 0.002  # minimum pause between two starts, so that running instances get their turn
COUNTED = (
    "sent",
    "sent_bytes",
    "received",
    "received_bytes",
    "errors",
    "unreadable",
    "refused_streams",
    "asked",
    "asked_bytes",
    "conversations",
    "conversation_bytes",
)


class UnusedTransport:
    """A transport that is never used, because there are no messages."""

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        return AttemptResult(Outcome.NOT_SENT)

    def retain_only(self, listed: set[EndpointKey]) -> None:
        pass

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        pass

    def sweep(self) -> None:
        pass

    def close(self) -> None:
        pass


class ObservationLog:
    """Records what the instances of this process learn, and when (time.monotonic, shared by the machine)."""

    def __init__(self) -> None:
        # instance -> version -> when it began to act by this version only
        self.acts: dict[int, dict[int, float]] = {}
        self.deaths: dict[str, Bins] = {}  # process (name/boot) -> histogram of the times when it was learned
        self.lives: dict[str, Bins] = {}
        self.suspects: Counter[str] = Counter()

    def record_acting(self, number: int, label: str) -> None:
        if label.isdecimal():
            self.acts.setdefault(number, {}).setdefault(int(label), time.monotonic())

    def record_claim(self, claim: Claim) -> None:
        key = f"{claim.name}/{claim.process_epoch}"
        if claim.state in (MemberState.DEAD, MemberState.LEFT):
            self.deaths.setdefault(key, Bins()).add(time.monotonic())
        elif claim.state is MemberState.SUSPECT:
            self.suspects[key] += 1
        else:
            self.lives.setdefault(key, Bins()).add(time.monotonic())


class Hollow:
    """One hollow instance."""

    def __init__(
        self, number: int, operator_config: OperatorConfig, config: Config, watch: ObservationLog
    ) -> None:
        self.number, self.watch = number, watch
        self.host = Relay(config)
        self.host.connect({}, UnusedTransport(), [])
        self.common = SharedSubsystems(operator_config, number, config, self.host)
        if config.known_endpoints:
            update: EndpointUpdate = DiscoveryClient(
                config.discovery, config.settings.relays
            ).load_configured(config.known_endpoints)
            self.host.on_endpoint_update(update)
        self.common.gossip.on_member_changed.append(watch.record_claim)
        consensus = self.common.consensus
        assert consensus is not None
        self.consensus, notify_relay = consensus, consensus.on_rules_changed

        def on_rules_changed() -> None:
            if consensus.reported_rules is not None:
                watch.record_acting(number, consensus.reported_rules.label)
            notify_relay()

        consensus.on_rules_changed = on_rules_changed

    async def start(self) -> None:
        await self.common.start()

    async def stop(self, announce: bool) -> None:
        """Stop like a killed process, or with `announce` announce the departure first."""
        if announce:
            self.common.close()
        if self.common.failover is not None:
            await self.common.failover.tasks.cancel()
        await self.consensus.close()
        await self.common.gossip.close()
        self.host.journal.close()
        self.host.lock.release()
        self.watch.acts.pop(self.number, None)

    @property
    def present(self) -> int:
        """The number of present members that it knows, including itself."""
        return len(self.common.gossip.swim.present_members())


class Worker:
    """Carries out orders, each a line of JSON with `do`, and replies to each with a line."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args, self.watch, self.lag = args, ObservationLog(), LoopLag()
        self.instances: dict[int, Hollow] = {}
        self.stopped_counts: Counter[str] = Counter()  # totals of the instances that have stopped
        self.operator_config: OperatorConfig = operator.read(args.operator)
        config = load({"RELAY_CONFIG": str(args.config), "RELAY_NAME": "x", "RELAY_STATE": args.state})
        self.config, self.listed = config, config.known_endpoints

    def _create(self, number: int, fleet_size: int, zone: int) -> Hollow:
        listen = f"{self.args.address}:{PORT}"
        operator_config = msgspec.structs.replace(
            self.operator_config,
            peers=msgspec.structs.replace(self.operator_config.peers, listen=listen, address=""),
            fleet=FleetSection(instances=fleet_size),
            status=StatusSection(),
        )
        state = Path(self.args.state) / str(number)
        state.mkdir(parents=True, exist_ok=True)
        settings = replace(self.config.settings, zone=zone)
        config = Config(
            name=f"n{number}",
            listen=("127.0.0.1", 1),
            discovery=self.config.discovery,
            state=state,
            seed=number,
            sockets=self.config.sockets,
            disk_bytes=self.config.disk_bytes,
            known_endpoints=self.listed,
            settings=settings,
            zones=self.config.zones,
        )
        return Hollow(number, operator_config, config, self.watch)

    async def start(
        self, numbers: list[int], zones: dict[str, int], fleet_size: int, within_s: float
    ) -> None:
        """Start these instances, evenly spread over `within_s`."""
        started_at = time.monotonic()
        for n, number in enumerate(numbers):
            await asyncio.sleep(
                max(START_PAUSE_S, started_at + within_s * n / len(numbers) - time.monotonic())
            )
            instance = self._create(number, fleet_size, zones.get(str(number), 0))
            await instance.start()
            self.instances[number] = instance

    async def stop(self, numbers: list[int], announce: bool) -> None:
        """Stop at once those of these instances that run in this process."""
        stopped = [self.instances.pop(number) for number in numbers if number in self.instances]
        for instance in stopped:
            self.stopped_counts.update({name: instance.common.gossip.counts[name] for name in COUNTED})
        await asyncio.gather(*(instance.stop(announce) for instance in stopped))

    def counts(self) -> dict[str, Any]:
        totals = Counter(self.stopped_counts)
        for instance in self.instances.values():
            totals.update({name: instance.common.gossip.counts[name] for name in COUNTED})
        usage = resource.getrusage(resource.RUSAGE_SELF)
        lag = self.lag.summary()
        return {
            "instances": len(self.instances),
            "counts": dict(totals),
            "at": time.monotonic(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss": _rss(),
            "descriptors": len(os.listdir("/proc/self/fd")),
            "lag_ms": [lag.median_ms, lag.p99_ms, lag.most_ms],
        }

    def known(self, version: int) -> dict[str, Any]:
        """Return the progress: the minimum and maximum number of members that an instance knows as present,
        and how many instances act by this version or a later one."""
        present = [instance.present for instance in self.instances.values()]
        acts = sum(max(self.watch.acts.get(number, {0: 0.0})) >= version for number in self.instances)
        news = [len(instance.common.gossip.swim.dissemination_queue) for instance in self.instances.values()]
        late = [
            f"{instance.consensus.name}: {instance.consensus.active_rules().label} "
            f"{instance.consensus.lease_holder.denial_reason}"
            for number, instance in self.instances.items()
            if max(self.watch.acts.get(number, {0: 0.0})) < version
        ]
        return {
            "least": min(present, default=0),
            "most": max(present, default=0),
            "acts": acts,
            "news": max(news, default=0),
            "late": late[:2],
        }  # two examples, to help find the cause

    def acted(self, version: int) -> list[float]:
        """Return when each instance began to act by this version or a later one, if it does."""
        acting_since = []
        for number in self.instances:
            times = [at for each, at in self.watch.acts.get(number, {}).items() if each >= version]
            if times:
                acting_since.append(min(times))
        return acting_since

    async def do(self, order: dict[str, Any]) -> Any:
        match order["do"]:
            case "start":
                await self.start(order["numbers"], order["zones"], order["of"], order["within_s"])
                return len(self.instances)
            case "end":
                await self.stop(order["numbers"], order.get("word", False))
                return len(self.instances)
            case "counts":
                return self.counts()
            case "known":
                return self.known(order["version"])
            case "acted":
                return self.acted(order["version"])
            case "changes":
                """Return the observations of members since the last such order."""
                watch = self.watch
                reply = {
                    "deaths": {key: bins.counts for key, bins in watch.deaths.items()},
                    "lives": {key: bins.counts for key, bins in watch.lives.items()},
                    "suspects": dict(watch.suspects),
                }
                watch.deaths, watch.lives, watch.suspects = {}, {}, Counter()
                return reply
            case "collect":
                gc.collect()
                return None
        raise ValueError(f"do: {order['do']!r} is not a known order")

    async def run(self) -> None:
        """Run until there are no more orders."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        self.lag.start()
        load_solver()  # its imports count for the process, not for an instance
        gc_task = loop.create_task(run_gc_policy(lambda: 0))
        reply_line({"rss": _rss(), "pid": os.getpid()})
        while line := await reader.readline():
            try:
                reply_line(await self.do(json.loads(line)))
            except Exception as error:  # reported to the sender of the order
                logging.exception("an order failed")
                reply_line({"error": repr(error)})
        gc_task.cancel()
        await asyncio.gather(*(instance.stop(False) for instance in self.instances.values()))


def _rss() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def reply_line(reply: Any) -> None:
    sys.stdout.write(json.dumps(reply) + "\n")
    sys.stdout.flush()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--operator", type=Path, required=True)
    parser.add_argument("--config", type=Path, required=True)
    parser.add_argument("--state", required=True)
    parser.add_argument("--address", required=True)
    logging.basicConfig(
        level=logging.WARNING, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    args = parser.parse_args()
    asyncio.run(Worker(args).run())


if __name__ == "__main__":
    main()
