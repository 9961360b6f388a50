"""Time and size limits for client connections.

Promised to the platform's clients: an idle connection stays open for 2 s, and a request is answered, or its
connection closed, within 3 s of connecting. Clients wait 0.4 s for a response. The limits are read as
attributes of this module on each use, so that tests can shorten them.
"""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 100
MAX_CHUNKS = 1024  # of one body
READ_BYTES = 16 * 1024  # one read; all connections share the buffer
MAX_RESPONSE_TEXT = 500  # characters
MAX_DISCARDED_BYTES = 64 << 20  # input discarded from one connection after its last response

# For a new connection that has sent no byte; connections without an open request are promised 2 s.
SILENT_TIMEOUT_S = 2.2
# From connecting until the first request is complete. A response or close is promised within 3 s, which must
# include a sweep interval and a delayed loop iteration.
FIRST_REQUEST_TIMEOUT_S = 2.5
# From the first byte of a later request until it is complete; clients wait 0.4 s.
REQUEST_TIMEOUT_S = 2.0
# Between two requests, while few connections are idle.
IDLE_TIMEOUT_S = 10.0
# Between two requests, if many connections are idle, others wait to be accepted, or the process is stopping:
# clients are promised 2 s. After SIGTERM idle connections are closed after this time and the linger time,
# before the process ends.
MIN_IDLE_S = 2.05
# A client's first bytes arrive within this time after it connects.
FIRST_BYTES_S = 0.25
# After the last response; closing with unread bytes would reset the connection and lose that response.
LINGER_S = 1.0
# The same after a body that is far too long.
OVERSIZED_LINGER_S = 4.0
# From the response to a request that exceeds a limit until the end of its connection.
END_DELAY_S = 1.0
# Maximum wait of a response for its journal sync; clients wait 0.4 s.
DURABILITY_TIMEOUT_S = 5.0
# Retry-After of a client that is turned away because others use the memory for unfinished requests.
MEMORY_RETRY_AFTER_S = 0.5
# An unfinished request of this age may be ended to make room for others. Clients wait 0.4 s.
MIN_RECEIVE_S = 0.5
# Pause in reading after an invalid request.
PENALTY_S = 0.1
# Interval between two checks for expired deadlines.
SWEEP_INTERVAL_S = 0.1
