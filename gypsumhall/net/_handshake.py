"""Mutual proof of a shared key at the start of a stream.

The side that opens the stream sends a hello with a nonce. The side that
accepts it answers with its own hello and a proof, and the opening side sends
its proof. Each proof is an HMAC-SHA256 over protocol version, role, both
nonces and both identities: a recorded handshake fails against a fresh nonce,
and a proof sent back to its author fails because of the role. Hellos are the
only bytes read before a proof; they are limited to `MAX_HELLO_BYTES` bytes.

A proof is a list with one code per key. During a rotation of keys, two
daemons understand each other when they have any key in common.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

import msgpack
import msgspec

from gypsumhall._errors import PeerLostError
from gypsumhall._errors import PeerProtocolError
from gypsumhall.net import _socket
from gypsumhall.net._protocol import PeerInfo

if TYPE_CHECKING:
    from collections.abc import Sequence
    import socket

    from gypsumhall.net._frames import TrafficCounters

PROTOCOL = 'gypsumhall/1'
MAX_HELLO_BYTES = 1024
"""Largest handshake frame in bytes."""
MAX_KEYS = 4
"""Largest number of keys accepted at the same time."""
_NONCE = 32
_ENVELOPE = 3


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First frame of each side.

    Parameters
    ----------
    protocol : str
        Name and version of the protocol.
    nonce : bytes
        Fresh random bytes.
    peer : PeerInfo
        Identity of the side.
    proofs : tuple of bytes
        Proofs of the accepting side, one per key; empty in the first hello.
    """

    protocol: str
    nonce: bytes
    peer: PeerInfo
    proofs: tuple[bytes, ...] = ()


class Proof(msgspec.Struct, frozen=True, array_like=True):
    """Last frame of the handshake, from the opening side."""

    proofs: tuple[bytes, ...]


_HELLO = msgspec.msgpack.Decoder(Hello)
_PROOF = msgspec.msgpack.Decoder(Proof)


def check_keys(keys: Sequence[bytes]) -> tuple[bytes, ...]:
    """Return the keys.

    Raises
    ------
    ValueError
        When there is no key, too many, or one under 16 bytes.
    """
    if not 1 <= len(keys) <= MAX_KEYS:
        raise ValueError(f'{len(keys)} peer keys; expected 1 to {MAX_KEYS}')
    for index, key in enumerate(keys):
        if len(key) < 16:
            raise ValueError(
                f'peer key {index + 1} has {len(key)} bytes; expected 16'
            )
    return tuple(keys)


class Handshake:
    """One side of a handshake, without I/O.

    Parameters
    ----------
    me : PeerInfo
        Identity of this side.
    keys : sequence of bytes
        Accepted keys, at most `MAX_KEYS`.
    """

    __slots__ = ('_keys', '_me', '_nonce', '_theirs')

    def __init__(self, me: PeerInfo, keys: Sequence[bytes]) -> None:
        self._me = me
        self._keys = tuple(keys)
        self._nonce = secrets.token_bytes(_NONCE)
        self._theirs: Hello | None = None

    def hello(self) -> bytes:
        """Return the first frame of the opening side."""
        return msgspec.msgpack.encode(Hello(PROTOCOL, self._nonce, self._me))

    def accept(self, data: bytes) -> bytes:
        """Return the accepting side's answer to a hello.

        Raises
        ------
        PeerProtocolError
            When the hello is malformed or has another protocol version.
        """
        self._theirs = self._hello(data)
        answer = Hello(PROTOCOL, self._nonce, self._me)
        proofs = _prove(self._keys, 'accept', self._theirs, answer)
        return msgspec.msgpack.encode(
            Hello(PROTOCOL, self._nonce, self._me, proofs)
        )

    def confirm(self, data: bytes) -> tuple[PeerInfo, bytes]:
        """Check the accepting side's answer.

        Returns
        -------
        tuple of PeerInfo and bytes
            Identity of the accepting side, and the last frame.

        Raises
        ------
        PeerProtocolError
            When the answer proves no common key.
        """
        answer = self._hello(data)
        opening = Hello(PROTOCOL, self._nonce, self._me)
        _verify(self._keys, 'accept', opening, answer, answer.proofs)
        proofs = _prove(self._keys, 'open', opening, answer)
        return answer.peer, msgspec.msgpack.encode(Proof(proofs))

    def finish(self, data: bytes) -> PeerInfo:
        """Check the opening side's proof and return its identity.

        Raises
        ------
        PeerProtocolError
            When the frame proves no common key.
        """
        if self._theirs is None:
            raise PeerProtocolError('proof before hello')
        try:
            proof = _PROOF.decode(data)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise PeerProtocolError(f'malformed proof: {error}') from error
        answer = Hello(PROTOCOL, self._nonce, self._me)
        _verify(self._keys, 'open', self._theirs, answer, proof.proofs)
        return self._theirs.peer

    def _hello(self, data: bytes) -> Hello:
        try:
            hello = _HELLO.decode(data)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise PeerProtocolError(f'malformed hello: {error}') from error
        if hello.protocol != PROTOCOL:
            raise PeerProtocolError(
                f'peer speaks {hello.protocol!r}; expected {PROTOCOL!r}'
            )
        if len(hello.nonce) != _NONCE or len(hello.proofs) > MAX_KEYS:
            raise PeerProtocolError('malformed hello')
        if hello.peer.id == self._me.id:
            # A relay could otherwise let a daemon prove a key to itself.
            raise PeerProtocolError(f'peer has the own id {self._me.id!r}')
        return hello


