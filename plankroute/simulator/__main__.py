"""Runs controllers for the simulator: batches on standard input, one reply each on output."""

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


class InstancePool:
    """The instances (controllers) of this process. They share only the decoder's endpoint lists.

    Attributes:
        decoder: Decodes the events of all instances.
        controllers: The instances that were started and not killed, by instance number.
    """

    def __init__(self) -> None:
        self.decoder = EventDecoder()
        self.controllers: dict[int, Controller] = {}

    def reply(self, clock_us: int, records: bytes) -> list[bytes]:
        """Delivers the events of a batch to their instances, all events of an instance at once.

        Args:
            clock_us: Time of the batch, in microseconds.
            records: Event records of the batch.

        Returns:
            The command records of the reply.

        Raises:
            WireError: A record cannot be decoded.
        """
        pending: dict[int, list[Event]] = {}
        for decoded in self.decoder.decode(records):
            match decoded:
                case Delivered():
                    pending.setdefault(decoded.instance, []).append(decoded.event)
                case InstanceStarted():
                    controller = Controller(decoded.facts, decoded.seed)
                    self.controllers[decoded.instance] = controller
                    pending[decoded.instance] = []
                case InstanceKilled():
                    self.controllers.pop(decoded.instance, None)
                    pending.pop(decoded.instance, None)
        reply: list[bytes] = []
        for instance, events in pending.items():
            reply += self._deliver(instance, clock_us, events)
        return reply

    def _deliver(self, instance: int, clock_us: int, events: list[Event]) -> list[bytes]:
        controller = self.controllers.get(instance)
        if controller is None:
            return []
        try:
            return [
                encode_command(instance, command)
                for command in controller.deliver(clock_us, events)
                if not isinstance(command, ForgetHost)  # the simulator never drops a host
            ]
        except Exception as error:  # the protocol requires a record for any failed instance
            frame = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__}: {error} at {frame.name}:{frame.lineno}"
            return [encode_failure(instance, text)]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reads batches and writes a reply to each, until the input ends.

    Raises:
        WireError: The input is malformed.
        BrokenPipeError: The reader of the replies closed the pipe.
    """
    pool = InstancePool()
    while (batch := read_batch(source)) is not None:
        records = pool.reply(microseconds(batch.clock_ms), batch.records)
        write_reply(sink, batch.number, records)


def main() -> int:
    """Serves standard input and output, and returns the exit status."""
    gc.freeze()  # imported objects never become garbage, so collections need not scan them
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
