"""Plain service stand-in: responds to every call and records it."""

import time
from typing import Final

import msgspec
import xxhash

from apricottrestle_standins import web


class ServiceSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Settings of a plain service; `name` appears in its responses."""

    name: str = "service"


class Call(msgspec.Struct):
    """Ledger row of a call that took effect."""

    time_s: float
    method: str
    path: str
    body_digest: str
    key: str


class Service(web.Standin):
    """A plain service; its ledger holds exactly the calls that took effect."""

    def __init__(self, settings: ServiceSettings) -> None:
        """Creates a service with an empty ledger."""
        super().__init__(web.CommonFaults)
        self.settings = settings
        self.calls: list[Call] = []

    def start(self, host: str, port: int) -> int:
        """Starts the HTTP server; returns the port."""
        self.server, bound = web.make_server(self, _ROUTES, host, port)
        return bound

    def stop(self) -> None:
        """Stops accepting connections."""
        self.server.stop()


class CallHandler(web.JsonHandler):
    """Any method on any path that is not reserved."""

    def _handle(self) -> None:
        service = self.standin
        assert isinstance(service, Service)
        req = self.request
        call = Call(
            time.monotonic(),
            req.method or "",
            req.uri or "",
            xxhash.xxh3_64_hexdigest(req.body),
            req.headers.get("Idempotency-Key", ""),
        )
        service.calls.append(call)
        self.reply(
            {
                "service": service.settings.name,
                "call": len(service.calls),
                "method": call.method,
                "path": call.path,
                "body_digest": call.body_digest,
            }
        )

    def get(self) -> None:
        """Records the call and responds."""
        self._handle()

    post = put = delete = patch = get


class LedgerHandler(web.JsonHandler):
    """`GET /ledger`."""

    def get(self) -> None:
        """Returns all calls that took effect."""
        assert isinstance(self.standin, Service)
        self.reply(self.standin.calls)


_ROUTES: Final = [
    (r"/ledger", LedgerHandler),
    (r"/(?!faults$|held$).*", CallHandler),
]
