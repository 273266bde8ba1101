"""Tests of the public module `gypsumhall.coordination`."""

from __future__ import annotations

import subprocess
import sys

import gypsumhall.coordination


def test_names_are_available_and_sorted() -> None:
    names = gypsumhall.coordination.__all__
    assert names == sorted(names)
    for name in names:
        assert hasattr(gypsumhall.coordination, name)


def test_import_loads_no_server() -> None:
    # Programs that embed the components must not load the daemon's listeners.
    code = (
        'import sys, gypsumhall.coordination; '
        'sys.exit(any(n in sys.modules for n in '
        '("h11", "httpcore", "trio")))'
    )
    subprocess.run([sys.executable, '-c', code], check=True)
