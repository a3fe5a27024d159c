"""Plain service stand-in: answers every call and keeps a ledger of it."""

import time
from typing import Final

import msgspec
import xxhash

from apricottrestle_standins import web


class ServiceSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Settings of a plain service; `name` appears in its answers."""

    name: str = "service"


class Call(msgspec.Struct):
    """Ledger row of a call that took effect."""

    time_s: float
    method: str
    path: str
    body_digest: str
    key: str


class Service(web.Standin):
    """The ledger; a call is in it exactly when it took effect."""

    def __init__(self, settings: ServiceSettings) -> None:
        """Starts with an empty ledger."""
        super().__init__(web.CommonFaults)
        self.settings = settings
        self.calls: list[Call] = []

    def start(self, host: str, port: int) -> int:
        """Serves on the running event loop; returns the port."""
        self.server, bound = web.make_server(self, _ROUTES, host, port)
        return bound

    def stop(self) -> None:
        """Stops accepting connections."""
        self.server.stop()


class CallHandler(web.JsonHandler):
    """Any method on any other path is a call."""

    def _run(self) -> None:
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
        """Runs a call."""
        self._run()

    post = put = delete = patch = get


class LedgerHandler(web.JsonHandler):
    """`GET /ledger`."""

    def get(self) -> None:
        """Answers with all calls that took effect."""
        assert isinstance(self.standin, Service)
        self.reply(self.standin.calls)


_ROUTES: Final = [
    (r"/ledger", LedgerHandler),
    (r"/(?!faults$|held$).*", CallHandler),
]
