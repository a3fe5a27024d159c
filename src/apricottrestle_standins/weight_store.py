"""Weight store stand-in: grants rate-limited permits to load a model."""

import time
from typing import Final

import msgspec

from apricottrestle_standins import web


class WeightSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Settings of the weight store.

    Attributes:
        permits_per_s: Rate limit of permits; 0 is unlimited.
        burst: Burst size of the rate limit.
        model_bytes: Model size that a permit states.
    """

    permits_per_s: float = 0.0
    burst: float = 4.0
    model_bytes: int = 16_000_000_000


class PermitBody(msgspec.Struct):
    """Body of `POST /permits`."""

    model: str
    version: str


class WeightStore(web.Standin):
    """Grants permits and records them."""

    def __init__(self, settings: WeightSettings) -> None:
        """Creates a weight store without permits."""
        super().__init__(web.CommonFaults)
        self.settings = settings
        self.permit_limit = web.TokenBucket(
            settings.permits_per_s, settings.burst
        )
        self.permits: list[PermitBody] = []

    def start(self, host: str, port: int) -> int:
        """Starts the HTTP server; returns the port."""
        self.server, bound = web.make_server(self, _ROUTES, host, port)
        return bound

    def stop(self) -> None:
        """Stops accepting connections."""
        self.server.stop()


class PermitHandler(web.JsonHandler):
    """`POST /permits`."""

    def post(self) -> None:
        """Grants a permit, or responds with 429 and Retry-After."""
        store = self.standin
        assert isinstance(store, WeightStore)
        body = self.read_json(PermitBody)
        wait_s = store.permit_limit.take(time.monotonic())
        if wait_s:
            self.fail(429, "over the permit limit", retry_after_s=wait_s)
            return
        store.permits.append(body)
        self.reply({"bytes": store.settings.model_bytes})


class LedgerHandler(web.JsonHandler):
    """`GET /ledger`."""

    def get(self) -> None:
        """Returns all permits that were granted."""
        assert isinstance(self.standin, WeightStore)
        self.reply(self.standin.permits)


_ROUTES: Final = [(r"/permits", PermitHandler), (r"/ledger", LedgerHandler)]
