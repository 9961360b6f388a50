"""Versioned rules on which the instances agree (docs/accord.md).

Off unless the operator's file has `[accord]`: without it nothing of the package is imported.
"""
