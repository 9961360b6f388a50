"""Message processing: ports, acceptance, attempts, final outcomes, and the relay that connects them."""
