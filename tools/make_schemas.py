"""Generates the JSON Schemas and their reference pages in docs/."""

from pathlib import Path

from cowslipmill.check.schemas import write_files

DOCS = Path(__file__).resolve().parent.parent / 'docs'

if __name__ == '__main__':
    write_files(DOCS)
