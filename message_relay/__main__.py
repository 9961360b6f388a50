"""`python -m message_relay` runs one instance, configured by the RELAY_ variables.

With arguments it runs a command of `message_relay.cli`.
"""

from __future__ import annotations

import os
import sys


def main() -> int:
    """Runs an instance or a command, and returns the exit code."""
    if len(sys.argv) == 1:  # the platform's way to start it; does not import the command line
        if not os.environ.get("RELAY_OPERATOR"):
            # Only brokers use TLS. Without the module, asyncio saves 5 MB of the memory limit.
            sys.modules["ssl"] = None  # type: ignore[assignment]
        from .process import main as run

        return run()
    try:
        from .cli.main import main as command
    except ImportError as error:
        print(f"linnetstile: commands need the extra 'ops' ({error}); without one it runs", file=sys.stderr)
        return 2
    return command()


if __name__ == "__main__":
    sys.exit(main())
