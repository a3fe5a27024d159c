"""Guards against commands with a wrong exit code or misleading output."""

import contextlib
import importlib
import json
import pathlib
from collections.abc import Iterator

import pytest
import zmq

from apricottrestle import (
    audit,
    cli,
    cli_platform,
    platform_log,
    release_publish,
)
from tests import audit_rows, fake_log, notes

_ROOT = pathlib.Path(__file__).parent.parent / "examples"
_SETTINGS = str(_ROOT / "sweetbreeze" / "entry-maraval.toml")
_STREAM = platform_log.RELEASE_STREAM
_LOG = ["--log", "http://127.0.0.1:1"]


class _CommandResult:
    """Exit code and output of a command."""

    def __init__(self, code: int, out: str, err: str) -> None:
        self.code = code
        self.out = out
        self.err = err


class _CommandRunner:
    """Runs commands against an in-memory log."""

    def __init__(
        self, log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
    ) -> None:
        self.log = log
        self._capsys = capsys

    def run(self, *args: str) -> _CommandResult:
        try:
            code = cli.main(list(args))
        except SystemExit as exc:
            code = int(str(exc.code))
        got = self._capsys.readouterr()
        return _CommandResult(code, got.out, got.err)


@pytest.fixture(name="runner")
def _runner(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> _CommandRunner:
    log = fake_log.FakeLog()
    log.store(_STREAM, "first", notes.FIRST_NOTE)

    @contextlib.contextmanager
    def open_log(_args: object) -> Iterator[fake_log.FakeLog]:
        yield log

    monkeypatch.setattr(cli_platform, "open_log", open_log)
    monkeypatch.setattr(release_publish, "RESOLVE_TIMEOUT_S", 0.0)
    return _CommandRunner(log, capsys)


def _note(tmp_path: pathlib.Path, text: str) -> str:
    path = tmp_path / "note.toml"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize("as_json", [False, True])
@pytest.mark.parametrize(
    ("text", "fault", "code", "verdict"),
    [
        (notes.share_note("n", 1), "", 0, "accepted"),
        (notes.share_note("n", 1), fake_log.ANSWER_LOST, 0, "accepted"),
        (notes.share_note("n", 0), "", 1, "rejected"),
        (notes.share_note("n", 1), fake_log.NOT_STORED, 3, "unknown"),
    ],
)
def test_publish_reports_the_verdict(
    runner: _CommandRunner,
    tmp_path: pathlib.Path,
    text: str,
    fault: str,
    code: int,
    verdict: str,
    as_json: bool,
) -> None:
    runner.log.faults = [fault]
    args = ["release", "publish", _note(tmp_path, text), *_LOG]
    got = runner.run(*args, *(["--json"] if as_json else []))
    assert got.code == code
    if as_json:
        answer = json.loads(got.out)
        assert (answer["verdict"], answer["id"]) == (verdict, "n")
    else:
        assert verdict in (got.err if code else got.out)
    if code == 3:
        command = "release show --id n --log http://127.0.0.1:1"
        assert command in got.out + got.err


@pytest.mark.parametrize(
    ("args", "code"),
    [
        (["release", "publish"], 4),
        (["release", "check"], 4),
        (["release", "show"], 4),
        (["drain", "a1"], 4),
        (["audit", "export", "--from", "0", "--to", "1"], 4),
    ],
)
@pytest.mark.parametrize("as_json", [False, True])
def test_unreachable_log_is_exit_code_4(
    runner: _CommandRunner,
    tmp_path: pathlib.Path,
    args: list[str],
    code: int,
    as_json: bool,
) -> None:
    runner.log.down = True
    if args[-1] in ("publish", "check"):
        args = [*args, _note(tmp_path, notes.share_note("n", 1))]
    got = runner.run(*args, *_LOG, *(["--json"] if as_json else []))
    assert (got.code, got.out) == (code, "")
    if as_json:
        assert json.loads(got.err)["error"]["peer"] == "log"
    else:
        assert "try again" in got.err


def test_rate_limited_append_reports_when_to_try_again(
    runner: _CommandRunner, tmp_path: pathlib.Path
) -> None:
    runner.log.faults = [fake_log.RATE_LIMITED]
    path = _note(tmp_path, notes.share_note("n", 1))
    got = runner.run("release", "publish", path, *_LOG)
    assert got.code == 4
    assert "Try again in 3 s" in got.err


@pytest.mark.parametrize(
    ("text", "with_log", "code"),
    [
        (notes.share_note("n", 1), False, 0),
        (notes.share_note("n", 1), True, 0),
        (notes.share_note("n", 5), False, 0),
        (notes.share_note("n", 5), True, 1),
        ("nonsense", False, 2),
        ("nonsense", True, 2),
    ],
)
def test_check_validates_without_appending(
    runner: _CommandRunner,
    tmp_path: pathlib.Path,
    text: str,
    with_log: bool,
    code: int,
) -> None:
    args = ["release", "check", _note(tmp_path, text)]
    got = runner.run(*args, *(_LOG if with_log else []))
    assert got.code == code
    assert len(runner.log.streams[_STREAM]) == 1


def test_unreadable_note_file_is_exit_code_2(runner: _CommandRunner) -> None:
    got = runner.run("release", "check", "/nonexistent/note.toml")
    assert got.code == 2
    assert "can't be read" in got.err


@pytest.mark.parametrize(
    ("note_id", "code", "shown"),
    [
        ("first", 0, "accepted at offset 1"),
        ("bad", 1, "expected the current revision 1"),
        ("none", 3, "no such note up to offset 2"),
    ],
)
def test_show_reports_the_verdict_on_an_id(
    runner: _CommandRunner, note_id: str, code: int, shown: str
) -> None:
    runner.log.store(_STREAM, "bad", notes.share_note("bad", 9))
    got = runner.run("release", "show", "--id", note_id, *_LOG)
    assert got.code == code
    assert shown in got.out + got.err


def test_show_writes_the_configuration(runner: _CommandRunner) -> None:
    text = runner.run("release", "show", *_LOG)
    assert "revision 1 (first)" in text.out
    assert "versions: m@v1" in text.out
    state = json.loads(runner.run("release", "show", *_LOG, "--json").out)
    assert state["revision"] == 1
    assert state["models"]["m"]["version"] == "v1"


@pytest.mark.parametrize(
    ("faults", "code", "stored"),
    [
        ([], 0, 1),
        ([fake_log.ANSWER_LOST], 0, 2),
        ([fake_log.NOT_STORED] * 2, 0, 1),
        ([fake_log.NOT_STORED] * 3, 3, 0),
    ],
)
def test_drain_retries_an_append_with_a_lost_answer(
    runner: _CommandRunner, faults: list[str], code: int, stored: int
) -> None:
    runner.log.faults = list(faults)
    got = runner.run("drain", "a1", *_LOG)
    assert got.code == code
    records = runner.log.streams[platform_log.DRAINS_STREAM]
    assert [json.loads(rec.data) for rec in records] == (
        [{"instance": "a1"}] * stored
    )


def test_export_writes_rows_and_gaps(runner: _CommandRunner) -> None:
    runner.log.now = 115.0
    writer = audit.AuditBuffer("e1", "entry", "i1")
    writer.add(audit_rows.row("r1", peer="a1"))
    audit_rows.flush(runner.log, writer)
    args = ["audit", "export", "--from", "1970-01-01T00:00:00Z"]
    got = runner.run(*args, "--to", "200", *_LOG)
    assert got.code == 0
    header, row, count, gap = got.out.splitlines()
    fields = dict(zip(header.split("\t"), row.split("\t"), strict=True))
    assert fields["start"] == "1970-01-01T00:01:40.000+00:00"
    assert (fields["entry"], fields["agents"]) == ("e1", "a1")
    assert (fields["config_rev"], fields["missing"]) == ("7", "agent")
    assert count == "gaps: 1"
    assert gap.startswith("open_end\te1\ti1\tbatches 2-")
    answer = json.loads(runner.run(*args, "--to", "200", *_LOG, "--json").out)
    assert answer["requests"][0]["req_id"] == "r1"
    assert answer["gaps"][0]["kind"] == "open_end"


@pytest.mark.parametrize(
    "args",
    [
        ["--from", "yesterday", "--to", "2"],
        ["--from", "2026-12-04T10:00:00", "--to", "2"],
        ["--from", "1", "--to", "2", "--part", "0/3"],
        ["--from", "1", "--to", "2", "--part", "4/3"],
        ["--from", "1"],
        ["--from", "2", "--to", "1"],
    ],
)
def test_invalid_export_arguments_are_exit_code_2(
    runner: _CommandRunner, args: list[str]
) -> None:
    got = runner.run("audit", "export", *args, *_LOG)
    assert got.code == 2
    assert "error:" in got.err


@pytest.mark.parametrize("as_json", [False, True])
def test_settings_check_lists_all_problems(
    runner: _CommandRunner, tmp_path: pathlib.Path, as_json: bool
) -> None:
    option = ["--json"] if as_json else []
    good = runner.run("settings", "check", _SETTINGS, *option)
    assert good.code == 0
    assert "entry-maraval-1" in good.out
    path = _note(tmp_path, "colour = 1")
    bad = runner.run("settings", "check", path, *option)
    assert (bad.code, bad.out) == (2, "")
    if as_json:
        assert len(json.loads(bad.err)["error"]["problems"]) > 5
    else:
        assert bad.err.count("error: ") > 5


@pytest.mark.parametrize("daemon", ["entry", "agent"])
def test_daemon_with_invalid_settings_is_exit_code_2(
    runner: _CommandRunner, tmp_path: pathlib.Path, daemon: str
) -> None:
    got = runner.run(daemon, "--settings", _note(tmp_path, "colour = 1"))
    assert got.code == 2


@pytest.mark.parametrize("daemon", ["entry", "agent"])
@pytest.mark.parametrize("exc", [OSError(98, "in use"), zmq.ZMQError(98)])
def test_daemon_reports_an_address_in_use(
    runner: _CommandRunner,
    monkeypatch: pytest.MonkeyPatch,
    daemon: str,
    exc: Exception,
) -> None:
    def run(_cfg: object) -> None:
        raise exc

    module = importlib.import_module(f"apricottrestle.{daemon}_daemon")
    monkeypatch.setattr(module, "run", run)
    name = "entry-maraval" if daemon == "entry" else "agent-engine-maraval"
    path = str(_ROOT / "sweetbreeze" / f"{name}.toml")
    got = runner.run(daemon, "--settings", path)
    assert (got.code, got.out) == (1, "")
    assert f"{name}-1: {type(exc).__name__}" in got.err
    assert "no other process uses them" in got.err
