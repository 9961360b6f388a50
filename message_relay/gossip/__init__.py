"""Instances that know each other: who is there, who is not, and short messages between them.

Off unless the operator's file has `[peers]`; on the operators' platform instances share nothing."""
