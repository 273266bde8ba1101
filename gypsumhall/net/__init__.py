"""Streams and messages between daemons."""
