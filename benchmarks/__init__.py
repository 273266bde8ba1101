"""Benchmarks, trials and mutation checks; not part of the test suite."""
