"""Starts the program `cowslipmill-host`.

Imports nothing else of it, so that signals are handled before it is loaded.
"""

from importlib import import_module
from signal import SIG_IGN
from signal import SIGHUP
from signal import signal


def run() -> None:
    """Loads and runs the program.

    A reload that is asked for meanwhile is ignored: the program reads its
    settings afterwards.
    """
    signal(SIGHUP, SIG_IGN)
    import_module('cowslipmill.host.program').run()


if __name__ == '__main__':
    run()
