"""Measurements: `python -m benchmarks.NAME`, `--json` for machines; each prints ratios to a baseline of its
run."""
