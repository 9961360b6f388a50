"""Checks of the agreed rules without processes: an exhaustive model of leases, and seeded schedules."""
