"""The process that hosts many stewards on the simulator's wire."""
