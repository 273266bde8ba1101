"""Runs every scenario with real processes; tests reading and checks."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from gypsumhall.testing import scenario

SCENARIOS = sorted((Path(__file__).parents[1] / 'scenarios').glob('*.yaml'))


@pytest.mark.scenario
@pytest.mark.timeout(400)
@pytest.mark.parametrize('path', SCENARIOS, ids=lambda path: path.stem)
async def test_scenario(path: Path) -> None:
    await scenario.run_scenario(path)


def test_all_errors_of_a_scenario_file_are_reported_with_their_lines(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'bad.yaml'
    path.write_text(
        'about: x\nzones: [a]\nvms: []\ntexts: {}\nsteps:\n'
        '- explode: true\n- cut: {between: [a]}\n- {heal: true, sleep: 1}\n'
    )
    with pytest.raises(scenario.ScenarioError) as caught:
        scenario.read_scenario(path)
    assert [
        (item.code, item.location.line) for item in caught.value.findings
    ] == [('unknown-verb', 6), ('bad-arguments', 7), ('bad-step', 8)]


@pytest.mark.parametrize(
    ('installs', 'message'),
    [
        ([(2, 'a'), (1, 'b')], 'regressed from version 2 to 1'),
        ([(1, 'a'), (1, 'b')], 'installed with different contents'),
    ],
)
def test_violated_invariants_of_event_logs_are_reported(
    installs: list[tuple[int, str]], message: str, tmp_path: Path
) -> None:
    path = tmp_path / 'd1.events'
    lines = [
        json.dumps(
            {
                'code': 'snapshot-installed',
                'fields': {'version': version, 'digest': digest},
            }
        )
        for version, digest in installs
    ]
    path.write_text('\n'.join(lines))
    with pytest.raises(scenario.ExpectationError, match=message):
        scenario.check_events([path])
