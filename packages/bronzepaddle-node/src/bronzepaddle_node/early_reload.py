"""Remembers a SIGHUP that arrives while the process is still starting.

Until the event loop handles it, SIGHUP would end the process.  This module
imports nothing of the project, so that it can be installed first.
"""

import signal


class EarlyReload:
    """Handles SIGHUP until the event loop does.

    ``requested`` is set once it has arrived.
    """

    def __init__(self) -> None:
        self.requested = False
        signal.signal(signal.SIGHUP, self._on_signal)

    def _on_signal(self, _number: int, _frame: object) -> None:
        self.requested = True
