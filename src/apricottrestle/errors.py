"""Exception tree of the package.

Every error names the step of the request or release path at which it arose and
the peer it concerns, so that one log line is enough to find the process to look
at.
"""

from typing import Final, Literal

Outcome = Literal["completed", "not_run", "unknown"]

LOCAL_PEER: Final = "local"


class ApricottrestleError(Exception):
    """Base of all errors of this package.

    Attributes:
        step: Step of the path, e.g. "accept", "admit", "dispatch".
        peer: Id or address of the other side; "local" when none is involved.
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
        """Stores all problems at once, so that one run shows them all."""
        super().__init__("; ".join(problems), step="settings")
        self.problems = problems


class ProtocolError(ApricottrestleError):
    """A frame between own processes is malformed or of an unknown version."""


class RequestError(ApricottrestleError):
    """A caller's request ends with an error answer.

    Attributes:
        status: HTTP status.
        code: Stable machine-readable code, documented in docs/api.md.
        outcome: "not_run" (proved) or "unknown".
        retry_after_s: Seconds until a retry makes sense, or None.
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
        """Stores what the error answer needs."""
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.code = code
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class PlatformError(ApricottrestleError):
    """A platform service failed or is not reachable.

    Attributes:
        status: HTTP status of its refusal, or None without an answer.
    """

    status: int | None = None


class AppendUnknownError(PlatformError):
    """The answer to an append was lost; it may have taken effect."""


class RateLimitedError(PlatformError):
    """A platform service refused a call over its rate limit.

    Attributes:
        retry_after_s: Seconds to wait before the next call.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, retry_after_s: float
    ) -> None:
        """Stores the time to wait."""
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class UpstreamError(ApricottrestleError):
    """An upstream failed, refused a call or broke its protocol."""


class ReleaseError(ApricottrestleError):
    """A release note is malformed or does not fit the state it is based on.

    Attributes:
        problems: One line for each problem.
    """

    def __init__(self, problems: list[str], *, step: str = "parse") -> None:
        """Stores all problems at once."""
        super().__init__("; ".join(problems), step=step)
        self.problems = problems
