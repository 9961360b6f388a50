"""Gossip between instances: SWIM membership, and short messages from one instance to another.

Off unless the operator's file has `[peers]`; on the operators' platform instances share no state.
"""
