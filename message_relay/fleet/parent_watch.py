"""Parent watch: no instance outlives its supervisor.

The supervisor alone keeps one end of a pipe open; however it ends, SIGKILL included, the system closes it.
A thread of the instance waits for that, so that it works for a hanging loop too. It requests a graceful
shutdown and kills the process if none follows.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from collections.abc import MutableMapping

LIFELINE_VARIABLE = "RELAY_LIFELINE"  # names the descriptor
STOP_S = 6.0  # a graceful shutdown takes 3.5 s at the most


def watch_parent(env: MutableMapping[str, str] = os.environ) -> None:
    """Starts the watch if the environment names a descriptor, and removes the variable from the environment.

    Raises ValueError if the variable is no descriptor's number.
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
        pass  # as good as its end
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(STOP_S)
    os.kill(os.getpid(), signal.SIGKILL)
