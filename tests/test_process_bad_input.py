"""Bad input from callers and on agent sockets, with real processes."""

import socket
import urllib.parse
from collections.abc import Iterator

import pytest

from apricottrestle_standins import fleet, notes
from tests import process_harness as harness

pytestmark = pytest.mark.process

_MIB = 1024 * 1024


@pytest.fixture(scope="module")
def deployment() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(
        harness.FleetSize(engines=1, entries=1)
    ) as started:
        yield started


def _completion_body(**fields: object) -> dict[str, object]:
    return {
        "model": notes.MODEL,
        "prompt": [1, 2, 3],
        "max_tokens": 2,
    } | fields


@pytest.mark.parametrize(
    ("body", "headers", "statuses"),
    [
        (b"{", {}, (400,)),
        (b"\xff\xfe", {}, (400,)),
        (b"", {}, (400,)),
        (b"[]", {}, (400,)),
        (_completion_body(prompt=7), {}, (400,)),
        (_completion_body(prompt=[]), {}, (400,)),
        (_completion_body(prompt=["a"]), {}, (400,)),
        (_completion_body(prompt=[-1]), {}, (400,)),
        (_completion_body(prompt=[2**64]), {}, (400,)),
        (_completion_body(max_tokens="two"), {}, (400,)),
        (_completion_body(max_tokens=-1), {}, (400,)),
        (_completion_body(model="none"), {}, (400, 404)),
        (_completion_body(adapter="none"), {}, (400, 404)),
        (_completion_body(prompt=[1] * 1_000_001), {}, (400, 413)),
        (b" " * (17 * _MIB), {}, (413, 0)),
        (_completion_body(), {"Authorization": "Bearer wrong"}, (401,)),
        (_completion_body(), {"Authorization": ""}, (401,)),
        (_completion_body(), {"X-Priority": "highest"}, (400, 403)),
        (
            _completion_body(),
            harness.authorization(notes.KEYS["orders"])
            | {"X-Priority": "batch"},
            (403,),
        ),
        (_completion_body(), {"X-Time-Limit-Ms": "soon"}, (400,)),
        (_completion_body(), {"X-Time-Limit-Ms": "-5"}, (400,)),
        (
            _completion_body(stream=True),
            {"Last-Event-ID": "nonsense"},
            (400, 409),
        ),
    ],
)
def test_bad_completion_is_refused(
    deployment: fleet.Fleet,
    body: object,
    headers: dict[str, str],
    statuses: tuple[int, ...],
) -> None:
    """Bad requests must get an error with outcome not_run.

    The entry must go on serving afterwards.
    """
    url = deployment.nodes["entry-0"].url
    answer = fleet.call(
        "POST",
        url + "/v1/completions",
        body,
        harness.authorization() | headers,
        timeout_s=20.0,
    )
    assert answer.status in statuses, answer
    if answer.status:
        error = answer.json()["error"]
        assert error["code"]
        assert error["message"]
        assert error["outcome"] == "not_run"
    good = harness.send_prompt([url], harness.make_prompt(10, 2), retries=2)
    assert good.outcome == "ok", good


def test_unknown_service_or_path_gets_404(deployment: fleet.Fleet) -> None:
    url = deployment.nodes["entry-0"].url
    for path in ("/v1/services/none/x", "/v1/nothing"):
        answer = fleet.call("GET", url + path, None, harness.authorization())
        assert answer.status == 404, path
        assert answer.json()["error"]["code"]


def _connect(url: str) -> socket.socket:
    parts = urllib.parse.urlsplit(url)
    assert parts.hostname
    assert parts.port
    return socket.create_connection((parts.hostname, parts.port), timeout=20)


def test_caller_that_stalls_in_its_body_gets_408(
    deployment: fleet.Fleet,
) -> None:
    """A stalled body must not occupy a request slot for ever."""
    with _connect(deployment.nodes["entry-0"].url) as sock:
        auth = harness.authorization()["Authorization"]
        sock.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: " + auth.encode() + b"\r\n"
            b"Content-Length: 1000\r\n\r\n{"
        )
        answer = sock.recv(4096)
    assert answer.startswith(b"HTTP/1.1 408"), answer[:200]


@pytest.mark.parametrize(
    "garbage",
    [b"\x00" * 64, b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 4096],
    ids=["zeros", "http", "ones"],
)
def test_garbage_on_agent_sockets_does_not_stop_service(
    deployment: fleet.Fleet, garbage: bytes
) -> None:
    listed = deployment.nodes["instances"].url + "/instances?after=0"
    rows = fleet.call("GET", listed).json()["rows"]
    (instance,) = [row for row in rows if row["id"] == "agent-0"]
    for address in (instance["control"], instance["bulk"]):
        with _connect(f"http://{address}") as sock:
            sock.sendall(garbage)
    assert deployment.nodes["agent-0"].ready()
    url = deployment.nodes["entry-0"].url
    answer = harness.send_prompt([url], harness.make_prompt(10, 2), retries=2)
    assert answer.outcome == "ok", answer
