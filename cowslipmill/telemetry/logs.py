"""Structured logs as JSON lines on standard error."""

from logging import getLogger
from logging import INFO
from logging import StreamHandler

from mode import Service
from pythonjsonlogger.json import JsonFormatter


def set_up_logs(program: str, name: str) -> None:
    """Configures the root logger to write JSON lines to standard error.

    Args:
        program: Program name, written to each line.
        name: Process name from the settings, written to each line.
    """
    formatter = JsonFormatter(
        '%(asctime)s %(levelname)s %(name)s %(message)s',
        rename_fields={
            'asctime': 'time',
            'levelname': 'level',
            'name': 'logger',
            'message': 'event',
        },
        static_fields={'program': program, 'process': name},
    )
    handler = StreamHandler()
    handler.setFormatter(formatter)
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(INFO)
    getLogger('websockets').setLevel('ERROR')
    getLogger('asyncio').setLevel('ERROR')
    getLogger('aiohttp').setLevel('CRITICAL')
    # The start and stop of a child service is not a change of the process's
    # state, so mode logs it at debug level.
    Service.mundane_level = 'debug'
