"""Integer slots of the routing tables."""

import math
from typing import Any

from plankroute.events.facts import StartFacts
from plankroute.policy.host_table import HostTable
from plankroute.state.host_statistics import NO_CAP, group_by
from plankroute.state.proxy_registry import (
    PublishedTable,
    round_preserving_sum,
)


class Table(PublishedTable):
    SLOTS_A_HOST = 32  # steps of 3% of a usual weight: finer ones cost lines and move nothing
    LEAST_HOSTS = 24  # warm ones in a table of a part: fewer would hang on single hosts

    def subset(
        self, host_table: HostTable, able: list[int], part: float, start: float
    ) -> list[int]:
        """An arc of a ring: stewards' arcs lie beside each other, so each host is in as many tables as any
        other, and one that comes or goes moves the arc's ends alone; each zone's kinds are spread evenly."""
        listed_weight = sorted(
            (i for i in host_table.ready() if self.admits(host_table, i)),
            key=lambda i: host_table.name_order[i],
        )
        kins = group_by(
            listed_weight, lambda i: (host_table.zone[i], host_table.machine_type[i])
        )  # the same at every steward
        ring = [
            i
            for *_, i in sorted(
                ((n + 0.5) / len(kin), k, i)
                for k, kin in enumerate(kins)
                for n, i in enumerate(kin)
            )
        ]
        ring = ring[(at := int(start * len(ring))) :] + ring[:at]
        open_to = set(able)
        warm = [
            i
            for i in ring
            if i in open_to and host_table.weight_cap[i] == NO_CAP and not host_table.ejected[i]
        ]
        most, least = math.ceil(part * len(warm)), self.LEAST_HOSTS
        if len(warm) < 2 * least > 2 * most or most >= len(warm):
            return able  # widened to over a half it would save little
        most = max(most, least)
        return sorted(open_to.intersection(ring[: ring.index(warm[most - 1]) + 1]))

    def slots(
        self, host_table: HostTable, out: set[int], part: float = 1.0, start: float = 0.0
    ) -> dict[int, int]:
        """Floor of each share, the missing ones to the largest remainders; each open host keeps one."""
        able = [
            i
            for i in host_table.ready()
            if host_table.weight_cap[i] and i not in out and self.admits(host_table, i)
        ]
        able = self.subset(host_table, able, part, start) if part < 1 else able
        hosts, suspects = (
            [i for i in able if not host_table.ejected[i]],
            [i for i in able if host_table.ejected[i]],
        )
        if 2 * sum(host_table.weight_cap[i] == NO_CAP for i in hosts) <= len(suspects):
            # Guards against a bare proxy, and against all txns on a few hosts, or on ones still cold.
            hosts += [i for i in suspects if not host_table.unreachable[i]]
        hosts = hosts or suspects
        weights = {i: host_table.capped_weight(i) for i in hosts}
        # Those that stay keep their slots together, so that one that comes or goes moves no other's.
        stay = [i for i in hosts if i in self.published and host_table.weight_cap[i] == NO_CAP]
        scale = (
            sum(self.published[i] for i in stay) / sum(weights[i] for i in stay) if stay else 0.0
        )
        usual = self.SLOTS_A_HOST * len(hosts) / sum(weights.values()) if hosts else 0.0
        if not usual / 2 < scale < 2 * usual:
            scale = usual
        exact = {i: weight * scale for i, weight in weights.items()}
        for i in self.published.keys() & exact.keys():
            host_table.effective_weight[i] = self.published[i] / scale
        return {i: max(1, count) for i, count in round_preserving_sum(exact).items()}


def tables_for(
    facts: StartFacts,
) -> list[Table]:  # one; others for products that may not use every host
    tables: dict[tuple[Any, ...], Table] = {}
    for index, product in enumerate(facts.request_classes):
        for zone in range(facts.zones) if product.stays_in_zone else (None,):
            open_to = (
                product.zones
                if zone is None
                else (zone,)
                if zone in (product.zones or (zone,))
                else ()
            )
            key = (open_to, product.machine_types, zone)
            tables.setdefault(key, Table(len(tables), *key)).products.append(index)
    return list(tables.values())
