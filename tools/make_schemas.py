"""Writes the JSON Schemas and the pages made from them below docs/."""

from pathlib import Path

from cowslipmill.check.schemas import write_files

DOCS = Path(__file__).resolve().parent.parent / 'docs'

if __name__ == '__main__':
    write_files(DOCS)
