"""Prometheus metrics of all daemons.

Labels have few values by design (reasons, outcomes, priority classes), never
request ids or teams: 1,400 teams as label values would cost each process
megabytes.
"""

from prometheus_client import Counter, Gauge, Histogram

FRAMES_RECEIVED = Counter(
    "apricottrestle_frames_received", "Frames received from own processes"
)
FRAMES_DROPPED = Counter(
    "apricottrestle_frames_dropped", "Malformed or unknown frames dropped"
)
FRAMES_UNSENT = Counter(
    "apricottrestle_frames_unsent", "Frames not sent: queue full or peer gone"
)
FRAME_BYTES_RECEIVED = Counter(
    "apricottrestle_frame_bytes_received", "Bytes of frames received"
)
FRAME_BYTES_SENT = Counter(
    "apricottrestle_frame_bytes_sent", "Bytes of frames sent"
)
CONNECTIONS_REFUSED = Counter(
    "apricottrestle_connections_refused",
    "Connections refused: not the fleet's key",
)
REQUESTS = Counter(
    "apricottrestle_requests", "Requests by outcome", ["priority", "outcome"]
)
REFUSALS = Counter(
    "apricottrestle_refusals", "Requests refused before they ran", ["reason"]
)
RETRIES = Counter(
    "apricottrestle_retries", "Attempts after the first", ["reason"]
)
FIRST_TOKEN_SECONDS = Histogram(
    "apricottrestle_first_token_seconds",
    "Time to first token as seen by the entry",
    ["priority"],
    buckets=(0.05, 0.1, 0.2, 0.4, 0.73, 1, 2, 5, 10, 30, 120),
)
QUEUED_TOKENS = Gauge(
    "apricottrestle_queued_tokens", "Prompt tokens queued", ["priority"]
)
CONFIG_REVISION = Gauge(
    "apricottrestle_config_revision", "Configuration revision in force"
)
LEASES = Gauge("apricottrestle_leases", "Memory leases held")
ORPHANS_FREED = Counter(
    "apricottrestle_orphans_freed", "Allocations freed without an owner"
)
CALLS = Counter(
    "apricottrestle_calls", "Calls to plain services by outcome", ["outcome"]
)
AUDIT_ROWS_DROPPED = Counter(
    "apricottrestle_audit_rows_dropped", "Audit rows dropped"
)
DEMAND_RECORDS_DROPPED = Counter(
    "apricottrestle_demand_records_dropped",
    "Malformed records of the demand stream dropped",
)
