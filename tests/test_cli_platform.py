"""Tests of the binary ``gypsumhall-platform``."""

from __future__ import annotations

import signal
import subprocess
import sys
from typing import Any

import httpcore
import pytest
import trio

from gypsumhall.cli import platform
from gypsumhall.store import EtcdStore
from gypsumhall.store import Put


async def test_binary_injects_faults_and_exits_on_sigterm() -> None:
    command = [
        sys.executable,
        '-m',
        'gypsumhall.cli.platform',
        '--platform_address=127.0.0.1:0',
    ]
    with trio.fail_after(60):
        process = await trio.lowlevel.open_process(
            command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        try:
            assert process.stdout is not None
            line = b''
            while not line.endswith(b'\n'):
                line += bytes(await process.stdout.receive_some())
            address = line.decode().strip()
            async with EtcdStore([address], timeout_s=20) as store:
                await store.txn([], [Put('k', b'1')])
                async with (
                    store.watch('k') as events,
                    httpcore.AsyncConnectionPool() as pool,
                ):
                    url = f'http://{address}'
                    await pool.request(
                        'POST', f'{url}/faults', content=b'{"delay_s":0.1}'
                    )
                    bad = await pool.request(
                        'POST', f'{url}/faults', content=b'{"delay":1}'
                    )
                    assert bad.status == 400
                    assert b'delay_s' in bad.content
                    stats = await pool.request('GET', f'{url}/stats')
                    assert b'"put":1' in stats.content
                    process.send_signal(signal.SIGTERM)
                    with pytest.raises(Exception, match='dropped'):
                        await anext(events)
            assert await process.wait() == 0
        finally:
            process.kill()
            assert process.stderr is not None
            with trio.CancelScope(shield=True):
                await process.wait()
        assert bytes(await process.stderr.receive_some()) == b''


@pytest.mark.parametrize(
    ('argv', 'status', 'message'),
    [
        (['--no_such_flag=1'], 2, 'no_such_flag'),
        (['extra'], 2, 'extra'),
        (['--platform_address=127.0.0.1'], 2, 'expected <ip>:<port>'),
        (['--platform_address=127.0.0.1:http'], 2, 'expected <ip>:<port>'),
        (['--platform_address=198.51.100.1:1'], 1, '198.51.100.1'),
    ],
)
def test_errors_name_the_invalid_setting(
    capsys: Any, argv: list[str], status: int, message: str
) -> None:
    assert platform.main(['gypsumhall-platform', *argv]) == status
    assert message in capsys.readouterr().err
