"""The names of the figures that experiments compare, each with its meaning and whether a higher value is
better."""

from __future__ import annotations

MEASURES = {  # name -> (meaning, True if a higher value is better)
    "service": ("worth answered over worth asked", True),
    "delivered": ("share of the messages that were delivered", True),
    "in_aim": ("share of the messages that were delivered within their aim", True),
    "worst_10s": ("service of the worst 10 s", True),
    "p50_ms": ("median time to delivery", False),
    "p99_ms": ("99th percentile of the time to delivery", False),
    "over_1s": ("most calls in 1 s over what the partner could do in it", False),
    "over_cold": ("most calls in 1.5 s of a cold partner over what it could do", False),
    "tries_while_out": ("calls at a partner that was down", False),
    "refused": ("times that a relay's hold was full", False),
    "calls": ("calls a message that was asked", False),
    "unsafe_failed": ("share of the messages that may not be repeated and failed", False),
    "falls": ("times that a partner collapsed", False),
}
