"""Exceptions of the HTTP package."""

from __future__ import annotations


class HttpError(Exception):
    """Base class of the exceptions that this package defines."""


class ConnectionLostError(HttpError):
    """The connection cannot be used or broke, or the peer does not speak HTTP."""


class AgentError(HttpError):
    """The platform's agent sent no response in time, or an unusable one."""
