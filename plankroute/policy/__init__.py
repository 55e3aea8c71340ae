"""Every decision of a controller, one module a mechanism."""
