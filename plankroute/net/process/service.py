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
from plankroute.controller.message_builder import MessageBuilder
from plankroute.events.settings import SettingsError
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.watch import Discovery
from plankroute.net.probing.prober import HealthChecker
from plankroute.net.process import startup_signals as early
from plankroute.net.process.clock import Clock
from plankroute.net.process.configuration import Configuration, parse_configuration
from plankroute.net.process.router import Router
from plankroute.net.process.telemetry import EventLog, Telemetry, to_stderr
from plankroute.net.proxies.admission import Admission
from plankroute.net.proxies.line_codec import Writer
from plankroute.net.proxies.listener import Listener
from plankroute.net.proxies.sender import Sender
from plankroute.net.proxies.sessions import Streams

if TYPE_CHECKING:
    from plankroute.config.feature_file import FeatureFile
    from plankroute.net.process.optional_features import OptionalFeatures

OWN_FILE = (
    "PLANKROUTE_FILE"  # names our own JSON file; without it all that the file switches on is off
)
OPEN_AGAIN_S, OPEN_EVERY_S = (
    25.0,
    0.1,
)  # how long, and how often, a held address is tried: 30 s end a start
SWEEP_S = 0.25  # between looks at strangers: their time is counted in seconds
UNUSABLE = (KeyError, OSError, SettingsError)  # what a configuration that can't be used ends in
KEPT = ("listen", "facts", "zones", "kinds", "products")  # for the life of the process
FINISH_S = 0.15  # for the last log lines: well within the 0.7 s that operators leave after SIGTERM
PARTS_END_S = 0.45  # for what our own file switched on, all together


