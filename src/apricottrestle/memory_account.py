"""The memory that one process holds for callers and upstreams.

Each connection of a caller and each buffered answer is a holder. The account
knows what each holds, what it does and when it was last active. When it is full
it names the holder whose refusal costs callers least: first requests that have
arrived in part and are silent, then answers that their callers don't read, then
other requests that have arrived in part, and at last the newcomer.

Invariants: a request that was read completely and is being served is never
named. A holder that is the only one at work always has room, so that an account
which is too small for one legal request serves one at a time.
"""

import collections
from collections.abc import Callable
from typing import Any, Final, Literal, NamedTuple

BYTES_PER_MB: Final = 1_000_000

DEFAULT_MEMORY_MB: Final = 512.0
"""Memory of the machine, in MB, if the settings don't name it. The account then
has room for three times what the former separate limits of 64 MiB allowed."""

DEFAULT_MAX_FDS: Final = 20_000
"""Descriptors of the process if the settings don't name them; above what a
gateway with thousands of kept connections needs."""

FREE_SHARE: Final = 0.1
"""Share of the machine's memory that the process leaves free."""

REST_BYTES: Final = 65 * BYTES_PER_MB
"""Memory of a process beside what is counted: 49 MB were measured at rest, and
16 MB for COVERED_TRANSFERS."""

COVERED_TRANSFERS: Final = 256
"""Transfers to upstreams that REST_BYTES and UPSTREAM_FDS have room for.
Further ones use room of the callers."""

TRANSFER_BYTES: Final = 32 * 1024
"""Bytes that are counted for each further transfer. With COPIES, 64 kB."""

COPIES: Final = 2.0
"""Resident bytes per byte that is counted: a body is copied once when it is
complete, and the allocator doesn't return all it has freed."""

MIN_BYTES: Final = 2 * BYTES_PER_MB
"""Least size of the account, for settings that leave no room."""

FILE_FDS: Final = 200
"""Descriptors that the platform reserves for files."""

UPSTREAM_FDS: Final = 400
"""Descriptors for upstreams: COVERED_TRANSFERS, 64 reports, and kept ones."""

PEER_FDS: Final = 128
"""Descriptors for other gateways and the store; two for each gateway."""

MIN_FDS_SHARE: Final = 0.25
"""Share of the descriptors that callers get if few are left for them."""

CONNECTION_BYTES: Final = 6_144
"""Bytes that are counted for each connection. With COPIES, 12 kB; 10 kB were
measured for each of 2,500 connections without a byte."""

ORDINARY_HEADERS: Final = 64
"""Headers of a request up to which what they cost is part of what is counted
for its connection; more than callers behind several proxies send."""

HEADER_BYTES: Final = 400
"""Bytes that are counted for each further header, beside its text. With COPIES,
800 bytes; 780 were measured for each of 2,667 headers of a request under way:
its name and value, their pair, and the copies that Tornado and libcurl send."""

CONNECTIONS_SHARE: Final = 0.5
"""Largest share of the account for connections that hold nothing else."""

SMALL_BYTES: Final = 16 * 1024
"""Length up to which a request or answer may use the whole account; any head
that the configuration of the platform's fleets allows."""

LARGE_SHARE: Final = 0.75
"""Share of the account up to which larger requests are read. The rest is for
answers and small requests, which would otherwise wait for large ones."""

SILENT_S: Final = 1.0
"""Time without bytes after which a request that has arrived in part counts as
silent. Callers send a request at once, and lost packets come again sooner."""

UNREAD_S: Final = 5.0
"""Time after which an answer of which its caller reads nothing may be cut off
to make room; several retransmissions of lost packets."""

MAX_EVICTION_LOOKS: Final = 16
"""Idle connections that are looked at to find one that may be closed."""

CHECK_INTERVAL_S: Final = 0.25
"""Interval at which answers that wait for room are looked at."""

Phase = Literal["idle", "incomplete", "complete", "unread"]
"""What a holder does.

idle: a connection that waits for a request.
incomplete: a request that has arrived in part.
complete: a request that is being served, or an answer that arrives.
unread: an answer that has ended, but that its caller hasn't read.
"""

