"""Decisions without I/O: usable as a library, testable without a network."""
