"""What the directory by interest costs a keeper and a reader: their decisions, without sockets.

Rows are as a register has them, one endpoint a destination; shards are 8,192 whatever the size, as the plan's
operator has them. Readers hold an eighth of these, drawn for each: 1,000 destinations in use lie in 940.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator, Mapping

from message_relay.fleet.report import resident_memory_mb
from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.subscribers import DIGEST_INTERVAL_S
from message_relay.sharded_directory.wire import (
    Layout,
    Row,
    ShardRequest,
    ShardResponse,
    encode_message,
    pack_shard_set,
)

from .form import Measure

SHARDS, DESTINATIONS = 8_192, 360_000
FEW = 22_500  # where it is readers that are counted
LAYOUT = Layout(SHARDS, tuple(range(1, 9)))
PIECE = 2_000  # rows that the source hands over in one turn
CHANGES = 200  # the mean counts
DIGEST_SECONDS = 30


def rows(size: int) -> Iterator[list[Row]]:
    for first in range(0, size, PIECE):
        yield [
            Row(
                f"s-{number:08x}",
                number,
                0,
                f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
                8080,
                "k",
                "z",
                8.3,
            )
            for number in range(first, min(size, first + PIECE))
        ]


def loaded(size: int) -> tuple[ShardServer, list[float]]:
    """And how long each turn of the load took, in ms."""
    keeper, turns = ShardServer(LAYOUT, 1, random.Random(1)), []
    load = keeper.start_list(0.0, (1, 1))
    for piece in rows(size):
        began = time.perf_counter()
        load.add(piece)
        turns.append((time.perf_counter() - began) * 1e3)
    assert load.seal(0.0)
    done = False
    while not done:
        began = time.perf_counter()
        done = load.step()
        turns.append((time.perf_counter() - began) * 1e3)
    assert load.is_committed
    return keeper, turns


def keeper(size: int) -> Mapping[str, float]:
    gc.collect()
    before, began = resident_memory_mb(), time.process_time()
    kept, turns = loaded(size)
    took = time.process_time() - began
    gc.collect()
    made = time.process_time()
    for _ in rows(size):
        pass
    made = time.process_time() - made  # of that, what making the rows took
    assert kept.status(0.0).endpoints == size
    return {
        "memory_bytes": (resident_memory_mb() - before) * 1e6,
        "load_cpu_ms": (took - made) * 1e3,
        "turn_ms": max(turns),
    }


def audience(kept: ShardServer, readers: int) -> list[bytes]:
    """So many readers that have asked; what each holds."""
    rng, found = random.Random(2), []
    for number in range(readers):
        held = rng.getrandbits(SHARDS) & rng.getrandbits(SHARDS) & rng.getrandbits(SHARDS)
        found.append(pack_shard_set(held, SHARDS))
        answer = kept.handle_request(
            float(number), f"n{number + 100}", ShardRequest(1, LAYOUT, kept.version, found[-1])
        )
        assert isinstance(answer, ShardResponse)
    return found


def change(readers: int) -> Mapping[str, float]:
    kept, _ = loaded(FEW)
    holds = audience(kept, readers)
    now, rng, told = float(readers), random.Random(3), 0
    numbers = [rng.randrange(FEW) for _ in range(CHANGES)]
    began = time.process_time()
    for place, number in enumerate(numbers):
        assert kept.apply_changes(
            now, 2 + place, [Row(f"s-{number:08x}", number, 1, "h", 8080, "k", "z", 8.3)]
        )
    took = time.process_time() - began
    asked = 0
    for raw in holds[:50]:  # all changes at once: bytes of each that the reader holds
        ask = ShardRequest(2, LAYOUT, (1, 1), raw)
        answer = kept.handle_request(now + 100.0, "n100", ask)
        assert isinstance(answer, ShardResponse)
        told += len(encode_message(answer)) + len(encode_message(ask))
        asked += 1
    return {"cpu_us": took / CHANGES * 1e6, "bytes": told / asked / CHANGES}


def taken(kept: ShardServer, shards: int, now: float) -> tuple[ShardClient, float]:
    """A reader that has taken so many, one destination of each in use, and the processor time in s."""
    read = ShardClient("n100", LAYOUT, random.Random(4))
    wanted: set[int] = set()
    for destination in range(DESTINATIONS):
        shard = shard_of(destination, SHARDS)
        if shard not in wanted:
            wanted.add(shard)
            read.request(now, destination, now + 600.0)
            if len(wanted) == shards:
                break
    took = 0.0
    while read.status(now).waiting:
        now += 0.05
        kept.confirm_source(now)
        began = time.process_time()
        read.tick(now, lambda destination: False)
        asks = list(read.outgoing)
        read.outgoing.clear()
        took += time.process_time() - began
        for name, ask in asks:
            word = kept.handle_request(now, "n100", ask)
            began = time.process_time()
            read.on_response(now, name, word)
            read.updates.clear()
            took += time.process_time() - began
    assert read.status(now).shards == shards
    return read, took


def reader(shards: int) -> Mapping[str, float]:
    kept, _ = loaded(DESTINATIONS)
    _, took = taken(kept, shards, 0.0)
    gc.collect()
    tracemalloc.start()  # what the keeper's load has left free would hide it from the process's size
    read, _ = taken(kept, shards, 1e4)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    assert read.cache.resident
    return {"memory_bytes": held, "cpu_ms": took * 1e3}


def digests(readers: int) -> Mapping[str, float]:
    kept, _ = loaded(FEW)
    audience(kept, readers)
    now, size, took = float(readers), 0, 0.0
    for reader_ in kept.subscribers.by_name.values():
        reader_.requested_at = now
    rng = random.Random(5)
    kept.subscribers.digest_queue = sorted(
        (now + DIGEST_INTERVAL_S * rng.random(), slot) for slot in range(readers)
    )
    end = now + DIGEST_SECONDS
    while now < end:
        began = time.process_time()
        found = kept.due_digests(now)
        raw = [encode_message(digest) for _, digest in found]
        took += time.process_time() - began
        size += sum(map(len, raw))
        now = min(max(now + 0.001, kept.next_digest_at()), now + 0.05)
    return {"cpu_ms_s": took * 1e3 / DIGEST_SECONDS, "bytes_s": size / DIGEST_SECONDS}


MEASURES = (
    Measure(
        "shards.keeper",
        "destination",
        (11_250, 22_500, 45_000, 90_000),
        360_000,
        {"memory_bytes": "bytes", "load_cpu_ms": "ms", "turn_ms": "ms"},
        keeper,
        "message_relay/sharded_directory/shard_table.py",
        "8,192 shards; a whole list in pieces of 2,000 rows, its longest turn",
    ),
    Measure(
        "shards.change",
        "reader",
        (200, 400, 800, 1_600),
        3_500,
        {"cpu_us": "us", "bytes": "bytes"},
        change,
        "message_relay/sharded_directory/subscribers.py",
        "one change at a keeper of 22,500 destinations, readers of an eighth of 8,192 shards each; bytes: of "
        "an ask and its answer, for each change",
    ),
    Measure(
        "shards.reader",
        "shard",
        (128, 256, 512, 1_024, 2_048),
        8_192,
        {"memory_bytes": "bytes", "cpu_ms": "ms"},
        reader,
        "message_relay/sharded_directory/shard_cache.py",
        "shards of 44 endpoints; one destination in use in each; without the directory and the decisions",
    ),
    Measure(
        "shards.digests",
        "reader",
        (200, 400, 800, 1_600),
        3_500,
        {"cpu_ms_s": "ms/s", "bytes_s": "bytes/s"},
        digests,
        "message_relay/sharded_directory/subscribers.py",
        "a digest each 3 s, without sockets",
    ),
)
