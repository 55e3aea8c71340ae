"""Health checks of hosts over HTTP."""
