"""What each role costs by the size of the fleet: slopes, for `docs/CAPACITY.md`."""
