"""Measures the cost of the sharded directory for a shard server and a shard client: their decisions, without
sockets.

Rows have the form of a register, with one endpoint for each destination. There are 8,192 shards at every
size, as in the planned deployment. Each client holds a random eighth of them: 1,000 destinations in use lie
in 940 shards.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator, Mapping

from message_relay.process_memory import resident_bytes
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
FEW = 22_500  # destinations when the number of clients varies
LAYOUT = Layout(SHARDS, tuple(range(1, 9)))
PIECE = 2_000  # rows that the source passes on in one turn
CHANGES = 200  # the result is their mean
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


def loaded_server(size: int) -> tuple[ShardServer, list[float]]:
    """Return a server with a loaded list, and the time of each turn of the load in ms."""
    server, turns = ShardServer(LAYOUT, 1, random.Random(1)), []
    load = server.start_list(0.0, (1, 1))
    for piece in rows(size):
        started_at = time.perf_counter()
        load.add(piece)
        turns.append((time.perf_counter() - started_at) * 1e3)
    assert load.seal(0.0)
    done = False
    while not done:
        started_at = time.perf_counter()
        done = load.step()
        turns.append((time.perf_counter() - started_at) * 1e3)
    assert load.is_committed
    return server, turns


def measure_server(size: int) -> Mapping[str, float]:
    gc.collect()
    before, started_at = resident_bytes(), time.process_time()
    server, turns = loaded_server(size)
    elapsed = time.process_time() - started_at
    gc.collect()
    creation = time.process_time()
    for _ in rows(size):
        pass
    creation = time.process_time() - creation  # the part of the time that creates the rows
    assert server.status(0.0).endpoints == size
    return {
        "memory_bytes": resident_bytes() - before,
        "load_cpu_ms": (elapsed - creation) * 1e3,
        "turn_ms": max(turns),
    }


def add_clients(server: ShardServer, clients: int) -> list[bytes]:
    """Send a request from each client. Returns the packed shard set of each."""
    rng, shard_sets = random.Random(2), []
    for number in range(clients):
        shard_set = rng.getrandbits(SHARDS) & rng.getrandbits(SHARDS) & rng.getrandbits(SHARDS)
        shard_sets.append(pack_shard_set(shard_set, SHARDS))
        response = server.handle_request(
            float(number), f"n{number + 100}", ShardRequest(1, LAYOUT, server.version, shard_sets[-1])
        )
        assert isinstance(response, ShardResponse)
    return shard_sets


def change(clients: int) -> Mapping[str, float]:
    server, _ = loaded_server(FEW)
    shard_sets = add_clients(server, clients)
    now, rng, size = float(clients), random.Random(3), 0
    numbers = [rng.randrange(FEW) for _ in range(CHANGES)]
    started_at = time.process_time()
    for index, number in enumerate(numbers):
        assert server.apply_changes(
            now, 2 + index, [Row(f"s-{number:08x}", number, 1, "h", 8080, "k", "z", 8.3)]
        )
    elapsed = time.process_time() - started_at
    requests = 0
    for raw in shard_sets[:50]:  # all changes at once: the bytes of those that the client holds
        request = ShardRequest(2, LAYOUT, (1, 1), raw)
        response = server.handle_request(now + 100.0, "n100", request)
        assert isinstance(response, ShardResponse)
        size += len(encode_message(response)) + len(encode_message(request))
        requests += 1
    return {"cpu_us": elapsed / CHANGES * 1e6, "bytes": size / requests / CHANGES}


def fetched_client(server: ShardServer, shards: int, now: float) -> tuple[ShardClient, float]:
    """Return a client that has fetched `shards` shards, with one destination in use in each.

    The second value is the processor time in s.
    """
    client = ShardClient("n100", LAYOUT, random.Random(4))
    selected: set[int] = set()
    for destination in range(DESTINATIONS):
        shard = shard_of(destination, SHARDS)
        if shard not in selected:
            selected.add(shard)
            client.request(now, destination, now + 600.0)
            if len(selected) == shards:
                break
    elapsed = 0.0
    while client.status(now).waiting:
        now += 0.05
        server.confirm_source(now)
        started_at = time.process_time()
        client.tick(now, lambda destination: False)
        requests = list(client.outgoing)
        client.outgoing.clear()
        elapsed += time.process_time() - started_at
        for name, request in requests:
            response = server.handle_request(now, "n100", request)
            started_at = time.process_time()
            client.on_response(now, name, response)
            client.updates.clear()
            elapsed += time.process_time() - started_at
    assert client.status(now).shards == shards
    return client, elapsed


def measure_client(shards: int) -> Mapping[str, float]:
    server, _ = loaded_server(DESTINATIONS)
    _, elapsed = fetched_client(server, shards, 0.0)
    gc.collect()
    tracemalloc.start()  # memory that the server's load freed would hide it in the size of the process
    client, _ = fetched_client(server, shards, 1e4)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    assert client.cache.resident
    return {"memory_bytes": memory, "cpu_ms": elapsed * 1e3}


def digests(clients: int) -> Mapping[str, float]:
    server, _ = loaded_server(FEW)
    add_clients(server, clients)
    now, size, elapsed = float(clients), 0, 0.0
    for subscriber in server.subscribers.by_name.values():
        subscriber.requested_at = now
    rng = random.Random(5)
    server.subscribers.digest_queue = sorted(
        (now + DIGEST_INTERVAL_S * rng.random(), slot) for slot in range(clients)
    )
    end = now + DIGEST_SECONDS
    while now < end:
        started_at = time.process_time()
        due = server.due_digests(now)
        encoded = [encode_message(digest) for _, digest in due]
        elapsed += time.process_time() - started_at
        size += sum(map(len, encoded))
        now = min(max(now + 0.001, server.next_digest_at()), now + 0.05)
    return {"cpu_ms_s": elapsed * 1e3 / DIGEST_SECONDS, "bytes_s": size / DIGEST_SECONDS}


MEASURES = (
    Measure(
        "shards.keeper",
        "destination",
        (11_250, 22_500, 45_000, 90_000),
        360_000,
        {"memory_bytes": "bytes", "load_cpu_ms": "ms", "turn_ms": "ms"},
        measure_server,
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
        measure_client,
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
