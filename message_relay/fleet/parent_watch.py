"""Parent watch: stops an instance when its supervisor has ended.

Only the supervisor holds the write end of a pipe, which the system closes however the supervisor ends,
including by SIGKILL. A thread of the instance waits for that, so that it works even if the event loop hangs.
It requests a graceful shutdown and kills the process if that does not complete.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from collections.abc import MutableMapping

LIFELINE_VARIABLE = "RELAY_LIFELINE"  # number of the descriptor
STOP_S = 6.0  # a graceful shutdown takes at most 3.5 s


def watch_parent(env: MutableMapping[str, str] = os.environ) -> None:
    """Starts the watch if the environment names a descriptor, and removes the variable from the environment.

    Raises ValueError if the variable is not a descriptor number.
    """
    text = env.pop(LIFELINE_VARIABLE, "")
    if not text:
        return
    if not text.isdecimal():
        raise ValueError(f"{LIFELINE_VARIABLE}: {text!r} must be a descriptor's number")
    os.set_inheritable(int(text), False)
    threading.Thread(target=_stop_at_parent_exit, args=(int(text),), name="lifeline", daemon=True).start()


def _stop_at_parent_exit(descriptor: int) -> None:
    try:
        while os.read(descriptor, 64):
            pass
    except OSError:
        pass  # treated as the end of the pipe
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(STOP_S)
    os.kill(os.getpid(), signal.SIGKILL)
