"""The simulator's wire: frames and records in, notes out; orders in, records out. No decisions."""
