"""Access to the platform's key-value service."""

from gypsumhall.store._protocol import Compare
from gypsumhall.store._protocol import Delete
from gypsumhall.store._protocol import KeyValue
from gypsumhall.store._protocol import Put
from gypsumhall.store._protocol import Store
from gypsumhall.store._protocol import TxnResult
from gypsumhall.store._protocol import WatchEvent

__all__ = [
    'Compare',
    'Delete',
    'KeyValue',
    'Put',
    'Store',
    'TxnResult',
    'WatchEvent',
]
