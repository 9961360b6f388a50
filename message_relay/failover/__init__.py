"""Failover between zones and regions: observations, zone health, plans, and the rules that carry them out."""
