# Each target sets up its own virtual environment, so that it works on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-dev
BENCH_STAMP := $(VENV)/.installed-bench

.PHONY: demo serve test lint types unit fuzz bench bench-capacity matrix mutations clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

$(BENCH_STAMP): $(STAMP)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[bench]'
	touch $@

demo: $(STAMP)
	$(BIN)/python -m apricottrestle_standins.demo

serve: $(STAMP)
	$(BIN)/python -m apricottrestle_standins.serve

test: lint types unit

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest

fuzz: $(STAMP)
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest -m "not process"

bench: $(BENCH_STAMP)
	$(BIN)/python -m bench.run

bench-capacity: $(BENCH_STAMP)
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.daemons

mutations: $(STAMP)
	$(BIN)/python -m tests.mutations

matrix: $(STAMP)
	$(BIN)/python -m tests.matrix_page

clean:
	rm -rf $(VENV) build
