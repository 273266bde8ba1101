#!/bin/sh
# The stand-ins are Python programs of the standard library: they are compiled
# here only to check that the interpreter accepts them.
cd "$(dirname "$0")" && python3 -m compileall -q .
