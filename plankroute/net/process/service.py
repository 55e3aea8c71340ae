"""The controller process: assembles its parts, runs them and shuts them down on a signal."""

import asyncio
import errno
import gc
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from plankroute.config.file_reader import FileReader, read_file
from plankroute.controller.controller import Controller
from plankroute.controller.message_builder import MessageBuilder
from plankroute.events.facts import StartFacts
from plankroute.events.settings import SettingsError
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.watch import Discovery
from plankroute.net.probing.prober import HealthChecker
from plankroute.net.process.clock import Clock
from plankroute.net.process.configuration import Configuration, parse_configuration
from plankroute.net.process.core_runner import CoreOutputs, CoreRunner
from plankroute.net.process.startup_file import read_startup_file
from plankroute.net.process.startup_signals import (
    ignore_signals,
    install_startup_handlers,
    take_pending_reload,
)
from plankroute.net.process.telemetry import EventLog, Telemetry, to_stderr
from plankroute.net.proxies.admission import Admission
from plankroute.net.proxies.line_codec import MessageEncoder
from plankroute.net.proxies.listener import Listener
from plankroute.net.proxies.sender import MessageSender
from plankroute.net.proxies.sessions import Sessions
from plankroute.units import SECOND_US

if TYPE_CHECKING:
    from plankroute.config.feature_file import FeatureFile
    from plankroute.net.process.optional_features import OptionalFeatures

# Names the feature file; without one, all optional features are off.
FEATURE_FILE_VARIABLE = "PLANKROUTE_FILE"
# Retries of a listening address that is in use. Operators abort a start after 30 s.
OPEN_TIMEOUT_S = 25.0
OPEN_RETRY_INTERVAL_S = 0.1
SWEEP_INTERVAL_S = 0.25  # short compared to the seconds allowed to unidentified connections
CONFIGURATION_ERRORS = (KeyError, OSError, SettingsError)  # raised for an invalid configuration
# Fields of the configuration that can't change while the process runs.
RESTART_FIELDS = ("listen", "facts", "zones", "machine_types", "request_classes")
# For the last log lines: well within the 0.7 s that operators allow after SIGTERM.
LOG_FLUSH_TIMEOUT_S = 0.15
FEATURES_CLOSE_TIMEOUT_S = 0.45  # for all optional features together
# Factor on the longest deadline: no answered attempt can have taken longer.
LATENCY_MARGIN = 2


