"""Computes the cost of each role at a given size from measured slopes, for `docs/CAPACITY.md`."""
