"""The partners modelled without I/O. Never imported by message_relay; `fakes` puts it behind sockets."""
