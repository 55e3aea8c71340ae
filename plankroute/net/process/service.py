"""The real steward: puts its parts together, starts, and ends when it is told."""

import asyncio
import errno
import gc
import os
import signal
import sys
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from plankroute.controller.controller import Controller
from plankroute.controller.messages import Player
from plankroute.events.settings import StartError
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.watch import Discovery
from plankroute.net.probing.prober import Prober
from plankroute.net.process import startup_signals as early
from plankroute.net.process.clock import Clock
from plankroute.net.process.configuration import Boot, read_boot
from plankroute.net.process.router import Router
from plankroute.net.process.telemetry import Book, Log, to_stderr
from plankroute.net.proxies.admission import Admission
from plankroute.net.proxies.line_codec import Writer
from plankroute.net.proxies.listener import Listener
from plankroute.net.proxies.sender import Sender
from plankroute.net.proxies.sessions import Streams

if TYPE_CHECKING:
    from plankroute.config.feature_file import OwnFile
    from plankroute.net.process.optional_features import Extras

OWN_FILE = (
    "PLANKROUTE_FILE"  # names our own JSON file; without it all that the file switches on is off
)
OPEN_AGAIN_S, OPEN_EVERY_S = (
    25.0,
    0.1,
)  # how long, and how often, a held address is tried: 30 s end a start
SWEEP_S = 0.25  # between looks at strangers: their time is counted in seconds
UNUSABLE = (KeyError, OSError, StartError)  # what a configuration that can't be used ends in
KEPT = ("listen", "facts", "zones", "kinds", "products")  # for the life of the process
FINISH_S = 0.15  # for the last log lines: well within the 0.7 s that operators leave after SIGTERM
PARTS_END_S = 0.45  # for what our own file switched on, all together


