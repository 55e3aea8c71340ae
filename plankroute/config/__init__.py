"""The feature file, which enables optional features and sets their limits."""
