"""Agreed rules without processes: a model of their leases explored whole, and schedules by seed."""
