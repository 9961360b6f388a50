"""HTTP/1.1: client intake, transport to endpoints, and client of the platform's agent."""
