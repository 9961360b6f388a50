"""Running relay processes as a service: operator's file, service manager, supervisor and status reports."""
