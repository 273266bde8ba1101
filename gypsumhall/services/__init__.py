"""Services of a daemon, found by name through the kernel."""
