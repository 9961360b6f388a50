"""The port through which failover plans take part in the agreed rules."""

from __future__ import annotations

from typing import Any, Protocol

from ..core.ports import CallContext
from ..decisions.model import Outcome
from .admin_socket import AdminRequest


class CallObserver(Protocol):
    """Observes requests and calls, and plans by them."""

    def on_request(self, destination: int, class_: str) -> None:
        """Handle that a message was handed in."""

    def on_call_completed(
        self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float
    ) -> None:
        """Handle that a call has ended, or did not come about."""

    def status(self) -> dict[str, Any]:
        """The state of the zones and plans, for people."""

    def plan(self, question: AdminRequest) -> dict[str, Any]:
        """What would be planned. Raises RulesError."""
