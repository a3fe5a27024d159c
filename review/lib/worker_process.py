"""A worker in a process of its own, so that it can be killed.

Its answers have no length and end with their connection. It prints its port,
and then a line for each request that it begins to run.

Arguments: id, start time in Unix milliseconds, and "plain" or "stream".
"""

import asyncio
import sys

import review_fleet as fleet

PART: bytes = b"0123456789" * 200
PARTS = 2
PAUSE_S = 0.4
"""Time between the parts of an answer of a plain service."""

EVENTS = 20
EVENT_INTERVAL_S = 0.05
"""Number of events of a stream, and the time between two of them."""


class _UnframedAnswers(fleet.Worker):
    """A worker of a plain service whose answers have no length."""

    async def answer(
        self, req: fleet.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Writes an answer in parts, and closes the connection."""
        print("run", req.request_id, flush=True)
        await self.write_answer(req, writer)
        writer.close()

    def head(self, req: fleet.Request, *headers: str) -> bytes:
        """Returns the head of an answer."""
        lines = ["HTTP/1.1 200 OK", "Connection: close", *headers]
        return "\r\n".join([*lines, *self.signed(req)]).encode() + b"\r\n\r\n"

    async def write_answer(
        self, req: fleet.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Writes the answer to a request."""
        writer.write(self.head(req))
        for number in range(PARTS):
            if number:
                await asyncio.sleep(PAUSE_S)
            writer.write(PART)
            await writer.drain()


class _UnframedStreams(_UnframedAnswers):
    """A model worker whose streams have no length."""

    async def write_answer(
        self, req: fleet.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Writes the events that the caller doesn't have yet."""
        writer.write(self.head(req, "Content-Type: text/event-stream"))
        first = int(req.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            writer.write(f"id: {number}\ndata: {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)


async def _main(worker_id: str, born: int, kind: str) -> None:
    factory = _UnframedStreams if kind == "stream" else _UnframedAnswers
    worker = factory(worker_id, "", fleet.Record())
    worker.born = born
    async with worker:
        print("port", worker.address.rpartition(":")[2], flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
