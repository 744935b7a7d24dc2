PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test format lint types

setup: .venv/.installed

.venv/.installed: requirements.txt pyproject.toml requirements.in
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/cowslipmill-demo

test: setup
	$(BIN)/python tools/run_tests.py

format: setup
	$(BIN)/ruff check --quiet --fix .
	$(BIN)/ruff format --quiet .

lint: setup
	$(BIN)/ruff check --quiet .
	$(BIN)/ruff format --check --quiet .
	$(BIN)/flake8 cowslipmill tools conftest.py

types: setup
	$(BIN)/mypy
