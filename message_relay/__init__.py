"""A message relay that journals messages and delivers them by calls to endpoints it does not control."""

from .decisions.model import Settings
from .decisions.scheduler import DeliveryScheduler

__all__ = ["DeliveryScheduler", "Settings"]
