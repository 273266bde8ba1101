"""Builders of test data and the scenario language."""
