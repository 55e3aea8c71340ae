"""Received bytes are split into lines, for any fragmentation and with little buffer memory."""

from support.protocol_lines import LINES

from plankroute.net.process.errors import Rejection
from plankroute.net.proxies.line_reader import LineReader
from plankroute.net.proxies.ring_buffer import MemoryPool


def read_lines(
    pieces: list[bytes], max_line_bytes: int = 200, pool_bytes: int = 1 << 20
) -> list[bytes | Rejection]:
    reader = LineReader(max_line_bytes, MemoryPool(pool_bytes))
    return [line for piece in pieces for line in reader.feed(piece)]


def test_lines_do_not_depend_on_how_the_bytes_are_fragmented() -> None:
    text = b"\r\n".join(
        [*LINES, b"\xff\x00 garbage", b"x" * 300, b"", b"probe", b"y" * 9000, b"probe", b""]
    )
    expected = read_lines([text])
    assert [line for line in expected if isinstance(line, bytes)][:6] == [
        line + b"\r" for line in LINES
    ]
    assert sum(isinstance(line, Rejection) for line in expected) == 2 and expected[-1] == b"probe\r"
    for at in range(len(text)):
        assert read_lines([text[:at], text[at:]]) == expected
    assert read_lines([text[at : at + 1] for at in range(len(text))]) == expected


def test_a_lack_of_buffer_memory_rejects_only_the_line_that_does_not_fit() -> None:
    long_line = b"z" * 5000 + b"\r\n"
    pieces = [long_line, b"probe\r\n", long_line, b"probe\r\n"]
    lines = read_lines(pieces, max_line_bytes=1 << 20, pool_bytes=2048)
    assert [type(line) for line in lines] == [Rejection, bytes, Rejection, bytes]


# While other connections had used up the memory, the lines after a skipped one were lost, and all
# later ones.
def test_lines_after_a_skipped_one_are_read_although_memory_is_still_short() -> None:
    pool = MemoryPool(2048)
    other, reader = LineReader(8192, pool), LineReader(8192, pool)
    assert not list(other.feed(b"x" * 1500))  # takes all memory
    (rejection,) = reader.feed(b"y" * 100)
    assert isinstance(rejection, Rejection) and not rejection.breaks_framing
    probe, rejection = reader.feed(b"yy\r\nprobe\r\nack")
    assert probe == b"probe\r" and isinstance(rejection, Rejection)
    assert list(reader.feed(b" node=1\r\nprobe\r\n")) == [b"probe\r"]
    assert list(reader.feed(b"probe\r\n")) == [b"probe\r"]
