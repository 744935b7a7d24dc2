"""Main module of the program `cowslipmill-entry`."""

from random import Random

from cowslipmill.entry.entry import Entry
from cowslipmill.runtime.program import define_settings_flag
from cowslipmill.runtime.program import load_program_settings
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import run_service
from cowslipmill.settings.settings import EntrySettings


def main(arguments: list[str]) -> int:
    """Runs one entry process and returns its exit status."""
    settings = load_program_settings(EntrySettings)
    return run_service(
        'cowslipmill-entry', settings.name, lambda: Entry(settings, Random())
    )


def run() -> None:
    """Entry point of the command line."""
    define_settings_flag()
    run_program(main)
