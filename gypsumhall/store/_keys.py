"""Keys that gypsumhall uses in the platform."""

HEAD = 'gypsumhall/head'
CONTROLLER = 'gypsumhall/controller'
FRAGMENTS_PREFIX = 'gypsumhall/fragments/'
READERS_PREFIX = 'gypsumhall/readers/'

READER_SLOTS_PER_ZONE = 3
"""Reader slots of each zone."""

LEASE_TTL_S = 10
"""Time to live of reader and controller leases, in seconds."""


def fragment_key(digest: str) -> str:
    """Return the key of the fragment with a digest."""
    return f'{FRAGMENTS_PREFIX}{digest}'


def zone_readers_prefix(zone: str) -> str:
    """Return the prefix of the reader slots of a zone.

    Raises
    ------
    ValueError
        When the name of the zone would be taken for a part of the key.
    """
    if not zone or '/' in zone:
        raise ValueError(
            f'zone {zone!r} must have a name without slashes to be part of a '
            'key'
        )
    return f'{READERS_PREFIX}{zone}/'
