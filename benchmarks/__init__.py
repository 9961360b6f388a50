"""Measurements: `python -m benchmarks.NAME`, `--json` for machines. Each prints ratios to a baseline of its run."""
