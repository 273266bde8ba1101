"""Tests of the public module of coordination parts."""

from __future__ import annotations

import subprocess
import sys

import gypsumhall.coordination


def test_every_name_is_public_and_sorted() -> None:
    names = gypsumhall.coordination.__all__
    assert names == sorted(names)
    for name in names:
        assert hasattr(gypsumhall.coordination, name)


def test_the_parts_bring_no_server_along() -> None:
    # Programs that embed the parts must not load the daemon's listeners.
    code = (
        'import sys, gypsumhall.coordination; '
        'sys.exit(any(n in sys.modules for n in '
        '("hypercorn", "httpcore", "trio")))'
    )
    subprocess.run([sys.executable, '-c', code], check=True)
