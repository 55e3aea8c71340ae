"""Parsing of network addresses written as `host:port`."""

PORT_COUNT = 65536


def host_and_port(text: str) -> tuple[str, int]:
    """Splits an address at its last colon into host and port number.

    Raises:
        ValueError: The host is empty, or the port is not an integer from 0 to 65535.
    """
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < PORT_COUNT:
        raise ValueError(f"{text!r} is not a host:port address")
    return host, int(port)
