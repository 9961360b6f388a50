"""Exceptions of the HTTP package, under one base."""

from __future__ import annotations


class HttpError(Exception):
    """Base of all errors that this package raises on its own account."""


class ConnectionLostError(HttpError):
    """The connection cannot be used, or broke, or the other side does not speak HTTP."""


class AgentError(HttpError):
    """The platform's agent sent no answer in time, or none that can be used."""
