"""Streaming parser of an endpoint list in the platform's JSON form. No I/O.

The list is one JSON object whose field `instances` is an array of entries. It is parsed in pieces as they
arrive, so that a long list never blocks the event loop for long. Between two reads the parser is in one of
these states:

    START     before the object's opening brace
    FIELD     before the name of a field, or the brace that closes an empty object
    ENTRIES   within the array of entries
    AFTER     after a field's value
    END       after the object
"""

from __future__ import annotations

import codecs
import enum
import json
from json.decoder import JSONDecodeError
from typing import Any

from .errors import SourceError

MAX_LIST_BYTES = 256 << 20  # of one list: five times what 360,000 destinations need
MAX_ITEM_BYTES = 64 << 10  # of one entry or other field; a usual entry has 150
WHITESPACE = " \t\r\n"
ENTRIES_FIELD = "instances"
_INCOMPLETE = object()  # returned for a value that has not arrived completely


class _State(enum.Enum):
    START = enum.auto()
    FIELD = enum.auto()
    ENTRIES = enum.auto()
    AFTER = enum.auto()
    END = enum.auto()


_EXPECTED = {_State.START: "{", _State.FIELD: '"', _State.AFTER: ",}"}


class ListSplitter:
    """Splits a list into its entries as it arrives; `fields` has the object's other fields.

    Methods raise SourceError if the input is not a list.
    """

    def __init__(self) -> None:
        self.buffer = ""
        self.position = 0  # of the next character in the buffer
        self.decoder = codecs.getincrementaldecoder("utf-8")()
        self.json_decoder = json.JSONDecoder()
        self.fields: dict[str, Any] = {}
        self.entry_count: int | None = None  # entries so far; None before their array
        self.state = _State.START
        self.received_bytes = 0

    def feed(self, data: bytes) -> None:
        """Add a piece of the list."""
        self.received_bytes += len(data)
        if self.received_bytes > MAX_LIST_BYTES:
            raise SourceError(f"the list is longer than {MAX_LIST_BYTES} bytes")
        try:
            self.buffer = self.buffer[self.position :] + self.decoder.decode(data)
        except UnicodeDecodeError as error:
            raise SourceError(f"the list is not UTF-8: {error.reason}") from error
        self.position = 0

    def read_entries(self, limit: int) -> list[Any]:
        """Return up to `limit` entries; fewer if no more have arrived completely."""
        entries: list[Any] = []
        while len(entries) < limit and self.state is not _State.END:
            start = self.position
            has_advanced = (
                self._read_entry(entries) if self.state is _State.ENTRIES else self._read_beside_entries()
            )
            if not has_advanced:
                self.position = start
                if len(self.buffer) - self.position > MAX_ITEM_BYTES:
                    raise SourceError(f"an entry can't be read within {MAX_ITEM_BYTES} characters")
                break
        return entries

    def check_complete(self) -> None:
        """Raise SourceError if the input has ended within the list."""
        if self.state is not _State.END or self.entry_count is None:
            raise SourceError("the list is incomplete")

    def _read_entry(self, entries: list[Any]) -> bool:
        """Read one entry, or the end of the array; return False if it is incomplete."""
        character = self._next_character()
        if character is None:
            return False
        assert self.entry_count is not None
        if character == "," and self.entry_count:
            self.position += 1
            character = self._next_character()
            if character is None:
                return False
        elif character != "]" and self.entry_count:
            raise SourceError("the list is not JSON: a comma is missing between entries")
        if character == "]":
            self.position += 1
            self.state = _State.AFTER
            return True
        value = self._read_value()
        if value is _INCOMPLETE:
            return False
        entries.append(value)
        self.entry_count += 1
        return True

    def _read_beside_entries(self) -> bool:
        """Read a brace, a comma or a field; return False if it is incomplete."""
        character = self._next_character()
        if character is None:
            return False
        expected = _EXPECTED[self.state]
        is_empty_object = self.state is _State.FIELD and character == "}" and not self.fields
        if character not in expected and not is_empty_object:
            raise SourceError(f"the list is not JSON: {character!r} where {expected!r} is expected")
        if self.state is _State.FIELD:
            return self._read_field()
        self.position += 1
        self.state = _State.END if character == "}" else _State.FIELD
        return True

    def _read_field(self) -> bool:
        name = self._read_value()
        if name is _INCOMPLETE:
            return False
        separator = self._next_character()
        if separator is None:
            return False
        if separator != ":":
            raise SourceError("the list is not JSON: a name without a value")
        self.position += 1
        character = self._next_character()
        if character is None:
            return False
        if name == ENTRIES_FIELD:
            if character != "[":
                raise SourceError("malformed list: instances is not an array")
            self.position += 1
            self.state = _State.ENTRIES
            self.entry_count = 0
            return True
        value = self._read_value()
        if value is _INCOMPLETE:
            return False
        self.state = _State.AFTER
        self.fields[str(name)] = value
        return True

    def _next_character(self) -> str | None:
        """Skip whitespace and peek at the next character; None at the end of the buffer."""
        while self.position < len(self.buffer) and self.buffer[self.position] in WHITESPACE:
            self.position += 1
        return self.buffer[self.position] if self.position < len(self.buffer) else None

    def _read_value(self) -> Any:
        """Read a value, or return _INCOMPLETE.

        A value is complete only if a character follows it: more digits of a number may arrive.
        """
        try:
            value, end = self.json_decoder.raw_decode(self.buffer, self.position)
        except JSONDecodeError:
            return _INCOMPLETE
        except RecursionError as error:
            raise SourceError("the list is nested too deeply") from error
        if end >= len(self.buffer):
            return _INCOMPLETE
        self.position = end
        return value
