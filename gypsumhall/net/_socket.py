"""Non-blocking TCP sockets under trio.

`trio.SocketStream` has no non-blocking send. Streams between daemons send most
frames without a task switch, so they use the sockets of the standard library
with the readiness functions of trio.
"""

from __future__ import annotations

import errno
import ipaddress
import os
import re
import socket
import time

import trio

from gypsumhall._decode import decode
from gypsumhall._errors import translate_listen_errors

_PORT = re.compile(r'[0-9]{1,5}')
# `ipaddress` accepts any characters in the scope of an IPv6 address.
_HOST = re.compile(r'[0-9A-Fa-f:.]{2,45}(%[0-9A-Za-z._-]{1,16})?')
_MAX_QUOTED_CHARACTERS = 100
_MAX_ADDRESS_BYTES = 100


def clock_us() -> int:
    """Return the time in microseconds by a clock that is never set.

    Unlike the clock of trio it goes on while the machine is suspended, so its
    offset to the clocks of other machines does not jump.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def split_address(address: str) -> tuple[str, int]:
    """Split ``<ip>:<port>`` into IP address and port.

    Raises
    ------
    ValueError
        When the address does not have this form.
    """
    host, separator, port = address.rpartition(':')
    host = host.strip('[]')
    number = int(port) if _PORT.fullmatch(port) else -1
    try:
        ipaddress.ip_address(host)
    except ValueError:
        number = -1
    valid = separator and _HOST.fullmatch(host) and 0 <= number < 65536
    if not valid:
        raise ValueError(
            f'address {address[:_MAX_QUOTED_CHARACTERS]!r}; expected '
            '<ip>:<port>'
        )
    return host, number


def check_remote_address(address: str) -> str:
    """Return an address that a connection can be opened to.

    Raises
    ------
    ValueError
        When it is not ``<ip>:<port>`` with a port from 1 to 65535.
    """
    _, port = split_address(address)
    if not port:
        raise ValueError(f'address {address!r}; expected a port from 1')
    return address


def decode_address(data: bytes, source: str) -> str:
    """Return the address that another process wrote.

    Raises
    ------
    MalformedDataError
        When it is none that a connection can be opened to.
    """
    return decode(
        lambda data: check_remote_address(data.decode('ascii')),
        data,
        source,
        max_bytes=_MAX_ADDRESS_BYTES,
    )


def join_address(host: str, port: int) -> str:
    """Return ``<ip>:<port>``."""
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


def source_ip(address: str) -> str:
    """Return the IP address of a listener; empty for a wildcard address."""
    host, _ = split_address(address)
    return '' if ipaddress.ip_address(host).is_unspecified else host


def _configure(sock: socket.socket) -> socket.socket:
    sock.setblocking(False)
    # Nagle's algorithm would delay small frames until earlier ones are
    # acknowledged.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def connect(address: str, source: str = '') -> socket.socket:
    """Open a connection.

    Parameters
    ----------
    address : str
        ``<ip>:<port>`` to connect to.
    source : str
        Local IP address to connect from; empty to let the system choose.

    Raises
    ------
    OSError
        When the connection fails.
    ValueError
        When the address is malformed.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = _configure(socket.socket(family, socket.SOCK_STREAM))
    try:
        if source:
            sock.bind((source, 0))
        code = sock.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
    except BaseException:
        close(sock)
        raise
    return sock


def listen(address: str) -> socket.socket:
    """Open a listening socket; port 0 selects any free port.

    Raises
    ------
    AddressError
        When the address is in use or not local.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with translate_listen_errors(address):
        sock = socket.create_server((host, port), family=family, backlog=1024)
    sock.setblocking(False)
    return sock


async def accept(listener: socket.socket) -> socket.socket:
    """Accept the next connection."""
    while True:
        await trio.lowlevel.wait_readable(listener)
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            continue
        return _configure(sock)


async def receive(sock: socket.socket, size: int) -> bytes:
    """Return received bytes; empty at the end of the stream."""
    while True:
        await trio.lowlevel.wait_readable(sock)
        try:
            return sock.recv(size)
        except BlockingIOError:
            continue


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all bytes."""
    unsent = memoryview(data)
    while unsent:
        await trio.lowlevel.wait_writable(sock)
        try:
            unsent = unsent[sock.send(unsent) :]
        except BlockingIOError:
            continue


def close(sock: socket.socket) -> None:
    """Close a socket and wake the tasks that wait for it."""
    if sock.fileno() >= 0:
        trio.lowlevel.notify_closing(sock)
        sock.close()
