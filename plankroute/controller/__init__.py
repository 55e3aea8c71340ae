"""Entry point of a controller, and the messages that its commands become."""
