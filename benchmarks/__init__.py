"""Benchmarks, run with `python -m benchmarks.NAME`; `--json` prints machine-readable rows.

Each prints ratios to a baseline that is measured in the same run."""
