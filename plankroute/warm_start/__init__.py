"""What a steward knows of hosts, aged; how such views are merged; what they look like when kept. No I/O."""
