"""linnetstile: the decisions of a relay that hands messages on to destinations it does not control."""

from .decisions.model import Settings
from .decisions.scheduler import DeliveryScheduler

__all__ = ["DeliveryScheduler", "Settings"]
