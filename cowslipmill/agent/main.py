"""The program `cowslipmill-agent`."""

from random import Random

from cowslipmill.agent.agent import Agent
from cowslipmill.runtime.program import define_settings_flag
from cowslipmill.runtime.program import load_program_settings
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import run_service
from cowslipmill.settings.settings import AgentSettings


def main(arguments: list[str]) -> int:
    """Runs the control process of one entry host."""
    settings = load_program_settings(AgentSettings)
    return run_service(
        'cowslipmill-agent', settings.host, lambda: Agent(settings, Random())
    )


def run() -> None:
    """Starts the program from the command line."""
    define_settings_flag()
    run_program(main)
