"""A start of many stewards at once that spares the list service and the hosts: decisions without I/O or
clocks."""
