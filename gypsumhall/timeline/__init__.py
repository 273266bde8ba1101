"""Merges the event logs of many processes into one timeline."""

from gypsumhall.timeline._merge import EventFilter
from gypsumhall.timeline._merge import merge
from gypsumhall.timeline._read import fetch_logs
from gypsumhall.timeline._read import Logs
from gypsumhall.timeline._read import read_files
from gypsumhall.timeline._render import render_html
from gypsumhall.timeline._render import render_json
from gypsumhall.timeline._render import render_text

__all__ = [
    'EventFilter',
    'Logs',
    'fetch_logs',
    'merge',
    'read_files',
    'render_html',
    'render_json',
    'render_text',
]
