"""The platform's load balancer: it checks which gateways are ready."""

import asyncio
from collections.abc import Callable
from typing import Final

CHECK_INTERVAL_S: Final = 1.0
MAX_MISSES: Final = 2
"""Failed checks in a row after which a gateway gets no new connections."""


class LoadBalancer:
    """Keeps the gateways in rotation; those that are unknown are in rotation.

    Attributes:
        history: Time of each check, and the gateways in rotation after it.
    """

    def __init__(self, read_readiness: Callable[[], dict[str, bool]]) -> None:
        """Creates a load balancer that has not yet checked any gateway.

        Args:
            read_readiness: Returns whether each known gateway is ready; one
                that isn't running is not ready.
        """
        self.history: list[tuple[float, set[str]]] = []
        self._read_readiness = read_readiness
        self._misses: dict[str, int] = {}

    async def run(self) -> None:
        """Checks all gateways at intervals, until cancelled."""
        while True:
            for address, is_ready in self._read_readiness().items():
                misses = self._misses.get(address, 0)
                self._misses[address] = 0 if is_ready else misses + 1
            in_rotation = {
                address
                for address in self._misses
                if self.is_in_rotation(address)
            }
            self.history.append(
                (asyncio.get_running_loop().time(), in_rotation)
            )
            await asyncio.sleep(CHECK_INTERVAL_S)

    def is_in_rotation(self, address: str) -> bool:
        """Returns whether a gateway gets new connections."""
        return self._misses.get(address, 0) < MAX_MISSES
