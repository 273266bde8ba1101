"""Merges the event logs of all processes into one time line."""
