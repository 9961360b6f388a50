"""Endpoint discovery: merging the reports of several sources, and scheduling polls of the register."""
