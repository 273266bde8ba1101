"""Mutual authentication with a shared key at the start of a stream.

The side that opens the stream sends a hello with a nonce. The accepting side
replies with its own hello and a proof, and the opening side sends its proof.
Each proof is an HMAC-SHA256 over protocol version, role, both nonces and both
identities. The nonces protect against the replay of a recorded handshake,
and the role against the reflection of a proof to its author. Hellos are the
only bytes read before a proof; they are limited to `MAX_HELLO_BYTES`.

Proofs are sent as a list with one HMAC per key, so that two daemons with any
key in common can connect while keys are rotated.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

import msgpack
import msgspec

from gypsumhall._decode import decode
from gypsumhall._errors import MalformedDataError
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
"""Maximum size of a handshake frame."""
MAX_KEYS = 4
"""Maximum number of keys accepted at the same time."""
_NONCE_BYTES = 32
_FRAME_HEADER_BYTES = 3


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First frame of each side.

    Parameters
    ----------
    protocol : str
        Name and version of the protocol.
    nonce : bytes
        Random bytes, new in each handshake.
    peer : PeerInfo
        Identity of the sending side.
    proofs : tuple of bytes
        Proofs of the accepting side, one per key; empty in the hello of the
        opening side.
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
    """Validate the shared keys and return them as a tuple.

    Raises
    ------
    ValueError
        When there are no keys, too many, or one has less than 16 bytes.
    """
    if not 1 <= len(keys) <= MAX_KEYS:
        raise ValueError(f'{len(keys)} peer keys; expected 1 to {MAX_KEYS}')
    for index, key in enumerate(keys):
        if len(key) < 16:
            raise ValueError(
                f'peer key {index + 1} has {len(key)} bytes; '
                'expected at least 16'
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

    __slots__ = ('_keys', '_me', '_nonce', '_peer_hello')

    def __init__(self, me: PeerInfo, keys: Sequence[bytes]) -> None:
        self._me = me
        self._keys = tuple(keys)
        self._nonce = secrets.token_bytes(_NONCE_BYTES)
        self._peer_hello: Hello | None = None

    def hello(self) -> bytes:
        """Return the first frame of the opening side."""
        return msgspec.msgpack.encode(Hello(PROTOCOL, self._nonce, self._me))

    def accept(self, data: bytes) -> bytes:
        """Return the accepting side's reply to a hello.

        Raises
        ------
        PeerProtocolError
            When the hello is malformed or has another protocol version.
        """
        self._peer_hello = self._decode_hello(data)
        reply = Hello(PROTOCOL, self._nonce, self._me)
        proofs = _compute_proofs(self._keys, 'accept', self._peer_hello, reply)
        return msgspec.msgpack.encode(
            Hello(PROTOCOL, self._nonce, self._me, proofs)
        )

    def confirm(self, data: bytes) -> tuple[PeerInfo, bytes]:
        """Check the accepting side's reply.

        Returns
        -------
        tuple of PeerInfo and bytes
            Identity of the accepting side, and the last frame to send.

        Raises
        ------
        PeerProtocolError
            When no proof in the reply matches a key of this side.
        """
        reply = self._decode_hello(data)
        opening = Hello(PROTOCOL, self._nonce, self._me)
        _verify_proofs(self._keys, 'accept', opening, reply, reply.proofs)
        proofs = _compute_proofs(self._keys, 'open', opening, reply)
        return reply.peer, msgspec.msgpack.encode(Proof(proofs))

    def finish(self, data: bytes) -> PeerInfo:
        """Check the opening side's proof and return its identity.

        Raises
        ------
        PeerProtocolError
            When no proof matches a key of this side.
        """
        if self._peer_hello is None:
            raise PeerProtocolError('proof received before hello')
        try:
            proof = decode(_PROOF.decode, data, 'proof')
        except MalformedDataError as error:
            raise PeerProtocolError(f'malformed {error}') from error
        reply = Hello(PROTOCOL, self._nonce, self._me)
        _verify_proofs(
            self._keys, 'open', self._peer_hello, reply, proof.proofs
        )
        return self._peer_hello.peer

    def _decode_hello(self, data: bytes) -> Hello:
        try:
            hello = decode(_HELLO.decode, data, 'hello')
        except MalformedDataError as error:
            raise PeerProtocolError(f'malformed {error}') from error
        if hello.protocol != PROTOCOL:
            raise PeerProtocolError(
                f'peer uses protocol {hello.protocol!r}; expected {PROTOCOL!r}'
            )
        if len(hello.nonce) != _NONCE_BYTES or len(hello.proofs) > MAX_KEYS:
            raise PeerProtocolError(
                'malformed hello: wrong nonce length or too many proofs'
            )
        if hello.peer.id == self._me.id:
            # Otherwise a relay could connect a daemon to itself and pass
            # its own proofs back to it.
            raise PeerProtocolError(f'peer has own id {self._me.id!r}')
        return hello


def _compute_proofs(
    keys: tuple[bytes, ...], role: str, opening: Hello, reply: Hello
) -> tuple[bytes, ...]:
    """Return the HMACs over a handshake, one per key."""
    transcript = msgspec.msgpack.encode(
        (
            PROTOCOL,
            role,
            opening.nonce,
            reply.nonce,
            opening.peer,
            reply.peer,
        )
    )
    return tuple(hmac.digest(key, transcript, hashlib.sha256) for key in keys)


def _verify_proofs(
    keys: tuple[bytes, ...],
    role: str,
    opening: Hello,
    reply: Hello,
    proofs: tuple[bytes, ...],
) -> None:
    if len(proofs) > MAX_KEYS:
        raise PeerProtocolError('malformed proof: too many proofs')
    valid = False
    for expected in _compute_proofs(keys, role, opening, reply):
        for proof in proofs:
            valid |= hmac.compare_digest(expected, proof)
    if not valid:
        raise PeerProtocolError('peer proves none of the shared keys')


class _FrameReader:
    """Reads handshake frames, each a msgpack byte string."""

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
    def unread_bytes(self) -> bytes:
        """Bytes received after the last frame that was read."""
        return self._unpacker.read_bytes(2 * MAX_HELLO_BYTES)

    async def read_frame(self) -> bytes:
        while True:
            try:
                frame = next(self._unpacker, None)
            except (ValueError, msgpack.UnpackException) as error:
                raise PeerProtocolError(
                    f'malformed handshake: {error}'
                ) from error
            if isinstance(frame, bytes):
                self._traffic.add(1, len(frame) + _FRAME_HEADER_BYTES)
                return frame
            if frame is not None:
                raise PeerProtocolError(
                    'malformed handshake: frame is not a byte string'
                )
            data = await _socket.receive(self._sock, MAX_HELLO_BYTES)
            if not data:
                raise PeerLostError(
                    'peer closed the stream during the handshake'
                )
            try:
                self._unpacker.feed(data)
            except msgpack.BufferFull as error:
                raise PeerProtocolError('oversized handshake') from error


async def _send_frame(
    sock: socket.socket, data: bytes, traffic: TrafficCounters
) -> None:
    traffic.add(0, len(data) + _FRAME_HEADER_BYTES)
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
        When the other side closes the stream.
    PeerProtocolError
        When the handshake is malformed or the sides have no common key.
    """
    handshake = Handshake(me, keys)
    await _send_frame(sock, handshake.hello(), traffic)
    peer, proof = handshake.confirm(
        await _FrameReader(sock, traffic).read_frame()
    )
    await _send_frame(sock, proof, traffic)
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
        Identity of the opening side, and the bytes received after its proof.

    Raises
    ------
    PeerLostError
        When the other side closes the stream.
    PeerProtocolError
        When the handshake is malformed or the sides have no common key.
    """
    handshake = Handshake(me, keys)
    reader = _FrameReader(sock, traffic)
    await _send_frame(
        sock, handshake.accept(await reader.read_frame()), traffic
    )
    peer = handshake.finish(await reader.read_frame())
    return peer, reader.unread_bytes
