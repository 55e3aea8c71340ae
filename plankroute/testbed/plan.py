"""What a group of real controllers is: who they are, their files, and what befalls them."""

from typing import Any

import msgspec

from plankroute.testbed.faults import Script

JsonObject = dict[str, Any]  # a part of a configuration or of a feature file, in their own words


class Plan(msgspec.Struct, frozen=True):
    """A group of real controllers.

    Attributes:
        members: How many.
        script: What befalls them.
        loopback_net: Second byte of their loopback addresses; each group that runs has its own.
        seeds: Members that the others ask at their start.
        started_later: Members that are not started until a step says so.
        names: By member, a name other than its usual one.
        clock_jumps: By member, after how many seconds its wall clock jumps, and by how many.
        membership: More of the feature file's membership section.
        sections: More sections of the feature file.
        configuration: More of the configuration.
        settings: More of the settings in it.
        has_feature_file: Whether there is a feature file at all.
        has_membership: Whether it has a membership section.
        has_links: Whether it has links between controllers.
        has_direct_links: No faulty links: for sizes at which they would be what is measured.
        starts_at_once: All processes wait, and start at one moment.
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
