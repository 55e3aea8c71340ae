"""asyncio adapters: connections, discovery, health checks and other controllers by their protocols.

No decisions are made here.
"""
