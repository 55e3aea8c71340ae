"""Other controllers: links, membership datagrams, warm start."""
