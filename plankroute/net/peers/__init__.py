"""asyncio adapters between controllers: membership datagrams, links, and snapshots of hosts."""
