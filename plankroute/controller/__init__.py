"""Runs the policy: entry point, scheduler, host statistics, proxy registry, channel accounting."""
