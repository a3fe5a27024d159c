"""The platform's weight store: permission to load a model version."""

import abc
from typing import Final

import msgspec

from apricottrestle import platform_http

_PEER: Final = "weights"


class WeightStore(abc.ABC):
    """Grants loads at a limited rate."""

    @abc.abstractmethod
    async def request_permit(self, model: str, version: str) -> int:
        """Asks for permission to load a version; returns its size in bytes.

        Raises:
            RateLimitedError: Ask again after its `retry_after_s`.
            PlatformError: The store is not reachable, or doesn't have the
                version.
        """


class _Permit(msgspec.Struct):
    bytes: int


class HttpWeightStore(WeightStore):
    """HTTP client of the weight store."""

    def __init__(self, url: str, *, timeout_s: float = 5.0) -> None:
        """Prepares the client; `url` is "http://<ip>:<port>"."""
        self._http = platform_http.PlatformHttpClient(url, _PEER, timeout_s)

    async def request_permit(self, model: str, version: str) -> int:
        """See WeightStore.request_permit."""
        body = msgspec.json.encode({"model": model, "version": version})
        answer = await self._http.call("POST", "/permits", "order", body=body)
        return platform_http.decode_response(
            answer, _Permit, "order", _PEER
        ).bytes

    def close(self) -> None:
        """Closes the client's connections."""
        self._http.close()
