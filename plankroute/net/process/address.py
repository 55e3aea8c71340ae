"""Addresses as the platform writes them: host, colon, port."""

PORT_COUNT = 65536


def host_and_port(text: str) -> tuple[str, int]:
    """Splits an address; raises ValueError where the text is none."""
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < PORT_COUNT:
        raise ValueError(f"{text!r} is no address")
    return host, int(port)
