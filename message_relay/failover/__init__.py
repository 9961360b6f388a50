"""Failover between zones and regions, decided in common: evidence, verdicts, plans and steps."""
