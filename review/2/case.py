"""A late check-in reaches a daemon that restarted after an endpoint left."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

DRAIN_S, IN_TOUCH_S = 2.0, 3.0
WORK_S, REQUEST_INTERVAL_S = 0.16, 0.035
RESTART_DELAY_S = 1.0
# From the leaving notice of the endpoint.
KILL_AFTER_S, LATE_BEAT_AFTER_S, EXIT_AFTER_S = 0.5, 3.0, 8.0


async def run(case: harness.Case) -> int:
    """Play the case."""
    record = case.record
    in_touch_from = left_at = float('inf')
    late: list[str] = []

    async def answer(
        request: harness.Head, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers['gypsumhall-request-id']
        await asyncio.sleep(WORK_S)
        writer.write(
            b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n'
            + f'gypsumhall-request-id: {request_id}\r\n'.encode()
            + b'gypsumhall-response-signature: s\r\n\r\nplan'
        )

    async def serve_stays(
        request: harness.Head, writer: asyncio.StreamWriter
    ) -> None:
        record.write(
            'run', f'{request.headers["gypsumhall-request-id"]} at m-3'
        )
        await answer(request, writer)

    async def serve_leaves(
        request: harness.Head, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers['gypsumhall-request-id']
        record.write('run', f'{request_id} at m-2')
        now = time.monotonic()
        if now > left_at + DRAIN_S and now > in_touch_from:
            late.append(request_id)
            record.write('DRAIN', f'{request_id} {now - left_at:.2f} s after')
        await answer(request, writer)

    front = case.add('m-1', 'meso-norte', 'svcconsulta', answer)
    leaving = case.add('m-2', 'meso-centro', 'svcenvio', serve_leaves, 6)
    case.add('m-3', 'meso-sur', 'svcenvio', serve_stays, 6)
    route = {
        'host': 'envio.example',
        'prefix': '/plan/',
        'type': 'non_idempotent',
        'timeoutMs': 3000,
        'sloMs': 500,
        'priority': 1,
        'service': 'svcenvio',
        'attempts': 2,
    }
    config = harness.configuration(1, [route], ['svcconsulta', 'svcenvio'])
    await case.start(config)
    served = 0
    end = time.monotonic() + 16.0

    async def request(number: int) -> None:
        nonlocal served
        request_id = f'{number:016x}'
        record.write('sent', request_id)
        result = await harness.call(
            front.outbound,
            'POST',
            '/plan/x',
            {
                'host': 'envio.example',
                'gypsumhall-request-id': request_id,
                'gypsumhall-timeout-ms': '3000',
            },
            b'plan',
            3.0,
        )
        served += result.status == 200
        record.write('answer', f'{request_id} {result}')

    async def load() -> None:
        tasks = []
        number = 0
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(request(number)))
            number += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)

    requests = asyncio.create_task(load())
    await asyncio.sleep(4.0)
    delayed_beat = leaving.build_beat()
    result = await leaving.send_leave()
    record.write('leave', f'm-2 sent its leaving notice: {result}')
    if result.status != 200:
        raise harness.CannotRunError('the leaving notice has no ack')
    left_at = time.monotonic()
    in_touch_from = left_at
    await asyncio.sleep(KILL_AFTER_S)
    if case.trouble:
        leaving.send_signal(signal.SIGKILL)
        assert leaving.process is not None
        leaving.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        leaving.start(case.directory)
        in_touch_from = time.monotonic() + IN_TOUCH_S
        await leaving.wait_ready()
    await asyncio.sleep(left_at + LATE_BEAT_AFTER_S - time.monotonic())
    result = await leaving.send_beat(delayed_beat)
    record.write('beat', f'm-2, sent before its notice: {result}')
    await asyncio.sleep(left_at + EXIT_AFTER_S - time.monotonic())
    leaving.close_endpoint()
    record.write('exit', 'the endpoint of m-2 exits')
    await requests
    record.write('sum', f'{served} served, {len(late)} at m-2 after drainMs')
    if not served:
        raise harness.CannotRunError('no request was served')
    return harness.BROKEN if late else harness.HELD


harness.main(FOLDER, run)