_PHASES: Final[tuple[Phase, ...]] = (
    "idle",
    "incomplete",
    "complete",
    "unread",
)


class Limits(NamedTuple):
    """Limits of a process.

    Attributes:
        held_bytes: Bytes that all holders may hold.
        connections: Connections of callers.
    """

    held_bytes: int
    connections: int


def compute_limits(memory_mb: float, max_fds: int) -> Limits:
    """Returns the limits that follow from a process's settings.

    Args:
        memory_mb: Memory of its machine, in MB.
        max_fds: Descriptors that it may open.
    """
    free_bytes = memory_mb * BYTES_PER_MB * (1 - FREE_SHARE) - REST_BYTES
    held_bytes = max(int(free_bytes / COPIES), MIN_BYTES)
    connections = max(
        max_fds - FILE_FDS - UPSTREAM_FDS - PEER_FDS,
        int(max_fds * MIN_FDS_SHARE),
        1,
    )
    affordable = int(held_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
    return Limits(held_bytes, min(connections, affordable))


def header_bytes(count: int) -> int:
    """Returns what the headers of a request cost beside their text."""
    return HEADER_BYTES * max(count - ORDINARY_HEADERS, 0)


class Holder:
    """Something that holds memory.

    Attributes:
        owner: What it belongs to; only its owner's module knows the type.
        is_connection: Whether it has a descriptor.
        held_bytes: Bytes that are counted for it.
        phase: What it does.
        active_at: Monotonic time at which it was last active.
    """

    __slots__ = ("active_at", "held_bytes", "is_connection", "owner", "phase")

    def __init__(self, owner: Any = None, *, is_connection: bool) -> None:
        """Creates a holder of nothing."""
        self.owner = owner
        self.is_connection = is_connection
        self.held_bytes = 0
        self.phase: Phase | None = None
        self.active_at = 0.0


class _Waiter(NamedTuple):
    """An answer that waits for room, and what is called when it has some."""

    needed: int
    callback: Callable[[], None]


class MemoryAccount:
    """What all holders of a process hold.

    Attributes:
        limits: The limits in force.
        held_bytes: Bytes of all holders.
        connections: Number of holders with a descriptor.
        bytes_by_phase: Bytes of the holders in each phase.
    """

    def __init__(self, limits: Limits) -> None:
        """Creates an account without holders."""
        self.limits = limits
        self.held_bytes = 0
        self.connections = 0
        self.bytes_by_phase: dict[Phase, int] = dict.fromkeys(_PHASES, 0)
        # The holders of each phase; those that were active last are the last.
        self._order: dict[Phase, dict[Holder, None]] = {
            phase: {} for phase in _PHASES
        }
        self._waiting: collections.OrderedDict[Holder, _Waiter] = (
            collections.OrderedDict()
        )
        self._further_transfers = 0

    @property
    def max_held_bytes(self) -> int:
        """Bytes that all holders may hold now."""
        held_bytes = self.limits.held_bytes
        return max(
            held_bytes - self._further_transfers * TRANSFER_BYTES,
            min(held_bytes, MIN_BYTES),
        )

    @property
    def max_connections(self) -> int:
        """Connections that callers may have now."""
        return max(self.limits.connections - self._further_transfers, 1)

    def set_transfers(self, count: int) -> None:
        """Sets the number of transfers to upstreams that are under way."""
        self._further_transfers = max(count - COVERED_TRANSFERS, 0)

    def hold(
        self, holder: Holder, count: int, phase: Phase, now: float
    ) -> None:
        """Sets what an active holder holds and does.

        Args:
            holder: The holder.
            count: All bytes that it holds from now on.
            phase: What it does.
            now: Monotonic time in seconds.
        """
        before = holder.phase
        delta = count - holder.held_bytes
        if before is None:
            self.connections += holder.is_connection
        else:
            del self._order[before][holder]
            self.bytes_by_phase[before] -= holder.held_bytes
        self._order[phase][holder] = None
        self.bytes_by_phase[phase] += count
        self.held_bytes += delta
        holder.held_bytes = count
        holder.phase = phase
        holder.active_at = now
        if delta < 0 and self._waiting:
            self._serve_waiting(now)

    def release(self, holder: Holder, now: float) -> None:
        """Forgets a holder; does nothing if it isn't known."""
        self._waiting.pop(holder, None)
        phase = holder.phase
        if phase is not None:
            del self._order[phase][holder]
            self.bytes_by_phase[phase] -= holder.held_bytes
            self.held_bytes -= holder.held_bytes
            self.connections -= holder.is_connection
            holder.held_bytes = 0
            holder.phase = None
        if self._waiting:
            self._serve_waiting(now)

    def has_room(self, holder: Holder, count: int, total: int) -> bool:
        """Returns whether a request may get further bytes.

        Args:
            holder: Its holder.
            count: Number of the further bytes.
            total: Bytes of the whole request, as far as is known.
        """
        limit = self.max_held_bytes
        if total > SMALL_BYTES:
            limit = int(limit * LARGE_SHARE)
        return self.held_bytes + count <= limit or self._is_alone(holder)

    def _is_alone(self, holder: Holder) -> bool:
        """Returns whether no other holder is at work."""
        at_work = sum(
            len(self._order[phase]) for phase in _PHASES if phase != "idle"
        )
        own = int(holder.phase not in (None, "idle"))
        if not holder.is_connection:
            # The connection of an answer's caller.
            own += 1
        return at_work <= own

    def choose_victim(self, newcomer: Holder, now: float) -> Holder | None:
        """Returns the holder to refuse for a newcomer's sake.

        Args:
            newcomer: The request that needs room.
            now: Monotonic time in seconds.

        Returns:
            The holder, or None if the newcomer is to be refused.
        """
        incomplete = self._first("incomplete", newcomer)
        if incomplete is not None and now - incomplete.active_at >= SILENT_S:
            return incomplete
        return self.choose_unread(now) or incomplete

    def choose_unread(self, now: float) -> Holder | None:
        """Returns the longest unread answer that may be cut off, or None."""
        unread = self._first("unread", None)
        if unread is not None and now - unread.active_at >= UNREAD_S:
            return unread
        return None

    def choose_connection(
        self, is_closable: Callable[[Holder], bool], now: float
    ) -> Holder | None:
        """Returns the connection to close for the sake of a new one.

        Args:
            is_closable: Returns whether nothing arrives on an idle connection.
            now: Monotonic time in seconds.

        Returns:
            The connection, or None if the new one is to be closed.
        """
        for _ in range(MAX_EVICTION_LOOKS):
            idle = self._first("idle", None)
            if idle is None:
                break
            if is_closable(idle):
                return idle
            self.hold(idle, idle.held_bytes, "idle", now)
        return self._first("incomplete", None) or self.choose_unread(now)

    def _first(self, phase: Phase, other_than: Holder | None) -> Holder | None:
        """Returns the holder of a phase that has been silent for longest."""
        for holder in self._order[phase]:
            if holder is not other_than:
                return holder
        return None

    # Answers.

    def grow_answer(
        self,
        holder: Holder,
        count: int,
        callback: Callable[[], None],
        now: float,
    ) -> bool:
        """Counts further bytes of an answer, now or when there is room.

        Args:
            holder: The answer's holder.
            count: Number of the further bytes.
            callback: Called once when they have been counted later.
            now: Monotonic time in seconds.

        Returns:
            Whether they have been counted at once.
        """
        is_small = holder.held_bytes + count <= SMALL_BYTES
        if is_small or (not self._waiting and self._fits_answer(holder, count)):
            self.hold(holder, holder.held_bytes + count, "complete", now)
            return True
        self._waiting[holder] = _Waiter(count, callback)
        return False

    def _fits_answer(self, holder: Holder, count: int) -> bool:
        return self.held_bytes + count <= self.max_held_bytes or self._is_alone(
            holder
        )

    def _serve_waiting(self, now: float) -> None:
        """Gives room to waiting answers, in their order."""
        while self._waiting:
            holder, waiter = next(iter(self._waiting.items()))
            if not self._fits_answer(holder, waiter.needed):
                return
            del self._waiting[holder]
            self.hold(
                holder, holder.held_bytes + waiter.needed, "complete", now
            )
            waiter.callback()

    @property
    def has_waiting(self) -> bool:
        """Whether answers wait for room."""
        return bool(self._waiting)
