"""Life as a daemon: the service manager's side of starting, reloading, watching and stopping."""
