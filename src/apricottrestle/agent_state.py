"""State of an agent's engine, orders, configuration catch-up, drain and cache.

Times are monotonic seconds of the step. A time named `next_..._at` is the
earliest time of the next such action.
"""

from apricottrestle import agent_events


class EngineState:
    """The engine as last reported, and the starts since that report.

    Attributes:
        load: Last load report, None before the first.
        load_received_at: Time at which it arrived.
        unreported_starts: Start time and prompt tokens of runs that were
            started after `load` was measured.
        failed_polls: Failed load polls since the last successful one.
        config: Last read-back of the configuration, None before the first.
        orphans_since: For each allocation in the engine that has no owner in
            this agent, the time at which it was first listed.
        orphan_blocks: KV blocks that these allocations hold.
    """

    def __init__(self) -> None:
        """Creates the state of an engine that has not reported yet."""
        self.load: agent_events.EngineLoad | None = None
        self.load_received_at = 0.0
        self.unreported_starts: list[tuple[float, int]] = []
        self.failed_polls = 0
        self.config: agent_events.EngineConfig | None = None
        self.orphans_since: dict[str, float] = {}
        self.orphan_blocks = 0
        self.next_load_poll_at = 0.0
        self.next_allocation_poll_at = 0.0


class OrderState:
    """Progress of bringing the engine to its wanted configuration.

    Attributes:
        assigned_model: Model that the placement gives the engine, "" without
            one.
        switching_model: True while the engine has another model loaded than
            the assigned one.
        sent_at: Time of the last order.
        granted_permits: Model and version pairs that the weight store allows
            the engine to load.
    """

    def __init__(self) -> None:
        """Creates the state of an engine without an assigned model."""
        self.assigned_model = ""
        self.switching_model = False
        self.sent_at = -1e9
        self.next_read_back_at = 0.0
        self.next_order_at = 0.0
        self.granted_permits: set[tuple[str, str]] = set()
        self.next_permit_at = 0.0


class CatchUpState:
    """Detection of process pauses, and catch-up of the configuration after one.

    The agent sends no orders until a peer or the log, asked after the last
    pause, has confirmed that the configuration is current.

    Attributes:
        pause_count: Pauses of this process, the start included.
        ever_confirmed: True once the configuration has been confirmed.
        needed: True until it is confirmed again after the last pause.
        requested: True once a peer or the log has been asked since that pause.
        last_tick_at: Time of the last step.
        pause_allowance_s: Length of the recent pauses, which frames may have
            spent waiting in the socket.
        pause_allowance_until: End of the time in which frames are assumed to
            date from before the pause.
    """

    def __init__(self, now: float) -> None:
        """Creates the state after the start, which counts as a pause."""
        self.pause_count = 0
        self.ever_confirmed = False
        self.last_tick_at = now
        self.pause_allowance_s = 0.0
        self.pause_allowance_until = now
        self.restart(now)

    def restart(self, ask_at: float) -> None:
        """Starts a new catch-up; answers to earlier requests no longer count.

        Args:
            ask_at: Time from which on peers are asked.
        """
        self.pause_count += 1
        self.needed = True
        self.requested = False
        self.next_request_at = ask_at


class DrainState:
    """Progress of a drain.

    Attributes:
        active: True once the drain has begun.
        deadline: End of the grace period.
        exit_at: Time of the exit; infinite while work is left.
        exited: True once Exit has been returned.
    """

    def __init__(self) -> None:
        """Creates the state of an agent that is not draining."""
        self.active = False
        self.deadline = float("inf")
        self.exit_at = float("inf")
        self.exited = False


class CacheState:
    """Prefix blocks that the engine's cache is believed to hold.

    Attributes:
        blocks: Hashes of the blocks, oldest first.
        last_event_seq: Number of the last cache event applied; 0 makes the
            next poll ask for all blocks.
        summary_seq: Number of the last summary sent to the entries.
        added_blocks: Blocks added since that summary.
        removed_blocks: Blocks removed since that summary.
        full_summary_due: True when the next summary must be a full one.
    """

    def __init__(self) -> None:
        """Creates the state of an empty cache."""
        self.blocks: dict[int, None] = {}
        self.last_event_seq = 0
        self.summary_seq = 0
        self.next_poll_at = 0.0
        self.next_summary_at = 0.0
        self.next_full_summary_at = 0.0
        self.added_blocks: dict[int, None] = {}
        self.removed_blocks: dict[int, None] = {}
        self.full_summary_due = True
