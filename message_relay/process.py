"""The entry point of one instance: which kind of process it is, and its exit codes."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from .config import ConfigError, load
from .fleet.socket_activation import SocketActivationError
from .fleet.systemd_notify import NotifyError, SystemdNotifier
from .relay_process import ProcessSignals, RelayProcess
from .store.errors import DirectoryLockedError, UnsupportedFormatError
from .structured_logging import configure_plain_logging

OPERATOR_FILE_VARIABLE = "RELAY_OPERATOR"  # names the operator's file, where there is one
EXIT_CONFIG_REJECTED = 2  # the configuration cannot be used
EXIT_RESOURCE_UNAVAILABLE = 1  # a file, a folder or an address cannot be had


async def serve() -> None:
    """Runs one instance, with the operator's file if the environment names one."""
    signals = ProcessSignals()
    notifier = SystemdNotifier.from_environment()
    if os.environ.get(OPERATOR_FILE_VARIABLE):
        from .fleet.instance import operated_process

        await operated_process(signals, notifier).run()
    else:
        await RelayProcess(load(), signals, notifier).run()


def main() -> int:
    """Runs one instance until it is stopped, and returns the exit code (docs/daemon.md)."""
    # Guards against the default action, which ends the process, until the loop has a handler of its own.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_plain_logging()
    try:
        asyncio.run(serve())
    except (ConfigError, SocketActivationError, NotifyError, UnsupportedFormatError) as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return EXIT_CONFIG_REJECTED
    except (OSError, DirectoryLockedError) as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return EXIT_RESOURCE_UNAVAILABLE
    finally:
        logging.shutdown()
    return 0
