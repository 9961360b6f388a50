"""What each role costs at a given size, worked out from measured slopes: `docs/CAPACITY.md`."""
