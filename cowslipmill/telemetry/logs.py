"""Structured logs in JSON on standard error."""

from logging import getLogger
from logging import INFO
from logging import StreamHandler

from mode import Service
from pythonjsonlogger.json import JsonFormatter


def set_up_logs(program: str, name: str) -> None:
    """Sends all log lines to standard error as JSON objects.

    Args:
        program: Name of the program, in each line.
        name: Name of the process from its settings, in each line.
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
    # Starts and stops of each service are no changes of the process's state.
    Service.mundane_level = 'debug'
