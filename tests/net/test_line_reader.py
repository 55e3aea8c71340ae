"""Received bytes become lines, wherever they are cut and whatever room there is."""

from support.protocol_lines import LINES

from plankroute.net.process.errors import Rejection
from plankroute.net.proxies.line_reader import LineReader
from plankroute.net.proxies.ring_buffer import MemoryPool


def cut(pieces: list[bytes], most: int = 200, pool: int = 1 << 20) -> list[bytes | Rejection]:
    reader = LineReader(most, MemoryPool(pool))
    return [line for piece in pieces for line in reader.feed(piece)]


def test_lines_are_the_same_wherever_the_bytes_are_cut() -> None:
    text = b"\r\n".join(
        [*LINES, b"\xff\x00 garbage", b"x" * 300, b"", b"probe", b"y" * 9000, b"probe", b""]
    )
    whole = cut([text])
    assert [line for line in whole if isinstance(line, bytes)][:6] == [
        line + b"\r" for line in LINES
    ]
    assert sum(isinstance(line, Rejection) for line in whole) == 2 and whole[-1] == b"probe\r"
    for at in range(len(text)):
        assert cut([text[:at], text[at:]]) == whole
    assert cut([text[at : at + 1] for at in range(len(text))]) == whole


def test_lack_of_memory_costs_a_line_and_no_more() -> None:
    long, pool = b"z" * 5000 + b"\r\n", 2048
    assert [
        type(line) for line in cut([long, b"probe\r\n", long, b"probe\r\n"], 1 << 20, pool)
    ] == [Rejection, bytes, Rejection, bytes]
