"""The relay on real sockets. Every decision is left to `linnetstile.control.Relay`."""
