"""The life of a message: ports, acceptance, attempts, final outcomes, and the relay that joins them."""
