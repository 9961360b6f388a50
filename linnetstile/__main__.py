"""The real relay: `python -m linnetstile`, configured by the RELAY_ variables; SIGHUP reads them anew."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

from .assembly import assemble
from .config import ConfigError, load
from .core.host import Host
from .fleet.handover import HandoverError, handed_over
from .fleet.notify import Notifier, NotifyError
from .garbage import tend
from .store.lock import FolderBusy

log = logging.getLogger(__name__)


async def serve() -> None:
    stopping, changed = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, changed.set)  # before the file is read: no change is missed
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    notifier = Notifier.of()
    built = assemble(load(), handed_over())
    host = built.host
    notifier.start()
    await built.start()
    notifier.ready()
    logging.info("%s serves on %s:%d", host.config.name, *host.config.listen)
    host.tasks.start(follow(host, changed, notifier))
    host.tasks.start(tend(lambda: len(host.messages.held)))
    await stopping.wait()
    notifier.stopping()
    try:
        await host.stop()
    finally:
        notifier.close()


async def follow(host: Host, changed: asyncio.Event, notifier: Notifier) -> None:
    """Takes over what a replaced configuration says, also while the relay is stopping."""
    while True:
        await changed.wait()
        changed.clear()
        notifier.reloading()
        try:
            host.reload(load())
        except ConfigError as error:
            log.error("the new configuration is passed over: %s", error)
            notifier.status(f"the new configuration is passed over: {error}")
        notifier.ready()


def main() -> int:
    # Guards against the default action, which ends the process, until the loop has a handler of its own.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        asyncio.run(serve())
    except (ConfigError, HandoverError, NotifyError) as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return 2
    except (OSError, FolderBusy) as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
