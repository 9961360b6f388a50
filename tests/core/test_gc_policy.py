"""When garbage is collected."""

from __future__ import annotations

import gc

from message_relay.gc_policy import CLOSED_CONNECTION_BYTES, ConnectionGarbage


def test_garbage_of_closed_connections_is_collected_before_it_takes_more_than_its_share() -> None:
    """Idle connections that came and went took 7 MB: each closed one is a reference cycle."""

    class Cycle:
        def __init__(self) -> None:
            self.method = self.__init__  # type: ignore[misc]

    garbage = ConnectionGarbage(10 * CLOSED_CONNECTION_BYTES)
    gc.disable()
    try:
        for _ in range(95):
            Cycle()
            garbage.add_connection()
        left = sum(isinstance(each, Cycle) for each in gc.get_objects())
    finally:
        gc.enable()
    assert left <= 10
