"""Models of partners, clients and a fleet of relays, for experiments in virtual time or with real relay
processes.

message_relay never imports this package. `fakes` serves its model of a partner over sockets."""
