"""HTTP/1.1: the intake for clients, the transport to endpoints, and the client of the platform's agent."""
