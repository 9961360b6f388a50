"""AMQP 0-9-1. Needs the extra `amqp`; imported only where it is on."""
