"""Prometheus metrics of all daemons.

Label values are limited to small sets (reasons, outcomes, priority classes).
Request ids and teams are never labels: 1,400 teams as label values would cost
each process megabytes.
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
ANSWERS_WAITED = Counter(
    "apricottrestle_answers_waited",
    "Answers of upstreams that waited for room in a gateway's memory",
)
HELD_BYTES = Gauge(
    "apricottrestle_held_bytes",
    "Bytes that a gateway's memory account counts, by what holds them",
    ["phase"],
)
HELD_BYTES_LIMIT = Gauge(
    "apricottrestle_held_bytes_limit", "Size of a gateway's memory account"
)
UPSTREAM_TRANSFERS = Gauge(
    "apricottrestle_upstream_transfers",
    "Requests that a gateway has sent to upstreams and that haven't ended",
)
REQUESTS = Counter(
    "apricottrestle_requests", "Requests by outcome", ["priority", "outcome"]
)
REFUSALS = Counter(
    "apricottrestle_refusals", "Requests refused before they ran", ["reason"]
)
SHORTAGE_VERDICTS = Counter(
    "apricottrestle_shortage_verdicts",
    "Requests held back or refused while there was too little room",
    ["priority", "verdict"],
)
CONNECTIONS_CLOSED = Counter(
    "apricottrestle_caller_connections_closed",
    "Connections of callers that a gateway closed without a response",
    ["reason"],
)
RETRIES = Counter(
    "apricottrestle_retries", "Attempts after the first", ["reason"]
)
ENGINE_CRASHES = Counter(
    "apricottrestle_engine_crashes",
    "Crashes of engines that this gateway confirmed, once for each change",
)
BAD_PROMPT_PARTS = Gauge(
    "apricottrestle_bad_prompt_parts",
    "Sets of prompt parts that are refused because they crash engines",
)
EVACUATED_DATA_CENTRES = Gauge(
    "apricottrestle_evacuated_data_centres",
    "Data centres that the operator has evacuated",
)
LIMITED_UPSTREAMS = Gauge(
    "apricottrestle_limited_upstreams",
    "Upstreams that name a limit of requests per second",
)
COLD_UPSTREAMS = Gauge(
    "apricottrestle_cold_upstreams",
    "Upstreams that are believed cold and get few requests",
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
ANSWER_SECONDS = Histogram(
    "apricottrestle_answer_seconds",
    "Time from a request's arrival at a gateway to the end of its answer",
    ["kind", "outcome"],
    buckets=(0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20),
)
WAIT_SECONDS = Histogram(
    "apricottrestle_wait_seconds",
    "Time for which a gateway's request waited for an upstream",
    buckets=(0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5),
)
SENDS = Counter(
    "apricottrestle_sends", "Sends of a gateway to upstreams", ["result"]
)
STORE_SECONDS = Histogram(
    "apricottrestle_store_seconds",
    "Time of a gateway's call to the store, waiting for changes included",
    ["call", "outcome"],
    buckets=(0.005, 0.01, 0.05, 0.1, 0.5, 1, 2, 5),
)
LOOP_DELAY_SECONDS = Histogram(
    "apricottrestle_loop_delay_seconds",
    "Delay of a periodic callback of a gateway's event loop",
    buckets=(0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5),
)
PEERS = Gauge("apricottrestle_peers", "Gateways heard, this one not included")
WAITING = Gauge("apricottrestle_waiting", "Requests that wait for an engine")
UPSTREAMS = Gauge(
    "apricottrestle_upstreams", "Upstreams in the list, by state", ["state"]
)
LOG_LINES_DROPPED = Counter(
    "apricottrestle_log_lines_dropped", "Log lines the output did not take"
)
