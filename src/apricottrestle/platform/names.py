"""Names in the platform's interface: headers, paths, topics and variables."""

from typing import Final

SETTINGS_FILE_VARIABLE: Final = "APRICOTTRESTLE_NODE_FILE"

REQUEST_ID: Final = "Apricottrestle-Attempt-Id"
DEADLINE_MS: Final = "Apricottrestle-Deadline-Ms"
SERVER_SIGNATURE: Final = "Apricottrestle-Server-Signature"
NOT_RUN: Final = "Apricottrestle-Not-Executed"
TOKEN_USAGE: Final = "Apricottrestle-Token-Usage"
LENGTH_HINT: Final = "Apricottrestle-Length-Hint"
PROMPT_PARTS: Final = "Apricottrestle-Prompt-Prefix"
TEAM: Final = "Apricottrestle-Tenant"
UPSTREAM_ID: Final = "Apricottrestle-Expect-Instance"
PRIORITY: Final = "Apricottrestle-Request-Priority"
HELPERS: Final = "Apricottrestle-Helpers"
LAST_EVENT_ID: Final = "Last-Event-Id"
REQUEST_LIMIT: Final = "Server-Limit"
LEAVING: Final = "Server-Leaving"
COLD_MS: Final = "Apricottrestle-Cold-Ms"
FAILED_ADDRESS: Final = "At-Server"
AUTHORIZATION: Final = "Authorization"
RETRY_AFTER: Final = "Retry-After"

METRICS_PORT: Final = 9464
"""Port of the metrics endpoint, as in deploy/system.toml."""

READY_PATH: Final = "/-/ready"
RESERVATION_PATH: Final = "/-/order"
REPORT_PATH: Final = "/-/report"

STORE_HISTORY: Final = "Store-Era"
"""Response header of the store: number of its history, which grows when the
store comes back from an older copy."""

LOG_READ_PATH: Final = "/-/log-read"
LOG_NEWEST_PATH: Final = "/-/log-newest"
LOG_APPEND_PATH: Final = "/-/log-append"

CONFIG_TOPIC: Final = "keyed.op"
CONFIG_KEY: Final = "config"
EVACUATION_PREFIX: Final = "evacuate/"
"""Start of the keys of evacuations, in the topic of the configuration; the name
of the data centre follows."""

UPSTREAMS_TOPIC: Final = "keyed.servers"
CRASHES_TOPIC: Final = "keyed.crashes"
"""Topic that only gateways use, for the crashes that prove a part of a prompt
to be bad."""

GATEWAYS_TOPIC: Final = "keyed.gateways"
"""Topic that only gateways use, for the addresses of their peer sockets."""

HOP_BY_HOP_HEADERS: Final = frozenset(
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
"""Hop-by-hop headers, which are not forwarded, in lower case."""

RESERVED_HEADERS: Final = frozenset(
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
"""Headers removed from a caller's request, in lower case.

A caller can't choose their values; the gateway adds those that apply.
"""
