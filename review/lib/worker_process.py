"""A worker in a process of its own, so that it can be killed.

Its answers have no length and end with their connection. It prints its port,
and then a line for each request that it begins to run.
"""

import asyncio
import sys

import review_fleet as fleet

PART: bytes = b"0123456789" * 200
PARTS = 2
PAUSE_S = 0.4
"""Time between the parts of an answer."""


class _UnframedAnswers(fleet.Worker):
    """A worker of a plain service whose answers have no length."""

    async def answer(
        self, req: fleet.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Writes an answer in parts, and closes the connection."""
        print("run", req.request_id, flush=True)
        lines = ["HTTP/1.1 200 OK", "Connection: close", *self.signed(req)]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(PARTS):
            if number:
                await asyncio.sleep(PAUSE_S)
            writer.write(PART)
            await writer.drain()
        writer.close()


async def _main(worker_id: str) -> None:
    record = fleet.Record()
    async with _UnframedAnswers(worker_id, "", record) as worker:
        print("port", worker.address.rpartition(":")[2], flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