class Service:
    """All parts of the controller process, and its life cycle.

    Args:
        configuration: The configuration from operators.
        telemetry: Counters and log.
        feature_file: Enables optional features; None: all are off, and their code is not imported.
    """

    def __init__(
        self,
        configuration: Configuration,
        telemetry: Telemetry,
        feature_file: "FeatureFile | None" = None,
    ) -> None:
        self.configuration = configuration
        self.telemetry = telemetry
        self.stop = asyncio.Event()
        self.signals: dict[signal.Signals, Callable[[], None]] = {
            signal.SIGTERM: self.stop.set,
            signal.SIGINT: self.stop.set,
            signal.SIGUSR1: telemetry.log_counters,
            signal.SIGHUP: self.reload,
        }
        self.clock = Clock()
        self.directory = Directory(
            self.clock,
            configuration.zones,
            configuration.machine_types,
            configuration.request_classes,
        )
        self.core = self._build_core()
        self.listener = self._build_listener()
        self.optional_features = self._build_optional_features(feature_file)
        self.discovery = self._build_discovery()
        self.prober = self._build_prober()
        self.core.outputs = self._build_outputs()
        if self.optional_features:
            self.optional_features.attach(self.core.controller, self.directory, self.discovery)

    def _build_core(self) -> CoreRunner:
        configuration = self.configuration
        return CoreRunner(
            Controller(configuration.facts, configuration.seed),
            MessageBuilder(len(configuration.request_classes)),
            self.clock,
            self.telemetry,
            configuration.min_batch_interval_us,
        )

    def _build_listener(self) -> Listener:
        facts = self.configuration.facts
        submit = self.core.submit
        admission = Admission(self.directory, facts.proxy_count, _max_latency_us(facts))
        max_ack_s = self.core.controller.publisher.flow.max_acknowledgement_us / SECOND_US
        sessions = Sessions(admission.joined, self.telemetry, max_ack_s, submit)
        return Listener(admission, sessions, self.telemetry, self.configuration.limits, submit)

    def _build_discovery(self) -> Discovery:
        configuration = self.configuration
        make = self.optional_features.make_discovery if self.optional_features else Discovery
        return make(
            configuration.discovery,
            configuration.limits.list_bytes,
            self.directory,
            self.telemetry,
            configuration.seed,
            configuration.facts.must_subscribe,
            self.core.submit,
        )

    def _build_prober(self) -> HealthChecker:
        make = self.optional_features.make_prober if self.optional_features else HealthChecker
        return make(
            self.configuration.facts,
            self.directory,
            self.clock,
            self.telemetry,
            self.configuration.connect_timeout_us,
            self.listener.table.health_check_capacity,
            self.core.submit,
        )

    def _build_outputs(self) -> CoreOutputs:
        encoder = MessageEncoder(self.configuration.request_classes, self.directory.uid)
        sender = MessageSender(self.listener.sessions, encoder, self.telemetry)
        return CoreOutputs(
            send_message=sender.send,
            check_health=self.prober.check,
            request_list=self.discovery.request_list,
            forget_host=self.directory.forget,
        )

    def _build_optional_features(
        self, feature_file: "FeatureFile | None"
    ) -> "OptionalFeatures | None":
        if feature_file is None:
            return None
        # Imported here, so that a bare start spends neither time nor memory on it.
        from plankroute.net.process.optional_features import OptionalFeatures

        return OptionalFeatures(feature_file, self.configuration, self.telemetry, self.core.submit)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT arrives.

        Raises:
            OSError: The listening address can't be bound.
        """
        self._handle_signals()
        if self.configuration.facts.slices:
            self.telemetry.log_once("unsupported_slices")
        self.discovery.start(self.configuration.initial_list)
        if self.optional_features:
            await self.optional_features.load_snapshot()
        # Give the core its initial list before the controller answers liveness checks.
        self.core.flush()
        if await self._open():
            await self._serve()
        self.prober.close()
        self.listener.close()
        if self.optional_features:
            await self._close_optional_features(self.optional_features)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number, handler in self.signals.items():
            loop.add_signal_handler(number, handler)
        loop.set_exception_handler(self._on_loop_error)
        if take_pending_reload():
            self.reload()

    async def _serve(self) -> None:
        """Runs periodic work and the optional features until the stop signal."""
        self.telemetry.log.event(
            "info",
            "listening",
            address=self.configuration.listen,
            hosts=len(self.directory.hosts),
        )
        sweep_task = asyncio.create_task(self._sweep_forever())
        if self.optional_features:
            self.optional_features.start()
        await self.stop.wait()
        sweep_task.cancel()

    async def _close_optional_features(self, optional_features: "OptionalFeatures") -> None:
        """Closes the optional features; a slow or failing one must not delay the shutdown."""
        try:
            async with asyncio.timeout(FEATURES_CLOSE_TIMEOUT_S):
                await optional_features.close()
        except TimeoutError:
            self.telemetry.log_once("features_cut_short")
        except Exception as error:
            self.telemetry.record_failure("features", error)

    def reload(self) -> None:
        """Reads the configuration and the feature file again and applies what can change.

        An invalid configuration, or that of another controller, is logged and changes nothing.
        Fields that need a restart keep their values and are named in the log.
        """
        try:
            new = read_configuration()
            feature_file = read_features()
            if new.name != self.configuration.name:
                raise SettingsError(f"the configuration names controller {new.name}, not this one")
        except CONFIGURATION_ERRORS as error:
            self.telemetry.count("dropped.configurations")
            reason = f"{type(error).__name__}: {error}"
            self.telemetry.log.event("error", "reload_failed", why=reason)
            return
        unchanged = self._fields_that_need_a_restart(new, feature_file)
        discovery_changed = new.discovery != self.configuration.discovery
        self.configuration = replace(self.configuration, discovery=new.discovery, limits=new.limits)
        self.listener.set_limits(new.limits)
        self.discovery.set_max_list_bytes(new.limits.list_bytes)
        if discovery_changed:
            self.discovery.change_address(new.discovery)
        self.telemetry.count("received.configurations")
        level = "warning" if unchanged else "info"
        self.telemetry.log.event(level, "reloaded", discovery=new.discovery, kept=unchanged)

    def _fields_that_need_a_restart(
        self, new: Configuration, feature_file: "FeatureFile | None"
    ) -> list[str]:
        names = [
            name
            for name in RESTART_FIELDS
            if getattr(new, name) != getattr(self.configuration, name)
        ]
        if self.optional_features:
            names += self.optional_features.reload(feature_file)
        elif feature_file is not None:
            names.append("feature file")
        return names

    async def _open(self) -> bool:
        """Opens the listening address.

        Retries while the address is in use, since the previous process may not have exited yet.

        Returns:
            False if a signal stopped the service first.

        Raises:
            OSError: The address can't be bound, or was in use for `OPEN_TIMEOUT_S`.
        """
        end = time.monotonic() + OPEN_TIMEOUT_S
        while not self.stop.is_set():
            try:
                await self.listener.open(self.configuration.listen)
                return True
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > end:
                    raise
                self.telemetry.log_once("address_in_use")
                await asyncio.sleep(OPEN_RETRY_INTERVAL_S)
        return False

    def _on_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs an error that no task handled, such as a lack of descriptors; the loop goes on."""
        self.telemetry.count("loop.failed")
        reason = f"{context.get('message')}: {context.get('exception')!r}"
        self.telemetry.log.event("error", "loop_failed", why=reason)

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.listener.table.sweep()


