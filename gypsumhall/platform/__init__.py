"""Adapter to the platform on which Iturraspe and Omaruru run the fleet.

It defines names, formats and calls, and contains no decision logic. Each
message is decoded once into a value with descriptive field names.
"""

from gypsumhall.platform._checkins import BackendHeartbeat
from gypsumhall.platform._checkins import decode_heartbeat
from gypsumhall.platform._checkins import decode_start_time
from gypsumhall.platform._checkins import INSTANCES_PATH
from gypsumhall.platform._names import DIALECT
from gypsumhall.platform._names import READY_PATH
from gypsumhall.platform._operator import CONFIGURATION_KEY
from gypsumhall.platform._operator import decode_configuration
from gypsumhall.platform._operator import decode_rollout
from gypsumhall.platform._operator import encode_rollout_status
from gypsumhall.platform._operator import evacuated_zone
from gypsumhall.platform._operator import OPERATOR_PREFIX
from gypsumhall.platform._operator import rollout_service
from gypsumhall.platform._operator import rollout_status_key
from gypsumhall.platform._operator import RolloutOrder
from gypsumhall.platform._store import KvStore

__all__ = [
    'CONFIGURATION_KEY',
    'DIALECT',
    'INSTANCES_PATH',
    'OPERATOR_PREFIX',
    'READY_PATH',
    'BackendHeartbeat',
    'KvStore',
    'RolloutOrder',
    'decode_heartbeat',
    'decode_configuration',
    'decode_rollout',
    'decode_start_time',
    'encode_rollout_status',
    'evacuated_zone',
    'rollout_service',
    'rollout_status_key',
]
