"""The description of a group of real controllers: members, configuration files and faults."""

from typing import Any

import msgspec

from plankroute.testbed.faults import Script

JsonObject = dict[str, Any]  # a part of a configuration or of a feature file, with its own keys


class Plan(msgspec.Struct, frozen=True):
    """A group of real controllers.

    Attributes:
        members: Number of controllers.
        script: Faults that are injected.
        loopback_net: Second octet of their loopback addresses; groups that run at the same time
            need different ones.
        seeds: Members that the others contact when they start.
        started_later: Members that are started by a step of the script or by the caller, not at
            launch.
        names: By member, a name that replaces the default one.
        clock_jumps: By member, the seconds after which its wall clock jumps, and the jump in
            seconds.
        membership: Fields that are added to the feature file's membership section.
        sections: Sections that are added to the feature file.
        configuration: Fields that are added to the configuration.
        settings: Fields that are added to the configuration's settings.
        has_feature_file: Whether the controllers have a feature file.
        has_membership: Whether the feature file has a membership section.
        has_links: Whether the feature file configures links between controllers.
        has_direct_links: Whether controllers reach each other without the relays that inject
            faults. In large groups the relays would dominate what is measured.
        starts_at_once: Whether all processes wait for each other and then start simultaneously.
    """

    members: int
    script: Script
    loopback_net: int
    seeds: tuple[int, ...] = (0, 1, 2)
    started_later: tuple[int, ...] = ()
    names: dict[int, str] = {}
    clock_jumps: dict[int, tuple[float, float]] = {}
    membership: JsonObject = {}
    sections: JsonObject = {}
    configuration: JsonObject = {}
    settings: JsonObject = {}
    has_feature_file: bool = True
    has_membership: bool = True
    has_links: bool = False
    has_direct_links: bool = False
    starts_at_once: bool = False
