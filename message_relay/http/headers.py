"""Header decoding for both requests and responses."""

from __future__ import annotations

from collections.abc import Iterable


def headers_by_name(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers by lower-case name, decoded as Latin-1."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in headers}
