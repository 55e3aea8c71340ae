"""asyncio adapters for the network: proxies, discovery, health checks and other controllers.

Decisions are made in other packages; this one does the I/O.
"""
