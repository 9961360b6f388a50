"""A message's life between the fronts, the journal and the decisions; see seams.py for what plugs in."""
