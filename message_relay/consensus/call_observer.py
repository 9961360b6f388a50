"""Interface between the agreed rules and failover planning."""

from __future__ import annotations

from typing import Any, Protocol

from ..core.ports import CallContext
from ..decisions.model import Outcome
from .admin_socket import AdminRequest


class CallObserver(Protocol):
    """Observes requests and calls, and plans failover from them."""

    def on_request(self, destination: int, class_: str) -> None:
        """Handle the submission of a message."""

    def on_call_completed(
        self, call: CallContext, outcome: Outcome, latency_ms: float, wait_ms: float
    ) -> None:
        """Handle a call that has ended, or was not made after all."""

    def status(self) -> dict[str, Any]:
        """Return the state of the zones and plans, for display."""

    def plan(self, request: AdminRequest) -> dict[str, Any]:
        """Return the plan that would be made now. Raises RulesError."""
