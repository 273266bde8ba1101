"""Estimate of how long the messages of a peer were delayed on their way."""

from __future__ import annotations

import math

WINDOW_S = 10.0
"""Time in seconds after which an observation no longer counts as usual: longer
than the longest delays, and short enough for the drift of two clocks. After a
clock has stood still, delays are wrong for up to two windows."""


class TransitEstimator:
    """Estimates delays from time stamps of another machine's clock.

    The offset between the two clocks is not known, but changes slowly. The
    shortest time between a stamp and its arrival in the last window therefore
    stands for the usual one, and what exceeds it is a delay: in a queue of
    the sender, on a slow link, or unread in the socket of the receiver.
    """

    __slots__ = ('_shortest_s', '_shortest_before_s', '_window_end')

    def __init__(self) -> None:
        self._shortest_s = math.inf
        self._shortest_before_s = math.inf
        self._window_end = -math.inf

    def observe(self, sent: float, received: float) -> float:
        """Record a message and return its delay in seconds.

        Parameters
        ----------
        sent : float
            Time in seconds at which it was sent, by the clock of the sender.
        received : float
            Time in seconds at which it was received, by the own clock.

        Returns
        -------
        float
            Delay in seconds; 0 for the first message. While both clocks go, it
            is never longer than the time since the message was sent.
        """
        if received >= self._window_end:
            expired = received >= self._window_end + WINDOW_S
            self._shortest_before_s = math.inf if expired else self._shortest_s
            self._shortest_s = math.inf
            self._window_end = received + WINDOW_S
        elapsed_s = received - sent
        self._shortest_s = min(self._shortest_s, elapsed_s)
        return elapsed_s - min(self._shortest_s, self._shortest_before_s)
