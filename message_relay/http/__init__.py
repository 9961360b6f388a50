"""HTTP/1.1: clients in, calls out, and the platform's agent."""
