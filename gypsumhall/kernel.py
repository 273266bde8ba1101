"""Micro-kernel: starts services, which look each other up by name."""

from gypsumhall._kernel import Kernel
from gypsumhall._kernel import KernelError
from gypsumhall._kernel import Service

__all__ = ['Kernel', 'KernelError', 'Service']
