"""The steward on sockets: streams, collectors, discovery and hosts met by their protocol. No decisions."""
