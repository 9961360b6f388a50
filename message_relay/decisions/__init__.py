"""Decisions of a relay: `scheduler.DeliveryScheduler` maps events to actions without I/O or clock."""
