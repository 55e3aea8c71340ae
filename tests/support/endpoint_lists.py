"""Endpoint lists in the JSON format of discovery, and directories that have applied one."""

from plankroute.net.discovery.catalogue import list_from
from plankroute.net.discovery.directory import Directory
from plankroute.net.process.clock import Clock


def host_json(
    uid: str, state: str = "SERVING", az: str = "a", boot_ms: float = 0, **other: object
) -> dict:
    """Returns a host as discovery lists it; `other` replaces or adds fields."""
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
    """Returns an endpoint list as discovery sends it; without `whole`, the changes of one."""
    return {"rev": rev, "all": whole, "targets": list(members)}


def new_directory(clock: Clock | None = None) -> Directory:
    """Returns a directory without hosts."""
    return Directory(clock or Clock(), ("a", "b"), ("m1", "m2"), ("lookup", "order"))


def directory_of(*uids: str) -> Directory:
    """Returns a directory that has applied a list of these hosts."""
    directory = new_directory()
    directory.apply_list(list_from(list_json(*map(host_json, uids))))
    return directory
