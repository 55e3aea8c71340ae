"""Endpoint lists in discovery's JSON, and directories that have taken one."""

from plankroute.net.discovery.catalogue import list_from
from plankroute.net.discovery.directory import Directory
from plankroute.net.process.clock import Clock


def host_json(
    uid: str, state: str = "SERVING", az: str = "a", boot_ms: float = 0, **other: object
) -> dict:
    """Returns a host as discovery lists it; `other` replaces any field."""
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:1",
        "az": az,
        "model": "m2",
        "pod_group": 3,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
        **other,
    }


def list_json(*members: dict, rev: int = 41, whole: bool = True) -> dict:
    """Returns a list as discovery sends it."""
    return {"rev": rev, "all": whole, "targets": list(members)}


def new_directory(clock: Clock | None = None) -> Directory:
    """Returns a directory without hosts."""
    return Directory(clock or Clock(), ("a", "b"), ("m1", "m2"), ("lookup", "order"))


def directory_of(*uids: str) -> Directory:
    known = new_directory()
    known.apply_list(list_from(list_json(*map(host_json, uids))))
    return known
