"""The program `cowslipmill-console`."""

from cowslipmill.console.console import Console
from cowslipmill.runtime.program import define_settings_flag
from cowslipmill.runtime.program import load_program_settings
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import run_service
from cowslipmill.settings.settings import ConsoleSettings


def main(arguments: list[str]) -> int:
    """Runs the forms and the administration API."""
    settings = load_program_settings(ConsoleSettings)
    return run_service(
        'cowslipmill-console', settings.name, lambda: Console(settings)
    )


def run() -> None:
    """Starts the program from the command line."""
    define_settings_flag()
    run_program(main)