class Service:
    """`own`: what our own file switches on; None: all off, and none of it is imported."""

    def __init__(self, boot: Boot, book: Book, own: "OwnFile | None" = None) -> None:
        self.boot, self.book, self.stop = boot, book, asyncio.Event()
        self.signals = {
            signal.SIGTERM: self.stop.set,
            signal.SIGINT: self.stop.set,
            signal.SIGUSR1: book.print,
            signal.SIGHUP: self.reload,
        }
        clock = Clock()
        self.directory = Directory(clock, boot.zones, boot.kinds, boot.products)
        self.router = Router(
            Controller(boot.facts, boot.seed),
            Player(len(boot.products)),
            clock,
            book,
            boot.gather_us,
        )
        put = self.router.put
        longest_us = 2 * max((product.expiry_us for product in boot.facts.products), default=0)
        admission = Admission(self.directory, boot.facts.proxies, longest_us)
        answer_s = (
            boot.facts.queue_cap / max(1.0, boot.facts.lines_per_s) + boot.facts.way_most_us / 1e6
        )
        streams = Streams(admission.joined, book, answer_s, put)
        self.listener = Listener(admission, streams, book, boot.room, put)
        self.extras = self.extras_of(own)
        make = self.extras.make_discovery if self.extras else Discovery
        self.discovery = make(
            boot.discovery,
            boot.room.list_bytes,
            self.directory,
            book,
            boot.seed,
            boot.facts.must_subscribe,
            put,
        )
        self.router.send = Sender(streams, Writer(boot.products, self.directory.uid), book).send
        make_prober = self.extras.make_prober if self.extras else Prober
        self.prober = make_prober(
            boot.facts,
            self.directory,
            clock,
            book,
            boot.dial_us,
            self.listener.room_for_probes,
            put,
        )
        self.router.probe = self.prober.probe
        self.router.ask, self.router.forget = self.discovery.obey, self.directory.forget
        if self.extras:
            self.extras.attach(self.router.steward, self.directory, self.discovery)

    def extras_of(self, own: "OwnFile | None") -> "Extras | None":
        if own is None:
            return None
        from plankroute.net.process.optional_features import (
            Extras,
        )  # off, it costs a bare start neither time nor memory

        return Extras(own, self.boot, self.book, self.router.put)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number, work in self.signals.items():
            loop.add_signal_handler(number, work)
        loop.set_exception_handler(self.on_loop_error)
        if early.hung_up():
            self.reload()
        if self.boot.facts.slices:
            self.book.say_once("unsupported_slices")
        self.discovery.start(self.boot.known)
        if self.extras:
            await self.extras.recall()
        self.router.flush()  # the core has its list before anybody can ask whether the steward is alive
        if await self.open():
            self.book.log.event(
                "info", "listening", address=self.boot.listen, hosts=len(self.directory.hosts)
            )
            sweeping = asyncio.create_task(self.sweep())
            if self.extras:
                self.extras.start()
            await self.stop.wait()
            sweeping.cancel()
        self.prober.close()
        self.listener.close()
        if self.extras:
            await self.close_extras(self.extras)

    async def close_extras(self, extras: "Extras") -> None:
        """Guards against a part that fails, or is slow, as it closes: the end is not held up by it."""
        try:
            async with asyncio.timeout(PARTS_END_S):
                await extras.close()
        except TimeoutError:
            self.book.say_once("parts_cut_short")
        except Exception as error:
            self.book.failed("parts", error)

    def reload(self) -> None:
        """A new configuration under load: what can change does; one that can't be used, or is another
        steward's, changes nothing."""
        try:
            new, own = read_configuration(), own_file()
            if new.name != self.boot.name:
                raise StartError(f"it is {new.name}'s")
        except UNUSABLE as error:
            self.book.count("dropped.configurations")
            self.book.log.event("error", "reload_failed", why=f"{type(error).__name__}: {error}")
            return
        kept = [name for name in KEPT if getattr(new, name) != getattr(self.boot, name)]
        kept += self.extras.reload(own) if self.extras else ["own file"] * (own is not None)
        moved = new.discovery != self.boot.discovery
        self.boot = replace(self.boot, discovery=new.discovery, room=new.room)
        self.listener.allow(new.room)
        self.discovery.allow(new.room.list_bytes)
        if moved:
            self.discovery.move(self.boot.discovery)
        self.book.count("taken.configurations")
        self.book.log.event(
            "warning" if kept else "info", "reloaded", discovery=new.discovery, kept=kept
        )

    async def open(self) -> bool:
        """Guards against a start that fails because the process before has not quite gone. False: told to end
        before that."""
        end = time.monotonic() + OPEN_AGAIN_S
        while not self.stop.is_set():
            try:
                await self.listener.open(self.boot.listen)
                return True
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > end:
                    raise
                self.book.say_once("address_in_use")
                await asyncio.sleep(OPEN_EVERY_S)
        return False

    def on_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no connection caught, such as no descriptors left for accepting: asyncio goes on by itself."""
        self.book.count("loop.failed")
        why = f"{context.get('message')}: {context.get('exception')!r}"
        self.book.log.event("error", "loop_failed", why=why)

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.listener.sweep()


def read_configuration() -> Boot:
    with open(os.environ["GW_CONFIG"], "rb") as file:
        return read_boot(file.read())


def own_file() -> "OwnFile | None":
    """Raises StartError, whose line says what is wrong."""
    if not (path := os.environ.get(OWN_FILE)):
        return None
    from plankroute.config.feature_file import read_own_file

    return read_own_file(path)


async def run_to_its_end(service: Service) -> None:
    await service.run()
    signal.pthread_sigmask(
        signal.SIG_BLOCK, service.signals
    )  # while they have no handler, a moment each
    for number in service.signals:
        asyncio.get_running_loop().remove_signal_handler(number)
    early.ignore()


def main() -> int:
    early.heed()
    early.hung_up()  # what is read from here is the newest
    try:
        boot = read_configuration()
    except UNUSABLE as error:
        print(
            f"plankroute: GW_CONFIG can't be used: {type(error).__name__}: {error}", file=sys.stderr
        )
        return 2
    try:
        own = own_file()
    except StartError as error:
        print(f"plankroute: {OWN_FILE} can't be used: {error}", file=sys.stderr)
        return 2
    log = Log(boot.name, to_stderr)
    book = Book(log)
    try:
        gc.freeze()
        asyncio.run(run_to_its_end(Service(boot, book, own)))
    except OSError as error:
        log.event("error", "start_failed", why=str(error))
        log.finish(FINISH_S)
        return 1
    book.print()
    log.event("info", "ended")
    log.finish(FINISH_S)
    return 0
