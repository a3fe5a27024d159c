"""Tests of JSON log lines and of the health and readiness endpoints."""

import asyncio
import io
import json
import logging
from collections.abc import Iterator

import pytest
from tornado import httpclient

from apricottrestle import logs, metrics, ops_http


@pytest.fixture(name="lines")
def _lines() -> Iterator[io.StringIO]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    stream = io.StringIO()
    logs.configure(stream)
    yield stream
    root.handlers[:] = handlers
    root.setLevel(level)


def test_a_decision_is_one_json_line(lines: io.StringIO) -> None:
    # Field names may equal those of logging's own record attributes.
    logs.decision(
        logging.getLogger("x"), "route", name="r1\n", args=3, message="m"
    )
    (line,) = lines.getvalue().splitlines()
    got = json.loads(line)
    assert (got["message"], got["level"], got["name"]) == ("route", "INFO", "x")
    assert got["decision"] == {"name": "r1\n", "args": 3, "message": "m"}
    assert got["time"]


def test_an_exception_stays_on_one_line(lines: io.StringIO) -> None:
    try:
        raise ValueError("bad")
    except ValueError:
        logging.getLogger("x").exception("failed")
    (line,) = lines.getvalue().splitlines()
    assert "ValueError: bad" in json.loads(line)["exc_info"]


def test_configure_replaces_the_earlier_stream(lines: io.StringIO) -> None:
    logs.configure(io.StringIO())
    logging.getLogger("x").warning("elsewhere")
    assert lines.getvalue() == ""


@pytest.mark.parametrize("reasons", [[], ["no configuration yet"]])
def test_readiness_response_has_its_reasons(reasons: list[str]) -> None:
    metrics.CONFIG_REVISION.set(41)

    async def run() -> dict[str, httpclient.HTTPResponse]:
        with ops_http.OpsServer("127.0.0.1:0", lambda: reasons) as server:
            client = httpclient.AsyncHTTPClient()
            return {
                path: await client.fetch(
                    f"http://127.0.0.1:{server.port}/{path}", raise_error=False
                )
                for path in ("healthz", "readyz", "metrics")
            }

    got = asyncio.run(run())
    assert got["healthz"].code == 200
    assert got["readyz"].code == (503 if reasons else 200)
    body = json.loads(got["readyz"].body)
    assert body == {"ready": not reasons, "reasons": reasons}
    assert b"apricottrestle_config_revision 41.0" in got["metrics"].body
