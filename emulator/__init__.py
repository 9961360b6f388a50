"""The partners modelled without I/O. Never imported by linnetstile; `standins` puts it behind sockets."""
