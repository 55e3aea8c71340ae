"""Policy of a controller: all of its decisions, with one module per mechanism."""
