"""Entry point of `python -m emulator`: experiments, traces and load. Needs the extra `lab`."""

from __future__ import annotations

import sys

if __name__ == "__main__":
    try:
        from .commands import main
    except ModuleNotFoundError as error:
        print(f"emulator: {error.name} is missing: pip install 'message_relay[lab]'", file=sys.stderr)
        sys.exit(2)
    main()
