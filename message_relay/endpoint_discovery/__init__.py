"""Endpoint discovery: merges the reports of several sources, and schedules polls of the register."""
