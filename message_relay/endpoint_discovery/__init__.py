"""Endpoints that several sources tell of: one rule where they disagree."""
