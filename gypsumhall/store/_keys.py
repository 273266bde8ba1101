"""Keys that gypsumhall uses in the platform's key-value service."""

HEAD = 'gypsumhall/head'
CONTROLLER = 'gypsumhall/controller'
FRAGMENTS_PREFIX = 'gypsumhall/fragments/'
READERS_PREFIX = 'gypsumhall/readers/'

READER_SLOTS_PER_ZONE = 3
"""Number of reader slots in each zone."""

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
        When the zone name is empty or contains a slash.
    """
    if not zone or '/' in zone:
        raise ValueError(
            f'zone name {zone!r} must not be empty or contain a slash, '
            'because it is part of a key'
        )
    return f'{READERS_PREFIX}{zone}/'
