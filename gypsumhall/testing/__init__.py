"""Test data builders, fakes, in-memory networks and scenario tools."""
