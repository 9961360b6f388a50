"""Hollow instances, many to a process: the program's own peers, rules and plans (fleet/common.py) with real
sockets, over a host that takes no messages. Told what to do by lines of JSON, see `Worker`.

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

PORT = 7400  # with an instance's number
LINE_BYTES = 1 << 24  # of an order: names of all that end
START_S = 0.002  # between two starts in one turn of an order: others have theirs in between
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


class Silent:
    """A transport that is never asked: there are no messages."""

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


class Watch:
    """What the instances of this process came to know, and when (time.monotonic, one for the machine)."""

    def __init__(self) -> None:
        self.acts: dict[int, dict[int, float]] = {}  # instance -> version -> since when it acts by it alone
        self.deaths: dict[str, Bins] = {}  # of a process: name/boot -> when it was known here, how often
        self.lives: dict[str, Bins] = {}
        self.suspects: Counter[str] = Counter()

    def acting(self, number: int, label: str) -> None:
        if label.isdecimal():
            self.acts.setdefault(number, {}).setdefault(int(label), time.monotonic())

    def changed(self, claim: Claim) -> None:
        key = f"{claim.name}/{claim.process_epoch}"
        if claim.state in (MemberState.DEAD, MemberState.LEFT):
            self.deaths.setdefault(key, Bins()).add(time.monotonic())
        elif claim.state is MemberState.SUSPECT:
            self.suspects[key] += 1
        else:
            self.lives.setdefault(key, Bins()).add(time.monotonic())


class Hollow:
    """One instance."""

    def __init__(self, number: int, told: OperatorConfig, config: Config, watch: Watch) -> None:
        self.number, self.watch = number, watch
        self.host = Relay(config)
        self.host.connect({}, Silent(), [])
        self.common = SharedSubsystems(told, number, config, self.host)
        if config.known_endpoints:
            known: EndpointUpdate = DiscoveryClient(config.discovery, config.settings.relays).load_configured(
                config.known_endpoints
            )
            self.host.on_endpoint_update(known)
        self.common.gossip.on_member_changed.append(watch.changed)
        accord = self.common.consensus
        assert accord is not None
        self.accord, retell = accord, accord.on_rules_changed

        def retold() -> None:
            if accord.reported_rules is not None:
                watch.acting(number, accord.reported_rules.label)
            retell()

        accord.on_rules_changed = retold

    async def start(self) -> None:
        await self.common.start()

    async def end(self, word: bool) -> None:
        """As a process that is killed, or one that says so first."""
        if word:
            self.common.close()
        if self.common.failover is not None:
            await self.common.failover.tasks.cancel()
        await self.accord.close()
        await self.common.gossip.close()
        self.host.journal.close()
        self.host.lock.release()
        self.watch.acts.pop(self.number, None)

    @property
    def there(self) -> int:
        """Members that it knows to be there, itself included."""
        return len(self.common.gossip.swim.present_members())


class Worker:
    """Carries out orders, each a line of JSON with `do`, and answers each with a line."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args, self.watch, self.lag = args, Watch(), LoopLag()
        self.instances: dict[int, Hollow] = {}
        self.ended: Counter[str] = Counter()  # what those counted that have ended
        self.told: OperatorConfig = operator.read(args.operator)
        config = load({"RELAY_CONFIG": str(args.config), "RELAY_NAME": "x", "RELAY_STATE": args.state})
        self.config, self.listed = config, config.known_endpoints

    def _one(self, number: int, of: int, zone: int) -> Hollow:
        listen = f"{self.args.address}:{PORT}"
        told = msgspec.structs.replace(
            self.told,
            peers=msgspec.structs.replace(self.told.peers, listen=listen, address=""),
            fleet=FleetSection(instances=of),
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
        return Hollow(number, told, config, self.watch)

    async def start(self, numbers: list[int], zones: dict[str, int], of: int, within_s: float) -> None:
        """Evenly over so long."""
        begun = time.monotonic()
        for n, number in enumerate(numbers):
            await asyncio.sleep(max(START_S, begun + within_s * n / len(numbers) - time.monotonic()))
            one = self._one(number, of, zones.get(str(number), 0))
            await one.start()
            self.instances[number] = one

    async def end(self, numbers: list[int], word: bool) -> None:
        """At once, all that are here of them."""
        gone = [self.instances.pop(number) for number in numbers if number in self.instances]
        for one in gone:
            self.ended.update({name: one.common.gossip.counts[name] for name in COUNTED})
        await asyncio.gather(*(one.end(word) for one in gone))

    def counts(self) -> dict[str, Any]:
        found = Counter(self.ended)
        for one in self.instances.values():
            found.update({name: one.common.gossip.counts[name] for name in COUNTED})
        used = resource.getrusage(resource.RUSAGE_SELF)
        lag = self.lag.summary()
        return {
            "instances": len(self.instances),
            "counts": dict(found),
            "at": time.monotonic(),
            "cpu_s": used.ru_utime + used.ru_stime,
            "rss": _rss(),
            "descriptors": len(os.listdir("/proc/self/fd")),
            "lag_ms": [lag.median_ms, lag.p99_ms, lag.most_ms],
        }

    def known(self, version: int) -> dict[str, Any]:
        """How far they are: members that each knows to be there (least, most), and how many act by that
        version or a later one."""
        there = [one.there for one in self.instances.values()]
        acts = sum(max(self.watch.acts.get(number, {0: 0.0})) >= version for number in self.instances)
        news = [len(one.common.gossip.swim.dissemination_queue) for one in self.instances.values()]
        late = [
            f"{one.accord.name}: {one.accord.active_rules().label} {one.accord.lease_holder.denial_reason}"
            for number, one in self.instances.items()
            if max(self.watch.acts.get(number, {0: 0.0})) < version
        ]
        return {
            "least": min(there, default=0),
            "most": max(there, default=0),
            "acts": acts,
            "news": max(news, default=0),
            "late": late[:2],
        }  # some, for whoever looks for the cause

    def acted(self, version: int) -> list[float]:
        """When each began to act by that version or a later one, of those that do."""
        found = []
        for number in self.instances:
            times = [at for each, at in self.watch.acts.get(number, {}).items() if each >= version]
            if times:
                found.append(min(times))
        return found

    async def do(self, order: dict[str, Any]) -> Any:
        match order["do"]:
            case "start":
                await self.start(order["numbers"], order["zones"], order["of"], order["within_s"])
                return len(self.instances)
            case "end":
                await self.end(order["numbers"], order.get("word", False))
                return len(self.instances)
            case "counts":
                return self.counts()
            case "known":
                return self.known(order["version"])
            case "acted":
                return self.acted(order["version"])
            case "changes":
                """What was heard of members since the last question."""
                watch = self.watch
                told = {
                    "deaths": {key: bins.counts for key, bins in watch.deaths.items()},
                    "lives": {key: bins.counts for key, bins in watch.lives.items()},
                    "suspects": dict(watch.suspects),
                }
                watch.deaths, watch.lives, watch.suspects = {}, {}, Counter()
                return told
            case "collect":
                gc.collect()
                return None
        raise ValueError(f"do: {order['do']!r} is no order")

    async def run(self) -> None:
        """Until there are no more orders."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        self.lag.start()
        load_solver()  # what it imports is the process's, not an instance's
        tending = loop.create_task(run_gc_policy(lambda: 0))
        say({"rss": _rss(), "pid": os.getpid()})
        while line := await reader.readline():
            try:
                say(await self.do(json.loads(line)))
            except Exception as error:  # told to whoever gave the order
                logging.exception("an order failed")
                say({"error": repr(error)})
        tending.cancel()
        await asyncio.gather(*(one.end(False) for one in self.instances.values()))


def _rss() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def say(what: Any) -> None:
    sys.stdout.write(json.dumps(what) + "\n")
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
