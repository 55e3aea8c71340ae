"""Encodes the commands of an instance (a controller) as records of a reply."""

import struct
from enum import IntEnum

from plankroute.events import commands

ALL_TABLES = 0xFFFF
ALL_PEERS = 0xFFFF
ALL_REQUEST_CLASSES = 0  # an empty bit set stands for all
MAX_TEXT_BYTES = 60_000  # well below the 65,535 that fit the length field


class CommandCode(IntEnum):
    """Codes of command records, named as in the simulator's protocol specification."""

    RESET_TABLE = 64
    SET_ALARM = 65
    GET_LIST = 66
    ATTACH_TABLE = 67
    VALVE = 68
    MEMO_TO = 69
    TOUCH = 70
    TRACE = 71
    HOLD_BACK = 72
    FENCE_POST = 73
    TAIL = 74
    UPSERT = 75
    BUG = 76


# Layouts of the records. Each begins with the command code and the instance number.
RESET_TABLE = struct.Struct("<BHH")
SET_ALARM = struct.Struct("<BHdI")
GET_LIST = struct.Struct("<BH")
ATTACH_TABLE = struct.Struct("<BHHHH")
VALVE = struct.Struct("<BHHBHf")
MEMO_TO = struct.Struct("<BHHH")
TOUCH = struct.Struct("<BHI")
TEXT = struct.Struct("<BHH")
HOLD_BACK = struct.Struct("<BHIB")
FENCE_POST = struct.Struct("<BHQB")
TAIL = struct.Struct("<BHB")
UPSERT = struct.Struct("<BHHIf")


def encode_command(  # noqa: C901, PLR0911, PLR0912 - one case a command
    instance: int, command: commands.Command
) -> bytes:
    """Encodes one command.

    Raises:
        TypeError: The protocol has no record for the command: a `ForgetHost` or a `PingProxy`.
    """
    match command:
        case commands.SetRoute():
            return UPSERT.pack(
                CommandCode.UPSERT, instance, command.table, command.host, command.weight
            )
        case commands.SetTimer():
            after_ms = command.after_us / 1000
            return SET_ALARM.pack(CommandCode.SET_ALARM, instance, after_ms, command.token)
        case commands.BindProxy():
            classes = _class_bits(command.request_classes)
            return ATTACH_TABLE.pack(
                CommandCode.ATTACH_TABLE, instance, command.table, command.proxy, classes
            )
        case commands.RequestAcknowledgement():
            return FENCE_POST.pack(
                CommandCode.FENCE_POST, instance, command.sequence_number, command.all_proxies
            )
        case commands.CheckHealth():
            return TOUCH.pack(CommandCode.TOUCH, instance, command.host)
        case commands.WithdrawHost():
            return HOLD_BACK.pack(CommandCode.HOLD_BACK, instance, command.host, command.withdrawn)
        case commands.SetAdmissionLimit():
            table = ALL_TABLES if command.table is commands.ALL_TABLES else command.table
            classes = _class_bits(command.request_classes)
            return VALVE.pack(
                CommandCode.VALVE, instance, table, command.retry, classes, command.limit
            )
        case commands.PollHostList():
            return GET_LIST.pack(CommandCode.GET_LIST, instance)
        case commands.SubscribeHostList():
            return TAIL.pack(CommandCode.TAIL, instance, command.enabled)
        case commands.ClearTable():
            return RESET_TABLE.pack(CommandCode.RESET_TABLE, instance, command.table)
        case commands.SendToPeer():
            peer = ALL_PEERS if command.peer is commands.ALL_PEERS else command.peer
            header = MEMO_TO.pack(CommandCode.MEMO_TO, instance, peer, len(command.data))
            return header + command.data
        case commands.LogMessage():
            return _encode_text(CommandCode.TRACE, instance, command.text)
        case commands.ForgetHost():
            raise TypeError("ForgetHost has no record: the simulator never drops a host")
        case commands.PingProxy():
            raise TypeError("PingProxy has no record: no acknowledgement is rejected here")


def encode_failure(instance: int, text: str) -> bytes:
    """Encodes the failure of an instance and its cause; the simulator then ends the run."""
    return _encode_text(CommandCode.BUG, instance, text)


def _class_bits(request_classes: tuple[int, ...] | None) -> int:
    if request_classes is None:
        return ALL_REQUEST_CLASSES
    return sum(1 << request_class for request_class in request_classes)


def _encode_text(code: CommandCode, instance: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return TEXT.pack(code, instance, len(data)) + data
