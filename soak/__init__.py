"""Randomized runs of real daemons with faults, checked from outside."""
