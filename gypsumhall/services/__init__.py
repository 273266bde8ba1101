"""Services of a daemon, which the kernel looks up by name."""
