"""The feature file: optional features and their limits."""
