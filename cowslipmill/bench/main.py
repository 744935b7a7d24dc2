"""The program `cowslipmill-bench`."""

from cowslipmill.runtime.program import run_program


def main(arguments: list[str]) -> int:
    """Runs an experiment."""
    return 0


def run() -> None:
    """Starts the program from the command line."""
    run_program(main)
