"""Divides the memory limit of a process among everything that peers can make it hold. Does no I/O.

What the program itself takes comes off first. The rest is divided into named shares, each of which bounds one
kind of data before it is read or stored:

| share | bounds |
| --- | --- |
| files | the journal's files, which count as memory on the platform |
| clients | client connections, idle or not |
| input | unfinished requests: heads, parsers and bodies |
| responses | responses of endpoints that are still arriving |
| lists | the endpoint list and its decoding |
| messages | known messages, pending and finished, with their bodies |
"""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
WARM_UP_BYTES = (
    2_500_000  # growth of the program itself once it serves: lazily created objects, fragmentation
)
MIN_SPARE_BYTES = 1_500_000  # with less to divide, no share would be usable
CLIENT_BYTES = 3_000  # an open client connection: socket, transport, protocol, one response
RECEIVING_BYTES = 40_000  # a connection to an endpoint with a response that is arriving: head, read, parser
ENDPOINT_BYTES = 2_200  # a listed endpoint, while its list is decoded
LISTED_ENDPOINT_JSON_BYTES = 160
MAX_LIST_BYTES = 4 << 20  # JSON of about 26,000 endpoints, which block the loop for half a second

FILES_DIVISOR = 5
CLIENTS_DIVISOR = 3
INPUT_DIVISOR = 8
LISTS_DIVISOR = 32  # reserved; a longer list takes from the messages
MAX_LIST_DIVISOR = 3
RECEIVING_DIVISOR = 16
MAX_INPUT_BYTES = 16 << 20  # some hundred full requests at the same time


class InsufficientMemoryError(ValueError):
    """The memory limit leaves too little beside the program itself."""


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The shares of one process, in bytes."""

    limit_bytes: int
    program_bytes: int  # including its warm-up
    files_bytes: int
    max_clients: int
    input_bytes: int
    max_receiving: int  # connections to endpoints whose response bodies are still arriving
    max_list_bytes: int  # of the list's JSON
    lists_bytes: int
    messages_bytes: int

    def messages_bytes_beside(self, endpoint_count: int) -> int:
        """Returns the share of messages while so many endpoints are listed."""
        return self.messages_bytes - max(0, endpoint_count * ENDPOINT_BYTES - self.lists_bytes)


def plan_memory(
    limit_mb: float, used_bytes: int, disk_bytes: int, max_clients: int, files_count: bool
) -> MemoryPlan:
    """Divides the limit. Raises InsufficientMemoryError if too little is left.

    `used_bytes`: what the process takes before it has received anything. `max_clients`: the connections that
    the descriptors allow. `files_count`: whether files count as memory.
    """
    limit_bytes = int(limit_mb * BYTES_PER_MB)
    program_bytes = used_bytes + WARM_UP_BYTES
    spare_bytes = limit_bytes - program_bytes
    if spare_bytes < MIN_SPARE_BYTES:
        needed_mb = (program_bytes + MIN_SPARE_BYTES) / BYTES_PER_MB
        raise InsufficientMemoryError(
            f"limits.memory_mb is {limit_mb:g}: the program needs about {needed_mb:.0f}"
        )
    files_bytes = min(disk_bytes, spare_bytes // FILES_DIVISOR) if files_count else disk_bytes
    max_clients = max(1, min(max_clients, spare_bytes // CLIENTS_DIVISOR // CLIENT_BYTES))
    input_bytes = min(MAX_INPUT_BYTES, spare_bytes // INPUT_DIVISOR)
    max_receiving = max(1, spare_bytes // RECEIVING_DIVISOR // RECEIVING_BYTES)
    max_list_share = spare_bytes // MAX_LIST_DIVISOR
    max_list_bytes = min(MAX_LIST_BYTES, max_list_share * LISTED_ENDPOINT_JSON_BYTES // ENDPOINT_BYTES)
    lists_bytes = spare_bytes // LISTS_DIVISOR
    others = max_clients * CLIENT_BYTES + input_bytes + spare_bytes // RECEIVING_DIVISOR + lists_bytes
    others += files_bytes if files_count else 0
    return MemoryPlan(
        limit_bytes,
        program_bytes,
        files_bytes,
        max_clients,
        input_bytes,
        max_receiving,
        max_list_bytes,
        lists_bytes,
        spare_bytes - others,
    )
