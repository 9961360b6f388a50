"""Delivery to brokers and intake from queues over AMQP 0-9-1.

Needs the extra `amqp`. All modules but `settings` are imported only if brokers are configured.
"""
