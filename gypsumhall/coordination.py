"""Public API of the coordination components, for embedding in programs.

The components perform no I/O and read no clock: they take the current time as
an argument and return the actions to perform. The daemon's services use them.
"""

from gypsumhall.core._clock import HybridLogicalClock
from gypsumhall.core._evidence import EvidenceTest
from gypsumhall.core._evidence import FaultKind
from gypsumhall.core._evidence import Verdict
from gypsumhall.core._judge import Judge
from gypsumhall.core._ledger import Entry
from gypsumhall.core._ledger import EntryState
from gypsumhall.core._ledger import Ledger
from gypsumhall.core._limits import Admission
from gypsumhall.core._limits import AdmissionQueue
from gypsumhall.core._limits import ConcurrencyLimit
from gypsumhall.core._limits import OutlierEjection
from gypsumhall.core._limits import RetryBudget
from gypsumhall.core._member import Endpoint
from gypsumhall.core._member import EndpointState
from gypsumhall.core._member import Member
from gypsumhall.core._member import MemberStatus
from gypsumhall.core._membership import Detector
from gypsumhall.core._membership import Table
from gypsumhall.core._model import Fragment
from gypsumhall.core._model import Head
from gypsumhall.core._model import Move
from gypsumhall.core._model import MoveSpec
from gypsumhall.core._model import MoveState
from gypsumhall.core._model import Route
from gypsumhall.core._model import Service
from gypsumhall.core._moves import decide
from gypsumhall.core._moves import Decision
from gypsumhall.core._moves import Step
from gypsumhall.core._ownership import KeyLedger
from gypsumhall.core._ownership import OwnershipHistory
from gypsumhall.core._replica import Replica
from gypsumhall.core._routing import choose_version
from gypsumhall.core._routing import Router
from gypsumhall.core._snapshot import MatchedRoute
from gypsumhall.core._snapshot import Snapshot
from gypsumhall.core._snapshot import Split
from gypsumhall.core._text import parse_text
from gypsumhall.core._tree import Tree

__all__ = [
    'Admission',
    'AdmissionQueue',
    'ConcurrencyLimit',
    'Decision',
    'Detector',
    'Endpoint',
    'EndpointState',
    'Entry',
    'EntryState',
    'EvidenceTest',
    'FaultKind',
    'Fragment',
    'Head',
    'HybridLogicalClock',
    'Judge',
    'KeyLedger',
    'Ledger',
    'MatchedRoute',
    'Member',
    'MemberStatus',
    'Move',
    'MoveSpec',
    'MoveState',
    'OutlierEjection',
    'OwnershipHistory',
    'Replica',
    'RetryBudget',
    'Route',
    'Router',
    'Service',
    'Snapshot',
    'Split',
    'Step',
    'Table',
    'Tree',
    'Verdict',
    'choose_version',
    'decide',
    'parse_text',
]
