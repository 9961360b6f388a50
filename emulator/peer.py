"""The other side of `emulator.engines.Beside`: run with another version's `message_relay` on the path.

Frames on standard input and output: u32 length, msgpack [what, arguments] and {"value"} or {"error"}. Takes
from this repository nothing but the file beside it, and from the other one its public interface."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from typing import Any

import msgspec


def engines() -> Any:
    """emulator/engines.py by its path: its folder is not on this process's path."""
    spec = importlib.util.spec_from_file_location("engines", Path(__file__).with_name("engines.py"))
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["engines"] = module
    spec.loader.exec_module(module)
    return module


def answer(engine: Any, parts: Any, told: list[Any]) -> Any:
    vocabulary = parts.VOCABULARY
    what, *args = told
    if what == "constants":
        parts.set_constants(args[0].items())
        return True
    if what == "start":
        number, settings, seed, fleet = args
        engine.start(number, settings, seed, None if fleet is None else parts.unpacked(fleet, vocabulary))
        return True
    if what == "handle":
        number, now, events = args
        return [
            parts.packed(each)
            for each in engine.handle(number, now, [parts.unpacked(each, vocabulary) for each in events])
        ]
    if what == "turned_away":
        number, now, message, holding = args
        return engine.turned_away(number, now, parts.unpacked(message, vocabulary), holding)
    if what == "learned":
        return [parts.packed(each) for each in engine.learned(*args)]
    return getattr(engine, what)(*args)


def main() -> None:
    parts = engines()
    engine, source, sink = parts.Here(), sys.stdin.buffer, sys.stdout.buffer
    while len(head := source.read(parts.SIZE.size)) == parts.SIZE.size:
        told = msgspec.msgpack.decode(source.read(parts.SIZE.unpack(head)[0]))
        try:
            out: dict[str, Any] = {"value": answer(engine, parts, told)}
        except Exception as error:
            out = {"error": f"{type(error).__name__}: {error}"}
        data = msgspec.msgpack.encode(out)
        sink.write(parts.SIZE.pack(len(data)) + data)
        sink.flush()


if __name__ == "__main__":
    main()
