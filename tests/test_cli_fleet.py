"""Tests of the settings of ``gypsumhall-fleetd`` and of its deploy file."""

from __future__ import annotations

from pathlib import Path
import re
import tomllib

import pytest

from gypsumhall._errors import SettingsError
from gypsumhall.cli import fleet
from gypsumhall.cli._settings import run_binary

_ROOT = Path(__file__).parents[1]
# Values by placeholder, as in the documentation of the platform.
_FIELDS = {
    'nodeName': 'sidecar-meso-norte-1',
    'zone': 'meso-norte',
    'ip': '10.1.0.41',
    'internalPortRange.0': '7600',
    'listen.outbound': '10.1.0.41:8629',
    'listen.ready': '10.1.0.41:8625',
    'listen.control': '10.1.0.41:8620',
    'appAddr': '10.1.0.41:8628',
    'service': 'huvo11a',
    'platform.addr': '10.200.1.7:8627',
    'bounds.graceS': '6',
    'bounds.retryBudgetRatio': '0.2',
    'bounds.budgetSlack': '64',
    'bounds.budgetWindowS': '10',
    'bounds.coldOver': '1.25',
    # A platform without the field.
    'bounds.coldSlack': '',
    'bounds.quotaWindowS': '4',
    'bounds.quotaOver': '0.2',
    'bounds.quotaSlack': '30',
    'bounds.revokeMs': '4000',
    'bounds.strictRevoke': 'true',
}


def _environment() -> dict[str, str]:
    text = (_ROOT / 'deploy' / 'system.toml').read_text()
    (role,) = tomllib.loads(text)['roles'].values()
    return {
        name: re.sub(
            r'\{\{([^}]+)\}\}', lambda match: _FIELDS[match[1]], value
        )
        for name, value in role['env'].items()
    }


def test_deploy_file_renders_valid_settings() -> None:
    settings = fleet.FleetSettings()
    settings.settings.parse([], _environment())
    kernel = fleet.build_kernel(settings)
    assert 'caller' in kernel.names and 'check-ins' in kernel.names
    assert settings.retry_window.value == 10.0
    assert settings.revoke_ms.value == 4000
    assert 'isolation' in kernel.names
    assert settings.peer_port.value == 7600
    assert settings.cold_over.value == 1.25
    assert settings.cold_slack.value == 8.0
    assert 'quotas' in kernel.names
    assert 'explain' in kernel.names
    assert settings.quota_window.value == 4.0
    assert settings.quota_over.value == 0.2
    assert settings.quota_slack.value == 30.0
    assert settings.hedge_share.value == 0.0
    assert settings.hedge_quantile.value == 0.95


def test_missing_quota_fields_select_the_defaults() -> None:
    """Guards against a start that fails without the fields of quotas."""
    environment = _environment()
    for name in ('WINDOW', 'OVER', 'SLACK'):
        environment[f'GYPSUMHALL_QUOTA_{name}'] = ''
    settings = fleet.FleetSettings()
    settings.settings.parse([], environment)
    assert settings.quota_window.value == 5.0
    assert settings.quota_over.value == 0.1
    assert settings.quota_slack.value == 20.0


@pytest.mark.parametrize(
    ('name', 'value', 'range_text'),
    [
        ('QUOTA_WINDOW', '0.5', '1 to 60'),
        ('QUOTA_OVER', '1.5', '0 to 1'),
        ('QUOTA_SLACK', '0', '1 to 10000'),
        ('QUOTA_SLACK', 'many', '1 to 10000'),
        ('HEDGE_SHARE', '0.21', '0 to 0.2'),
        ('HEDGE_SHARE', '-0.1', '0 to 0.2'),
        ('HEDGE_SHARE', 'nan', '0 to 0.2'),
        ('HEDGE_QUANTILE', '0.49', '0.5 to 0.999'),
        ('HEDGE_QUANTILE', '1', '0.5 to 0.999'),
    ],
)
def test_settings_out_of_range_prevent_the_start(
    name: str, value: str, range_text: str
) -> None:
    settings = fleet.FleetSettings()
    environment = {**_environment(), f'GYPSUMHALL_{name}': value}
    with pytest.raises(SettingsError) as caught:
        settings.settings.parse([], environment)
    text = str(caught.value)
    assert f'GYPSUMHALL_{name}' in text
    assert repr(value) in text and range_text in text


def test_every_setting_of_the_deploy_file_is_documented() -> None:
    page = (_ROOT / 'docs' / 'OPERATIONS.md').read_text()
    for name in _environment():
        suffix = name.removeprefix('GYPSUMHALL')
        assert f'`{name}`' in page or f'`{suffix}`' in page


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('GYPSUMHALL_ZONE', ''),
        ('GYPSUMHALL_PEER_PORT', 'high'),
        ('GYPSUMHALL_READY_ADDRESS', '10.1.0.41'),
        ('GYPSUMHALL_RETRY_RATIO', '-1'),
        ('GYPSUMHALL_GRACE', 'soon'),
        ('GYPSUMHALL_COLD_OVER', '-1'),
        ('GYPSUMHALL_COLD_SLACK', '1e7'),
    ],
)
def test_errors_name_the_invalid_setting(
    name: str,
    value: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    settings = fleet.FleetSettings()
    status = run_binary(
        settings.settings,
        ['gypsumhall-fleetd'],
        lambda names: 0,
        environment={**_environment(), name: value},
    )
    assert status == 2
    flag = name.removeprefix('GYPSUMHALL_').lower()
    message = capsys.readouterr().err
    assert flag in message.lower()


def test_empty_values_select_the_defaults() -> None:
    """The platform renders fields that it does not have as empty."""
    environment = _environment()
    environment['GYPSUMHALL_REVOKE_MS'] = ''
    environment['GYPSUMHALL_STRICT_REVOKE'] = ''
    settings = fleet.FleetSettings()
    settings.settings.parse([], environment)
    assert settings.revoke_ms.value == 5000
    assert not settings.strict_revoke.value
    assert 'isolation' not in fleet.build_kernel(settings).names


@pytest.mark.parametrize(
    ('name', 'value', 'expected'),
    [
        ('GYPSUMHALL_REVOKE_MS', '10', '500 to 600000'),
        ('GYPSUMHALL_REVOKE_MS', '5s', '500 to 600000'),
        ('GYPSUMHALL_STRICT_REVOKE', 'perhaps', 'true, false'),
    ],
)
def test_setting_out_of_range_names_itself_and_the_range(
    name: str, value: str, expected: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        fleet.FleetSettings().settings.parse(
            [], {**_environment(), name: value}
        )
    for part in (name, value, expected):
        assert part in str(caught.value)
