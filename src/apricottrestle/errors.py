"""Exception hierarchy of the package.

Every error names the step of the request or release path in which it occurred
and the peer it concerns, so that one log line identifies the process to
examine.
"""

from typing import Final, Literal

Outcome = Literal["completed", "not_run", "unknown"]

LOCAL_PEER: Final = "local"


class ApricottrestleError(Exception):
    """Base of all errors of this package.

    Attributes:
        step: Step of the path, e.g. "accept", "admit", "dispatch".
        peer: Id or address of the peer; "local" if no peer is involved.
    """

    def __init__(
        self, message: str, *, step: str, peer: str = LOCAL_PEER
    ) -> None:
        """Stores the message with its step and peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Returns the message with step and peer."""
        return f"{self.message} (step {self.step}, peer {self.peer})"


class SettingsError(ApricottrestleError):
    """The settings file has one or more problems.

    Attributes:
        problems: One line for each problem: file, key, found and expected
            value.
    """

    def __init__(self, problems: list[str]) -> None:
        """Stores all problems, so that one run reports all of them."""
        super().__init__("; ".join(problems), step="settings")
        self.problems = problems


class ProtocolError(ApricottrestleError):
    """A frame from a peer process is malformed or of an unknown version."""


class RequestError(ApricottrestleError):
    """A caller's request ends with an error response.

    Attributes:
        status: HTTP status.
        code: Stable machine-readable code, documented in docs/api.md.
        outcome: "not_run" if the request provably did not run, or "unknown".
        retry_after_s: Seconds after which the caller may retry, or None.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str,
        step: str,
        outcome: Outcome = "not_run",
        peer: str = LOCAL_PEER,
        retry_after_s: float | None = None,
    ) -> None:
        """Stores the contents of the error response."""
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.code = code
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class PlatformError(ApricottrestleError):
    """A platform service failed or is unreachable.

    Attributes:
        status: HTTP status of the response, or None without a response.
    """

    status: int | None = None


class AppendUnknownError(PlatformError):
    """The response to an append was lost; the record may be stored."""


class RateLimitedError(PlatformError):
    """A platform service rejected a call that exceeded its rate limit.

    Attributes:
        retry_after_s: Seconds to wait before the next call.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, retry_after_s: float
    ) -> None:
        """Stores the message and the time to wait."""
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class UpstreamError(ApricottrestleError):
    """An upstream failed, rejected a call or violated the protocol."""


class BrokenAnswerError(ApricottrestleError):
    """An HTTP answer is malformed, so that it isn't known what was sent."""


class ReleaseError(ApricottrestleError):
    """A release note is malformed or inconsistent with its base state.

    Attributes:
        problems: One line for each problem.
    """

    def __init__(self, problems: list[str], *, step: str = "parse") -> None:
        """Stores all problems."""
        super().__init__("; ".join(problems), step=step)
        self.problems = problems
