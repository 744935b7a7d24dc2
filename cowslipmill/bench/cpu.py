"""Processor time of processes."""

from collections.abc import Iterable
from os import sysconf
from pathlib import Path

USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12


def cpu_s(process_ids: Iterable[int]) -> float:
    """Returns the processor seconds that processes have used."""
    ticks = sum(read_ticks(process_id) for process_id in process_ids)
    return ticks / sysconf('SC_CLK_TCK')


def read_ticks(process_id: int) -> int:
    """Returns the clock ticks of one process."""
    raw = Path(f'/proc/{process_id}/stat').read_text()
    # The name before the last bracket may hold spaces.
    fields = raw.rpartition(')')[2].split()
    return int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