def _prove(
    keys: tuple[bytes, ...], role: str, opening: Hello, answer: Hello
) -> tuple[bytes, ...]:
    text = msgspec.msgpack.encode(
        (
            PROTOCOL,
            role,
            opening.nonce,
            answer.nonce,
            opening.peer,
            answer.peer,
        )
    )
    return tuple(hmac.digest(key, text, hashlib.sha256) for key in keys)


def _verify(
    keys: tuple[bytes, ...],
    role: str,
    opening: Hello,
    answer: Hello,
    proofs: tuple[bytes, ...],
) -> None:
    if len(proofs) > MAX_KEYS:
        raise PeerProtocolError('malformed proof')
    valid = False
    for expected in _prove(keys, role, opening, answer):
        for proof in proofs:
            valid |= hmac.compare_digest(expected, proof)
    if not valid:
        raise PeerProtocolError('peer proves none of the shared keys')


class _Reader:
    """Reads handshake frames, each an msgpack byte string."""

    __slots__ = ('_sock', '_traffic', '_unpacker')

    def __init__(self, sock: socket.socket, traffic: TrafficCounters) -> None:
        self._sock = sock
        self._traffic = traffic
        self._unpacker = msgpack.Unpacker(
            read_size=MAX_HELLO_BYTES,
            max_buffer_size=2 * MAX_HELLO_BYTES,
            max_bin_len=MAX_HELLO_BYTES,
            max_array_len=0,
            max_map_len=0,
            max_str_len=0,
            max_ext_len=0,
        )

    @property
    def rest(self) -> bytes:
        """Bytes read after the last frame."""
        return self._unpacker.read_bytes(2 * MAX_HELLO_BYTES)

    async def frame(self) -> bytes:
        while True:
            try:
                frame = next(self._unpacker, None)
            except (ValueError, msgpack.UnpackException) as error:
                raise PeerProtocolError(
                    f'malformed handshake: {error}'
                ) from error
            if isinstance(frame, bytes):
                self._traffic.add(1, len(frame) + _ENVELOPE)
                return frame
            if frame is not None:
                raise PeerProtocolError('malformed handshake')
            data = await _socket.receive(self._sock, MAX_HELLO_BYTES)
            if not data:
                raise PeerLostError('stream ended during the handshake')
            try:
                self._unpacker.feed(data)
            except msgpack.BufferFull as error:
                raise PeerProtocolError('oversized handshake') from error


async def _send(
    sock: socket.socket, data: bytes, traffic: TrafficCounters
) -> None:
    traffic.add(0, len(data) + _ENVELOPE)
    await _socket.send_all(sock, msgpack.packb(data))


async def authenticate_as_opener(
    sock: socket.socket,
    me: PeerInfo,
    keys: Sequence[bytes],
    traffic: TrafficCounters,
) -> PeerInfo:
    """Run the opening side of a handshake.

    Raises
    ------
    PeerLostError
        When the other side ends the stream.
    PeerProtocolError
        When the other side proves no common key.
    """
    handshake = Handshake(me, keys)
    await _send(sock, handshake.hello(), traffic)
    peer, proof = handshake.confirm(await _Reader(sock, traffic).frame())
    await _send(sock, proof, traffic)
    return peer


async def authenticate_as_acceptor(
    sock: socket.socket,
    me: PeerInfo,
    keys: Sequence[bytes],
    traffic: TrafficCounters,
) -> tuple[PeerInfo, bytes]:
    """Run the accepting side of a handshake.

    Returns
    -------
    tuple of PeerInfo and bytes
        Identity of the opening side, and the bytes read after its proof.

    Raises
    ------
    PeerLostError
        When the other side ends the stream.
    PeerProtocolError
        When the other side proves no common key.
    """
    handshake = Handshake(me, keys)
    reader = _Reader(sock, traffic)
    await _send(sock, handshake.accept(await reader.frame()), traffic)
    peer = handshake.finish(await reader.frame())
    return peer, reader.rest
