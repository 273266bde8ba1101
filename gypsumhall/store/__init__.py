"""Access to the platform's key-value service."""

from gypsumhall.core._revision import LeaseId
from gypsumhall.core._revision import NO_LEASE
from gypsumhall.core._revision import NO_REVISION
from gypsumhall.core._revision import Revision
from gypsumhall.store._election import campaign
from gypsumhall.store._election import StoreElections
from gypsumhall.store._etcd import EtcdStore
from gypsumhall.store._protocol import Compare
from gypsumhall.store._protocol import Delete
from gypsumhall.store._protocol import Elections
from gypsumhall.store._protocol import KeyValue
from gypsumhall.store._protocol import Lease
from gypsumhall.store._protocol import LeaseHeldError
from gypsumhall.store._protocol import MAX_VALUE_BYTES
from gypsumhall.store._protocol import Put
from gypsumhall.store._protocol import Store
from gypsumhall.store._protocol import StoreLeaseError
from gypsumhall.store._protocol import StoreLimitError
from gypsumhall.store._protocol import StoreService
from gypsumhall.store._protocol import TxnResult
from gypsumhall.store._protocol import WatchEvent

__all__ = [
    'Compare',
    'Delete',
    'Elections',
    'EtcdStore',
    'KeyValue',
    'Lease',
    'LeaseHeldError',
    'LeaseId',
    'MAX_VALUE_BYTES',
    'NO_LEASE',
    'NO_REVISION',
    'Put',
    'Revision',
    'Store',
    'StoreElections',
    'StoreLeaseError',
    'StoreLimitError',
    'StoreService',
    'TxnResult',
    'WatchEvent',
    'campaign',
]
