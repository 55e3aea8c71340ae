"""Received bytes become lines, wherever they are cut and whatever room there is."""

from support.protocol_lines import LINES

from plankroute.net.process.errors import Rejection
from plankroute.net.proxies.line_reader import LineReader
from plankroute.net.proxies.ring_buffer import MemoryPool


def cut(
    pieces: list[bytes], max_line_bytes: int = 200, pool_bytes: int = 1 << 20
) -> list[bytes | Rejection]:
    reader = LineReader(max_line_bytes, MemoryPool(pool_bytes))
    return [line for piece in pieces for line in reader.feed(piece)]


def test_lines_are_the_same_wherever_the_bytes_are_cut() -> None:
    text = b"\r\n".join(
        [*LINES, b"\xff\x00 garbage", b"x" * 300, b"", b"probe", b"y" * 9000, b"probe", b""]
    )
    expected = cut([text])
    assert [line for line in expected if isinstance(line, bytes)][:6] == [
        line + b"\r" for line in LINES
    ]
    assert sum(isinstance(line, Rejection) for line in expected) == 2 and expected[-1] == b"probe\r"
    for at in range(len(text)):
        assert cut([text[:at], text[at:]]) == expected
    assert cut([text[at : at + 1] for at in range(len(text))]) == expected


def test_lack_of_memory_costs_a_line_and_no_more() -> None:
    long_line = b"z" * 5000 + b"\r\n"
    pieces = [long_line, b"probe\r\n", long_line, b"probe\r\n"]
    lines = cut(pieces, max_line_bytes=1 << 20, pool_bytes=2048)
    assert [type(line) for line in lines] == [Rejection, bytes, Rejection, bytes]
