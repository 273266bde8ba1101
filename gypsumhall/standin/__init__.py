"""Stand-ins for the platform and for backend servers, with faults."""

from gypsumhall.standin._platform import FaultSettings
from gypsumhall.standin._platform import Platform
from gypsumhall.standin._platform import PlatformApp
from gypsumhall.standin._platform import serve_platform
from gypsumhall.standin._platform import server_settings

__all__ = [
    'FaultSettings',
    'Platform',
    'PlatformApp',
    'serve_platform',
    'server_settings',
]
