"""Decision logic without I/O: usable as a library, testable offline."""
