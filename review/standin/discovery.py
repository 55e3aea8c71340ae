"""A stand-in for the discovery agent on a steward's machine, as the protocol page describes it."""

import asyncio
import json
from typing import Any

from standin.record import Record

KEEPALIVE_S = 2.0  # an empty line arrives every 2 s while nothing changes
Entry = dict[str, Any]


def entry(
    uid: str, endpoint: str, zone: str, model: str, state: str = "SERVING", boot_ms: int = 0
) -> Entry:
    """Returns an entry of the list."""
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": zone,
        "model": model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


class Discovery:
    """Holds the list and its changes, and tells them to the watches of one steward.

    Attributes:
        entries: The entries by uid; a deleted host has none.
        revision: Version of the list.
        told_at: By uid, when a draining or deleted state was first written to the steward.
        silent: While set, connections are accepted and nothing is sent.
    """

    def __init__(self, record: Record, name: str, revision: int = 41) -> None:
        """Creates an agent with an empty list."""
        self.record = record
        self.name = name
        self.revision = revision
        self.entries: dict[str, Entry] = {}
        self.changes: list[tuple[int, Entry]] = []
        self.told_at: dict[str, float] = {}
        self.silent = False
        self.address = ""
        self.known_uids: set[str] = set()
        self._watches: dict[asyncio.StreamWriter, None] = {}
        self._server: asyncio.Server | None = None

    async def open(self, host: str = "127.0.0.1") -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops to listen and ends the watches."""
        if self._server:
            self._server.close()
        for writer in self._watches:
            writer.close()

    def whole(self) -> dict[str, Any]:
        """Returns the complete list."""
        return {"rev": self.revision, "all": True, "targets": list(self.entries.values())}

    def add(self, *entries: Entry) -> None:
        """Adds hosts before any steward has started."""
        for each in entries:
            self.entries[each["uid"]] = each
            self.known_uids.add(each["uid"])

    def change(self, *changed: Entry) -> None:
        """Makes one revision of these changed entries and writes it to the open watches."""
        self.revision += 1
        for each in changed:
            self.known_uids.add(each["uid"])
            self.changes.append((self.revision, each))
            self.entries[each["uid"]] = each
            if each["state"] == "DELETED":
                del self.entries[each["uid"]]
        states = ", ".join(f"{each['uid']} {each['state']}" for each in changed)
        self.record.say(f"discovery {self.name} revision {self.revision}: {states}")
        if not self.silent:
            for writer in list(self._watches):
                self._tell(writer, list(changed), whole=False)

    def _tell(self, writer: asyncio.StreamWriter, entries: list[Entry], whole: bool) -> None:
        text = {"rev": self.revision, "all": whole, "targets": entries}
        self._chunk(writer, json.dumps(text).encode() + b"\n")
        self._note_told(entries)

    def _note_told(self, entries: list[Entry]) -> None:
        for each in entries:
            if each["state"] == "SERVING":
                self.told_at.pop(each["uid"], None)
            elif each["uid"] not in self.told_at:
                self.told_at[each["uid"]] = self.record.now()
                self.record.write(f"discovery {self.name} told {each['uid']} {each['state']}")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split()[1].decode()
            while self.silent:
                await asyncio.sleep(0.05)
            if "watch=1" not in target:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                self._note_told(list(self.entries.values()))
                await writer.drain()
                return
            await self._serve_watch(int(target.split("after=")[1].split("&")[0]), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side, or the run, has ended
        finally:
            self._watches.pop(writer, None)
            writer.close()

    async def _serve_watch(self, after: int, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = min((revision for revision, _ in self.changes), default=self.revision + 1)
        if after >= first - 1 and after <= self.revision:
            missed = {each["uid"]: each for revision, each in self.changes if revision > after}
            if missed:
                self._tell(writer, list(missed.values()), whole=False)
        else:
            self._tell(writer, list(self.entries.values()), whole=True)
        self._watches[writer] = None
        while not writer.is_closing():
            await asyncio.sleep(KEEPALIVE_S)
            if not self.silent:
                self._chunk(writer, b"\n")
                await writer.drain()
