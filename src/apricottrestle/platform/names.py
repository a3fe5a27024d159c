"""Names that the platform fixes: headers, paths, topics and variables."""

from typing import Final

SETTINGS_FILE_VARIABLE: Final = "APRICOTTRESTLE_NODE_FILE"

REQUEST_ID: Final = "Apricottrestle-Attempt-Id"
DEADLINE_MS: Final = "Apricottrestle-Deadline-Ms"
SIGNATURE: Final = "Apricottrestle-Server-Signature"
NOT_RUN: Final = "Apricottrestle-Not-Executed"
TOKEN_USAGE: Final = "Apricottrestle-Token-Usage"
LENGTH_HINT: Final = "Apricottrestle-Length-Hint"
TEAM: Final = "Apricottrestle-Tenant"
UPSTREAM_ID: Final = "Apricottrestle-Expect-Instance"
PRIORITY: Final = "Apricottrestle-Request-Priority"
HELPERS: Final = "Apricottrestle-Helpers"
LAST_EVENT_ID: Final = "Last-Event-Id"
FAULT_ADDRESS: Final = "At-Server"
AUTHORIZATION: Final = "Authorization"
RETRY_AFTER: Final = "Retry-After"

METRICS_PORT: Final = 9464
"""Port of the metrics, as deploy/system.toml states it."""

READY_PATH: Final = "/-/ready"
ORDER_PATH: Final = "/-/order"

LOG_READ: Final = "/-/log-read"
LOG_NEWEST: Final = "/-/log-newest"
LOG_APPEND: Final = "/-/log-append"

CONFIG_TOPIC: Final = "keyed.op"
CONFIG_KEY: Final = "config"
UPSTREAMS_TOPIC: Final = "keyed.servers"
GATEWAYS_TOPIC: Final = "keyed.gateways"
"""A topic of the gateways' own: where they reach each other."""

HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers that concern one connection only, in lower case."""

SET_BY_GATEWAY: Final = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        TEAM,
        UPSTREAM_ID,
        PRIORITY,
        HELPERS,
        LAST_EVENT_ID,
        AUTHORIZATION,
        NOT_RUN,
    )
)
"""Request headers whose value a caller can't choose, in lower case."""
