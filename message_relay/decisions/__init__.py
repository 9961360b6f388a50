"""Decisions of a relay: `scheduler.DeliveryScheduler` gets events and returns actions. No I/O, no clock."""
