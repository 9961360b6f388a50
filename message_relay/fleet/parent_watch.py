"""No instance outlives its supervisor: the end of a pipe that only the supervisor holds open.

However the supervisor ends, SIGKILL included, the system closes its end. A thread waits for that, so that
also an instance whose loop hangs hears of it; it asks for an orderly stop, and ends the process if none
comes."""

from __future__ import annotations

import os
import signal
import threading
import time
from collections.abc import MutableMapping

LIFELINE_VARIABLE = "RELAY_LIFELINE"  # the descriptor
STOP_S = 6.0  # an orderly stop takes 3.5 s at the most


def watch_parent(env: MutableMapping[str, str] = os.environ) -> None:
    """Follows the lifeline that the environment names, if any; removes it, so that no child follows it.
    ValueError if it names no descriptor."""
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
