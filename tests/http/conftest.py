"""Fixtures of this folder."""

from __future__ import annotations

import pytest

from message_relay.http import connection


@pytest.fixture(autouse=True)
def rest_s(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections need no rest, so that the other conditions of reuse decide (test_second_copies.py)."""
    monkeypatch.setattr(connection, "REST_S", 0.0)
