"""The child process of `emulator.engines.PeerEngine`, run with another version's `message_relay` on the path.

Reads requests from standard input and writes responses to standard output. Each is a frame: a u32 length,
then msgpack. A request is [operation, arguments...], a response {"value"} or {"error"}. Imports nothing from
this repository but engines.py beside it, and from the other version only its public interface."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from typing import Any

import msgspec


def engines() -> Any:
    """Loads emulator/engines.py by its file path, since its folder is not on this process's import path."""
    spec = importlib.util.spec_from_file_location("engines", Path(__file__).with_name("engines.py"))
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["engines"] = module
    spec.loader.exec_module(module)
    return module


def respond(engine: Any, parts: Any, request: list[Any]) -> Any:
    vocabulary = parts.VOCABULARY
    operation, *args = request
    if operation == "constants":
        parts.set_constants(args[0].items())
        return True
    if operation == "start":
        number, settings, seed, fleet = args
        engine.start(number, settings, seed, None if fleet is None else parts.unpacked(fleet, vocabulary))
        return True
    if operation == "handle":
        number, now, events = args
        return [
            parts.packed(each)
            for each in engine.handle(number, now, [parts.unpacked(each, vocabulary) for each in events])
        ]
    if operation == "turned_away":
        number, now, message, pending_count = args
        return engine.turned_away(number, now, parts.unpacked(message, vocabulary), pending_count)
    if operation == "learned":
        return [parts.packed(each) for each in engine.learned(*args)]
    return getattr(engine, operation)(*args)


def main() -> None:
    parts = engines()
    engine, source, sink = parts.LocalEngine(), sys.stdin.buffer, sys.stdout.buffer
    while len(head := source.read(parts.SIZE.size)) == parts.SIZE.size:
        request = msgspec.msgpack.decode(source.read(parts.SIZE.unpack(head)[0]))
        try:
            response: dict[str, Any] = {"value": respond(engine, parts, request)}
        except Exception as error:
            response = {"error": f"{type(error).__name__}: {error}"}
        data = msgspec.msgpack.encode(response)
        sink.write(parts.SIZE.pack(len(data)) + data)
        sink.flush()


if __name__ == "__main__":
    main()