def _max_latency_us(facts: StartFacts) -> int:
    """Returns an upper bound of the mean latency of answered attempts, in microseconds.

    0 without request classes.
    """
    deadlines_us = [request_class.deadline_us for request_class in facts.request_classes]
    return LATENCY_MARGIN * max(deadlines_us, default=0)


def read_configuration(read: FileReader = read_file) -> Configuration:
    """Reads the configuration from the file that ``GW_CONFIG`` names.

    Raises:
        KeyError: ``GW_CONFIG`` is not set.
        OSError: The file cannot be read.
        SettingsError: The configuration is invalid; the message is one line.
    """
    return parse_configuration(read(os.environ["GW_CONFIG"]))


def read_features(read: FileReader = read_file) -> "FeatureFile | None":
    """Reads the feature file that ``PLANKROUTE_FILE`` names.

    Returns:
        None if the variable is unset or empty.

    Raises:
        SettingsError: The file can't be read or is invalid; the message is one line.
    """
    if not (path := os.environ.get(FEATURE_FILE_VARIABLE)):
        return None
    from plankroute.config.feature_file import read_feature_file

    return read_feature_file(path, read)


async def run_until_stopped(service: Service) -> None:
    """Runs the service; afterwards its signals are blocked and ignored."""
    await service.run()
    # Block the signals while they change handlers: the default action would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, service.signals)
    for number in service.signals:
        asyncio.get_running_loop().remove_signal_handler(number)
    ignore_signals()


def main() -> int:
    """Runs one controller until SIGTERM or SIGINT.

    Returns:
        The exit status: 0 after a clean end, 1 if the listening address could not be bound, 2 if
        the configuration or the feature file is invalid.
    """
    install_startup_handlers()
    take_pending_reload()  # a SIGHUP before this point needs no reload: the files are read below
    try:
        configuration = read_configuration(read_startup_file)
    except CONFIGURATION_ERRORS as error:
        return _usage_error("GW_CONFIG", f"{type(error).__name__}: {error}")
    try:
        feature_file = read_features(read_startup_file)
    except SettingsError as error:
        return _usage_error(FEATURE_FILE_VARIABLE, str(error))
    return _run(configuration, feature_file)


def _usage_error(variable: str, reason: str) -> int:
    print(f"plankroute: {variable} can't be used: {reason}", file=sys.stderr)
    return 2


def _run(configuration: Configuration, feature_file: "FeatureFile | None") -> int:
    log = EventLog(configuration.name, to_stderr)
    telemetry = Telemetry(log)
    try:
        gc.freeze()
        asyncio.run(run_until_stopped(Service(configuration, telemetry, feature_file)))
    except OSError as error:
        log.event("error", "start_failed", why=str(error))
        log.finish(LOG_FLUSH_TIMEOUT_S)
        return 1
    telemetry.log_counters()
    log.event("info", "ended")
    log.finish(LOG_FLUSH_TIMEOUT_S)
    return 0