class Service:
    """`own`: what our own file switches on; None: all off, and none of it is imported."""

    def __init__(
        self, configuration: Configuration, telemetry: Telemetry, own: "FeatureFile | None" = None
    ) -> None:
        self.configuration, self.telemetry, self.stop = configuration, telemetry, asyncio.Event()
        self.signals = {
            signal.SIGTERM: self.stop.set,
            signal.SIGINT: self.stop.set,
            signal.SIGUSR1: telemetry.print,
            signal.SIGHUP: self.reload,
        }
        clock = Clock()
        self.directory = Directory(
            clock, configuration.zones, configuration.kinds, configuration.products
        )
        self.router = Router(
            Controller(configuration.facts, configuration.seed),
            MessageBuilder(len(configuration.products)),
            clock,
            telemetry,
            configuration.gather_us,
        )
        put = self.router.put
        longest_us = 2 * max(
            (product.deadline_us for product in configuration.facts.request_classes), default=0
        )
        admission = Admission(self.directory, configuration.facts.proxy_count, longest_us)
        answer_s = (
            configuration.facts.backlog_cap_lines
            / max(1.0, configuration.facts.channel_lines_per_s)
            + configuration.facts.max_one_way_delay_us / 1e6
        )
        streams = Streams(admission.joined, telemetry, answer_s, put)
        self.listener = Listener(admission, streams, telemetry, configuration.room, put)
        self.optional_features = self.build_optional_features(own)
        make = self.optional_features.make_discovery if self.optional_features else Discovery
        self.discovery = make(
            configuration.discovery,
            configuration.room.list_bytes,
            self.directory,
            telemetry,
            configuration.seed,
            configuration.facts.must_subscribe,
            put,
        )
        self.router.send = Sender(
            streams, Writer(configuration.products, self.directory.uid), telemetry
        ).send
        make_prober = (
            self.optional_features.make_prober if self.optional_features else HealthChecker
        )
        self.prober = make_prober(
            configuration.facts,
            self.directory,
            clock,
            telemetry,
            configuration.dial_us,
            self.listener.room_for_probes,
            put,
        )
        self.router.probe = self.prober.check
        self.router.ask, self.router.forget = self.discovery.obey, self.directory.forget
        if self.optional_features:
            self.optional_features.attach(self.router.controller, self.directory, self.discovery)

    def build_optional_features(self, own: "FeatureFile | None") -> "OptionalFeatures | None":
        if own is None:
            return None
        from plankroute.net.process.optional_features import (
            OptionalFeatures,
        )  # off, it costs a bare start neither time nor memory

        return OptionalFeatures(own, self.configuration, self.telemetry, self.router.put)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number, work in self.signals.items():
            loop.add_signal_handler(number, work)
        loop.set_exception_handler(self.on_loop_error)
        if early.hung_up():
            self.reload()
        if self.configuration.facts.slices:
            self.telemetry.log_once("unsupported_slices")
        self.discovery.start(self.configuration.known)
        if self.optional_features:
            await self.optional_features.recall()
        self.router.flush()  # the core has its list before anybody can ask whether the steward is alive
        if await self.open():
            self.telemetry.log.event(
                "info",
                "listening",
                address=self.configuration.listen,
                hosts=len(self.directory.hosts),
            )
            sweeping = asyncio.create_task(self.sweep())
            if self.optional_features:
                self.optional_features.start()
            await self.stop.wait()
            sweeping.cancel()
        self.prober.close()
        self.listener.close()
        if self.optional_features:
            await self.close_optional_features(self.optional_features)

    async def close_optional_features(self, optional_features: "OptionalFeatures") -> None:
        """Guards against a part that fails, or is slow, as it closes: the end is not held up by it."""
        try:
            async with asyncio.timeout(PARTS_END_S):
                await optional_features.close()
        except TimeoutError:
            self.telemetry.log_once("parts_cut_short")
        except Exception as error:
            self.telemetry.failed("parts", error)

    def reload(self) -> None:
        """A new configuration under load: what can change does; one that can't be used, or is another
        steward's, changes nothing."""
        try:
            new, own = read_configuration(), own_file()
            if new.name != self.configuration.name:
                raise SettingsError(f"it is {new.name}'s")
        except UNUSABLE as error:
            self.telemetry.count("dropped.configurations")
            self.telemetry.log.event(
                "error", "reload_failed", why=f"{type(error).__name__}: {error}"
            )
            return
        kept = [name for name in KEPT if getattr(new, name) != getattr(self.configuration, name)]
        kept += (
            self.optional_features.reload(own)
            if self.optional_features
            else ["own file"] * (own is not None)
        )
        moved = new.discovery != self.configuration.discovery
        self.configuration = replace(self.configuration, discovery=new.discovery, room=new.room)
        self.listener.allow(new.room)
        self.discovery.allow(new.room.list_bytes)
        if moved:
            self.discovery.move(self.configuration.discovery)
        self.telemetry.count("taken.configurations")
        self.telemetry.log.event(
            "warning" if kept else "info", "reloaded", discovery=new.discovery, kept=kept
        )

    async def open(self) -> bool:
        """Guards against a start that fails because the process before has not quite gone. False: told to end
        before that."""
        end = time.monotonic() + OPEN_AGAIN_S
        while not self.stop.is_set():
            try:
                await self.listener.open(self.configuration.listen)
                return True
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > end:
                    raise
                self.telemetry.log_once("address_in_use")
                await asyncio.sleep(OPEN_EVERY_S)
        return False

    def on_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no connection caught, such as no descriptors left for accepting: asyncio goes on by itself."""
        self.telemetry.count("loop.failed")
        why = f"{context.get('message')}: {context.get('exception')!r}"
        self.telemetry.log.event("error", "loop_failed", why=why)

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.listener.sweep()


def read_configuration() -> Configuration:
    with open(os.environ["GW_CONFIG"], "rb") as file:
        return parse_configuration(file.read())


def own_file() -> "FeatureFile | None":
    """Raises StartError, whose line says what is wrong."""
    if not (path := os.environ.get(OWN_FILE)):
        return None
    from plankroute.config.feature_file import read_feature_file

    return read_feature_file(path)


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
        configuration = read_configuration()
    except UNUSABLE as error:
        print(
            f"plankroute: GW_CONFIG can't be used: {type(error).__name__}: {error}", file=sys.stderr
        )
        return 2
    try:
        own = own_file()
    except SettingsError as error:
        print(f"plankroute: {OWN_FILE} can't be used: {error}", file=sys.stderr)
        return 2
    log = EventLog(configuration.name, to_stderr)
    telemetry = Telemetry(log)
    try:
        gc.freeze()
        asyncio.run(run_to_its_end(Service(configuration, telemetry, own)))
    except OSError as error:
        log.event("error", "start_failed", why=str(error))
        log.finish(FINISH_S)
        return 1
    telemetry.print()
    log.event("info", "ended")
    log.finish(FINISH_S)
    return 0
