"""Reads batches on standard input, lets the instances decide, writes one reply a batch."""

import gc
import sys
import traceback
from typing import BinaryIO

from plankroute.controller.controller import Controller
from plankroute.events.commands import ForgetHost
from plankroute.events.events import Event
from plankroute.events.settings import microseconds
from plankroute.simulator.frames import WireError, read_batch, write_reply
from plankroute.simulator.records import (
    Decoder,
    Delivered,
    Destroyed,
    Enlisted,
    encode_failure,
    encode_order,
)


class Host:
    """The instances of this process; they share nothing."""

    def __init__(self) -> None:
        self.decoder = Decoder()
        self.controllers: dict[int, Controller] = {}

    def reply(self, clock_us: int, body: bytes) -> list[bytes]:
        pending: dict[int, list[Event]] = {}
        for event in self.decoder.decode(body):
            match event:
                case Enlisted(instance, seed, facts):
                    self.controllers[instance] = Controller(facts, seed)
                    pending[instance] = []
                case Destroyed(instance):
                    self.controllers.pop(instance, None)
                    pending.pop(instance, None)
                case Delivered(instance, note):
                    pending.setdefault(instance, []).append(note)
        records: list[bytes] = []
        for instance, events in pending.items():
            records += self.decide(instance, clock_us, events)
        return records

    def decide(self, instance: int, clock_us: int, events: list[Event]) -> list[bytes]:
        controller = self.controllers.get(instance)
        if controller is None:
            return []
        try:
            return [
                encode_order(instance, command)
                for command in controller.deliver(clock_us, events)
                if not isinstance(command, ForgetHost)
            ]  # the wire keeps every host
        except Exception as error:  # the wire asks for a word on any failure of a decision
            place = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__}: {error} at {place.name}:{place.lineno}"
            return [encode_failure(instance, text)]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while (batch := read_batch(source)) is not None:
        number, clock_ms, body = batch
        write_reply(sink, number, host.reply(microseconds(clock_ms), body))


def main() -> int:
    gc.freeze()
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
