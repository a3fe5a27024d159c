"""The platform's weight store, which limits how often models are loaded."""

import abc
from typing import Final

import msgspec

from apricottrestle import platform_http

_PEER: Final = "weights"


class WeightStore(abc.ABC):
    """Interface to the weight store."""

    @abc.abstractmethod
    async def request_permit(self, model: str, version: str) -> int:
        """Requests permission to load a version; returns its size in bytes.

        Raises:
            RateLimitedError: Retry after its `retry_after_s`.
            PlatformError: The store is unreachable or doesn't have the version.
        """


class _PermitResponse(msgspec.Struct):
    bytes: int


class HttpWeightStore(WeightStore):
    """HTTP client of the weight store."""

    def __init__(self, url: str, *, timeout_s: float = 5.0) -> None:
        """Creates the client; `url` is "http://<ip>:<port>"."""
        self._http = platform_http.PlatformHttpClient(url, _PEER, timeout_s)

    async def request_permit(self, model: str, version: str) -> int:
        """See WeightStore.request_permit."""
        body = msgspec.json.encode({"model": model, "version": version})
        response = await self._http.call("POST", "/permits", "order", body=body)
        return platform_http.decode_response(
            response, _PermitResponse, "order", _PEER
        ).bytes

    def close(self) -> None:
        """Closes the client's connections."""
        self._http.close()
