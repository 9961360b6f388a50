"""Measures the cost of each role at several fleet sizes and fits slopes for `docs/CAPACITY.md`."""
