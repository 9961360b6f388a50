"""Time and size limits for connections of clients.

The platform's clients may rely on these: an idle connection stays open for 2 s, a request is answered or its
connection ended within 3 s of connecting, and a client gives up on an answer after 0.4 s. The limits are read
as attributes of this module each time, so that tests can shorten them.
"""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_DISCARDED_BYTES = 64 << 20  # read and thrown away from one connection after its last response

# A new connection without a byte received; one with no open request is promised 2 s.
SILENT_TIMEOUT_S = 2.2
# From connecting until the first request is complete; a response or an end is due within 3 s, and a sweep and
# a late turn of the loop have to fit in.
FIRST_REQUEST_TIMEOUT_S = 2.5
# From the first byte of a later request until it is complete; its client gives up after 0.4 s.
REQUEST_TIMEOUT_S = 2.0
# Between two requests, while few connections are idle.
IDLE_TIMEOUT_S = 10.0
# Between two requests, when many are idle, others wait for a place, or the process ends: clients are promised
# 2 s. So an idle connection has ended 2 s and its lingering after SIGTERM, before the process does.
MIN_IDLE_S = 2.05
# The first bytes of a client follow its connection within this time.
FIRST_BYTES_S = 0.25
# After the last response: closing on unread bytes would reset the connection and lose that response.
LINGER_S = 1.0
# The same after a body that is far too long.
OVERSIZED_LINGER_S = 4.0
# A response waits no longer than this for its journal sync; its client gives up after 0.4 s.
DURABILITY_TIMEOUT_S = 5.0
# Reading pauses for this time after an invalid request.
PENALTY_S = 0.1
# Interval between two checks for expired deadlines.
SWEEP_INTERVAL_S = 0.1
