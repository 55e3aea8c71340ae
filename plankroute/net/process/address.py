"""Addresses as the platform writes them: host, colon, port."""


def host_and_port(text: str) -> tuple[str, int]:
    """Raises ValueError where it is no address."""
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address")
    return host, int(port)
