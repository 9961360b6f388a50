"""Entry point of one instance: selects the kind of process and returns its exit code."""

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

OPERATOR_FILE_VARIABLE = "RELAY_OPERATOR"  # path of the operator's file, if there is one
EXIT_CONFIG_REJECTED = 2  # the configuration cannot be used
EXIT_RESOURCE_UNAVAILABLE = 1  # a file, folder or address is unavailable


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
    # Until the loop installs its own handler: the default action would terminate the process.
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
