"""Headers as they are read on both sides."""

from __future__ import annotations

from collections.abc import Iterable


def headers_by_name(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Headers by their names in lower case; HTTP headers are Latin-1."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in headers}
