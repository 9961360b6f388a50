"""Versions of rules on which the instances agree (docs/accord.md). Off unless the operator's file has
`[accord]`: nothing of it is imported then."""
