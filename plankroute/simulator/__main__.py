"""Reads batches on standard input, lets the instances decide, writes one reply a batch."""

import gc
import sys
import traceback
from typing import BinaryIO

from plankroute.controller.controller import Controller
from plankroute.events.commands import ForgetHost
from plankroute.events.events import Event
from plankroute.events.settings import microseconds
from plankroute.simulator.command_records import encode_command, encode_failure
from plankroute.simulator.event_records import (
    Delivered,
    EventDecoder,
    InstanceKilled,
    InstanceStarted,
)
from plankroute.simulator.frames import WireError, read_batch, write_reply


class InstanceHost:
    """The instances (controllers) of this process; they share nothing but the decoder's lists.

    Attributes:
        decoder: Decodes their events.
        controllers: The instances that were started and not killed, by their number.
    """

    def __init__(self) -> None:
        self.decoder = EventDecoder()
        self.controllers: dict[int, Controller] = {}

    def reply(self, clock_us: int, records: bytes) -> list[bytes]:
        """Lets each instance that has an event in a batch decide once, after all of its events.

        Args:
            clock_us: Clock of the batch, in microseconds.
            records: The batch's records of events.

        Returns:
            The records of the reply.

        Raises:
            WireError: A record can't be read.
        """
        pending: dict[int, list[Event]] = {}
        for occurrence in self.decoder.decode(records):
            match occurrence:
                case Delivered():
                    pending.setdefault(occurrence.instance, []).append(occurrence.event)
                case InstanceStarted():
                    controller = Controller(occurrence.facts, occurrence.seed)
                    self.controllers[occurrence.instance] = controller
                    pending[occurrence.instance] = []
                case InstanceKilled():
                    self.controllers.pop(occurrence.instance, None)
                    pending.pop(occurrence.instance, None)
        reply: list[bytes] = []
        for instance, events in pending.items():
            reply += self._decide(instance, clock_us, events)
        return reply

    def _decide(self, instance: int, clock_us: int, events: list[Event]) -> list[bytes]:
        controller = self.controllers.get(instance)
        if controller is None:
            return []
        try:
            return [
                encode_command(instance, command)
                for command in controller.deliver(clock_us, events)
                if not isinstance(command, ForgetHost)  # the wire keeps every host
            ]
        except Exception as error:  # the wire asks for a record of any failure of a decision
            place = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__}: {error} at {place.name}:{place.lineno}"
            return [encode_failure(instance, text)]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends.

    Raises:
        WireError: The input is malformed.
        BrokenPipeError: Nobody reads the replies any more.
    """
    host = InstanceHost()
    while (batch := read_batch(source)) is not None:
        records = host.reply(microseconds(batch.clock_ms), batch.records)
        write_reply(sink, batch.number, records)


def main() -> int:
    """Serves standard input and output; returns the exit status."""
    gc.freeze()  # what the imports left will never be garbage: collections needn't look at it
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"plankroute: the input is malformed: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
