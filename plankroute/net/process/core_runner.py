"""Runs the core: delivers events to it in batches and executes the commands it returns."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from plankroute.controller.controller import Controller
from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message
from plankroute.events import commands, events
from plankroute.net.process.clock import Clock, Timers
from plankroute.net.process.publishing_log import PublishingLog
from plankroute.net.process.telemetry import Telemetry


def _ignore(_: object) -> None:
    """Default output: discards its argument."""


@dataclass(slots=True)
class CoreOutputs:
    """The functions that execute the core's commands.

    Attributes:
        send_message: Sends a message to its proxy.
        check_health: Starts a health check of a host.
        request_list: Polls the endpoint list, or starts or ends a subscription to it.
        forget_host: Frees the state kept for a host.
    """

    send_message: Callable[[Message], None] = _ignore
    check_health: Callable[[int], None] = _ignore
    request_list: Callable[[commands.PollHostList | commands.SubscribeHostList], None] = _ignore
    forget_host: Callable[[int], None] = _ignore


class CoreRunner:
    """Runs the core in batches, one at a time.

    Args:
        controller: The core.
        message_builder: Builds messages to proxies from the core's commands.
        clock: The controller's clock.
        telemetry: Counters and log.
        min_batch_interval_us: Minimum interval between a batch and the one that the next event
            triggers.
    """

    def __init__(
        self,
        controller: Controller,
        message_builder: MessageBuilder,
        clock: Clock,
        telemetry: Telemetry,
        min_batch_interval_us: int,
    ) -> None:
        self.controller = controller
        self.message_builder = message_builder
        self.clock = clock
        self.telemetry = telemetry
        self.min_batch_interval_us = min_batch_interval_us
        self.outputs = CoreOutputs()
        self.publishing_log = PublishingLog(telemetry)
        self.last_batch_us = 0
        self.timers = Timers()
        self.pending = list[events.Event]()
        self.wakeup: asyncio.TimerHandle | None = None
        self.wakeup_due_us = 0

    def submit(self, event: events.Event) -> None:
        """Queues an event for the next batch and schedules that batch."""
        self.pending.append(event)
        self._wake_at(self.last_batch_us + self.min_batch_interval_us)

    def _wake_at(self, due_us: int) -> None:
        """Schedules `flush` for `due_us` at the latest.

        One timer of the event loop serves both pending events and the core's timers.
        """
        if self.wakeup:
            if self.wakeup_due_us <= due_us:
                return
            self.wakeup.cancel()
        loop = asyncio.get_running_loop()
        self.wakeup_due_us = due_us
        delay_us = max(0, due_us - self.clock.now_us())
        self.wakeup = loop.call_later(delay_us / 1e6, self.flush)

    def flush(self) -> None:
        """Runs a batch of all pending events and due timers now."""
        self.wakeup = None
        now_us = self.clock.now_us()
        # Timers come first: an event that raises an exception ends the batch, and the core would
        # not schedule its periodic timers again if they came after it.
        batch: list[events.Event] = [
            events.TimerExpired(token) for token in self.timers.pop_due(now_us)
        ]
        batch += self.pending
        self.pending = []
        if batch:
            self.last_batch_us = now_us
            self.run_batch(now_us, batch)
        next_due_us = self.timers.next_due_us()
        if next_due_us is not None:
            self._wake_at(max(next_due_us, self.last_batch_us))

    def run_batch(self, now_us: int, batch: list[events.Event]) -> None:
        """Runs one batch; an exception ends it and is logged, and later batches run as usual."""
        self.telemetry.count("core.batches")
        self.telemetry.count("core.events", len(batch))
        try:
            for event in batch:
                self.message_builder.observe(event, now_us)
            commands_issued = self.controller.deliver(now_us, batch)
            self._execute(now_us, commands_issued)
            for message in self.message_builder.build(commands_issued):
                self.outputs.send_message(message)
            self._forget_hosts(commands_issued)
            self.publishing_log.report(now_us, self.controller.publisher.status)
        except Exception as error:
            self.telemetry.record_failure("core", error)

    def _execute(self, now_us: int, commands_issued: list[commands.Command]) -> None:
        """Executes the commands that do not result in messages to proxies."""
        for command in commands_issued:
            match command:
                case commands.SetTimer(after_us, token):
                    self.timers.schedule(now_us + after_us, token)
                case commands.PingProxy():
                    self.telemetry.count("sent.pings")
                case commands.CheckHealth(host):
                    self.outputs.check_health(host)
                case commands.PollHostList() | commands.SubscribeHostList():
                    self.outputs.request_list(command)
                case commands.LogMessage(text):
                    self.telemetry.log.event("info", "core", text=text)
                case commands.SendToPeer():
                    # The network protocol has no messages between controllers.
                    self.telemetry.log_once("unsupported_peer_message")

    def _forget_hosts(self, commands_issued: list[commands.Command]) -> None:
        """Forgets hosts; called after all messages of the batch, which may name them, are sent."""
        for command in commands_issued:
            if isinstance(command, commands.ForgetHost):
                self.message_builder.forget(command.host)
                self.outputs.forget_host(command.host)
