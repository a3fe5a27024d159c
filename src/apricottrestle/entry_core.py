"""Drives the entry's pure step in the daemon and executes its commands.

Invariant: the step is not reentrant. An event that arises while commands are
executed is queued and handled afterwards.
"""

import asyncio
import collections
import logging
import time
from collections.abc import Callable
from typing import Final

from apricottrestle import (
    entry_events,
    entry_step,
    entry_tables,
    logs,
    messages,
    transport,
)

PlatformCommand = (
    entry_events.ResolveKey | entry_events.FindBinding | entry_events.BindKey
)

_LOG: Final = logging.getLogger(__name__)


class Mailbox:
    """Queue of the commands for one caller.

    Attributes:
        caller: Caller number.
    """

    def __init__(self, caller: int) -> None:
        """Creates an empty mailbox."""
        self.caller = caller
        self._commands: list[entry_events.CallerCommand] = []
        self._has_commands = asyncio.Event()

    def put(self, command: entry_events.CallerCommand) -> None:
        """Appends a command and wakes the reader."""
        self._commands.append(command)
        self._has_commands.set()

    async def get_all(self) -> list[entry_events.CallerCommand]:
        """Waits until there are commands and returns all of them."""
        await self._has_commands.wait()
        self._has_commands.clear()
        commands, self._commands = self._commands, []
        return commands


class StepRunner:
    """Runs the step; owns the connections to agents and the mailboxes.

    Attributes:
        tables: State of the step.
        platform_handler: Starts the execution of a command that needs the
            platform's log; None until it is set.
    """

    def __init__(
        self,
        tables: entry_tables.Tables,
        entry_transport: transport.EntryTransport,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a runner without connections or callers.

        Args:
            tables: State of the step.
            entry_transport: Opens connections to agents.
            clock: Returns monotonic seconds.
        """
        self.tables = tables
        self._entry_transport = entry_transport
        self.platform_handler: Callable[[PlatformCommand], None] | None = None
        self._clock = clock
        self._conns: dict[int, transport.AgentConnection] = {}
        self._mailboxes: dict[int, Mailbox] = {}
        self._pending_events: collections.deque[entry_events.Event] = (
            collections.deque()
        )
        self._running = False
        self._next_caller = 1

    def post(self, *events: entry_events.Event) -> None:
        """Queues events and runs the step until no event is left.

        A call made while the step runs only queues its events.
        """
        self._pending_events.extend(events)
        if self._running:
            return
        self._running = True
        try:
            self._run_step()
            while self._pending_events:
                self._run_step()
        finally:
            self._running = False

    def _run_step(self) -> None:
        events = list(self._pending_events)
        self._pending_events.clear()
        for command in entry_step.step(self.tables, events, self._clock()):
            self._execute(command)

    def open_caller(self) -> Mailbox:
        """Registers a caller and returns its mailbox."""
        mailbox = Mailbox(self._next_caller)
        self._next_caller += 1
        self._mailboxes[mailbox.caller] = mailbox
        return mailbox

    def close_caller(self, caller: int) -> None:
        """Removes a caller and tells the step that it has gone."""
        if self._mailboxes.pop(caller, None) is not None:
            self.post(entry_events.CallerGone(caller))

    def close(self) -> None:
        """Closes all connections to agents."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()

    def _execute(self, command: entry_events.Command) -> None:
        match command:
            case entry_events.Send():
                self._send(command)
            case entry_events.SendBulk():
                self._send_bulk(command)
            case entry_events.Connect():
                self._connect(command)
            case entry_events.Close():
                self._close(command.conn)
            case entry_events.LogDecision():
                logs.decision(_LOG, command.kind, **command.fields)
            case (
                entry_events.ResolveKey()
                | entry_events.FindBinding()
                | entry_events.BindKey()
            ):
                if self.platform_handler is not None:
                    self.platform_handler(command)
            case _:
                mailbox = self._mailboxes.get(command.caller)
                if mailbox is not None:
                    mailbox.put(command)

    def _connect(self, command: entry_events.Connect) -> None:
        conn = command.conn

        def on_frame(_routing_id: bytes, received: messages.Received) -> None:
            self.post(entry_events.FrameReceived(conn, received))

        self._conns[conn] = self._entry_transport.connect(
            command.control, command.bulk, on_frame
        )

    def _close(self, conn_number: int) -> None:
        conn = self._conns.pop(conn_number, None)
        if conn is not None:
            # Deferred, since the connection's own callback may be running.
            asyncio.get_running_loop().call_soon(conn.close)

    def _send(self, command: entry_events.Send) -> None:
        conn = self._conns.get(command.conn)
        revision = self.tables.sync.revision
        sent = conn is not None and conn.send(
            command.msg, revision, command.body
        )
        if not sent:
            self._pending_events.append(
                entry_events.SendFailed(command.conn, command.msg)
            )

    def _send_bulk(self, command: entry_events.SendBulk) -> None:
        conn = self._conns.get(command.conn)
        revision = self.tables.sync.revision
        sent = conn is not None and conn.send_bulk(
            command.msg, revision, command.body
        )
        if not sent:
            self._pending_events.append(
                entry_events.SendFailed(command.conn, command.msg)
            )
