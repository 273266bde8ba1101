"""Measures parsing and acceptance of texts at the design scale.

Run it with ``python -m benchmarks.bench_acceptance``. It prints one line for
each figure. The store is in memory, so the time of the platform is not
included.
"""

from __future__ import annotations

import os
import statistics
import time

import trio

from gypsumhall.cli._settings import Settings
from gypsumhall.core import _accept
from gypsumhall.core import _model
from gypsumhall.core import _text
from gypsumhall.services._acceptance import Submission
from gypsumhall.services._acceptance import SubmissionStatus
from gypsumhall.testing.control_plane import ControlPlane
from gypsumhall.testing.memory_store import MemoryStore

TOKEN = 'benchmark-token'


def _department_text(index: int, services: int, moves: int) -> str:
    lines = [f'department: d{index}', 'services:']
    for number in range(services):
        lines.append(f'  s{index}-{number}:')
        lines.append('    versions: [v1, v2]')
        if number:
            lines.append(f'    depends_on: [s{index}-{number - 1}]')
    lines.append('routes:')
    for number in range(services):
        lines.append(f'  r{number}:')
        lines.append(f'    host: d{index}.example')
        lines.append(f'    path: /s{number}')
        lines.append(f'    service: s{index}-{number}')
    lines.append('moves:')
    for number in range(moves):
        lines.append(f'  m{number}:')
        lines.append(f'    service: s{index}-{number}')
        lines += ['    from: v1', '    to: v2', '    within: 1h']
    return '\n'.join(lines) + '\n'


def _measure_parsing(sizes: tuple[int, ...]) -> None:
    for services in sizes:
        text = _department_text(0, services, services // 4)
        start = time.perf_counter()
        parsed = _text.read_text(text, 'bench', time.time())
        seconds = time.perf_counter() - start
        assert not parsed.findings, parsed.findings[:3]
        print(
            f'parse {services} services, {len(text)} bytes: '
            f'{seconds * 1000:.1f} ms, {len(text) / seconds / 1000:.0f} KB/s'
        )


async def _measure_submissions(
    departments: int, services: int, moves: int
) -> None:
    store = MemoryStore()
    times: list[float] = []
    async with ControlPlane(store, time.time).running() as plane:
        for index in range(departments):
            text = _department_text(index, services, moves)
            start = time.perf_counter()
            result = await plane.acceptance.submit(
                Submission(f'submission-{index}', TOKEN, text)
            )
            times.append(time.perf_counter() - start)
            assert result.status is SubmissionStatus.ACCEPTED, result
        head = plane.distribution.published[-1]
        snapshot = plane.distribution.snapshot
    assert snapshot is not None
    print(
        f'{departments} departments, {departments * services} services, '
        f'{len(head.moves)} moves: head {len(_model.encode(head))} bytes'
    )
    print(
        f'submit: median {statistics.median(times) * 1000:.1f} ms, last '
        f'{times[-1] * 1000:.1f} ms, longest {max(times) * 1000:.1f} ms'
    )
    text = _department_text(0, services, moves)
    parsed = _text.read_text(text, 'bench', time.time())
    start = time.perf_counter()
    for _ in range(10):
        _accept.check_text(head, snapshot.fragments, parsed, time.time())
    print(
        'check against all departments, without parsing: '
        f'{(time.perf_counter() - start) * 100:.2f} ms'
    )


def main() -> None:
    """Run all measurements."""
    settings = Settings('bench_acceptance', 'bench_acceptance.py [flags]')
    departments = settings.integer('departments', 50, 'Number of departments.')
    services = settings.integer('services', 38, 'Services per department.')
    moves = settings.integer('moves', 10, 'Moves per department.')
    settings.parse([], os.environ)
    _measure_parsing((10, 100, 400))
    trio.run(
        _measure_submissions, departments.value, services.value, moves.value
    )


if __name__ == '__main__':
    main()
