# Each target sets up its own virtual environment, so that it works on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-dev
BENCH_STAMP := $(VENV)/.installed-bench

.PHONY: demo serve test lint types unit fuzz chaos soak bench bench-fleet \
	bench-capacity bench-start matrix mutations clean

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
	$(BIN)/python -m tests.run_suite

fuzz: $(STAMP)
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest -m "not process"

bench: $(BENCH_STAMP)
	$(BIN)/python -m bench.run

bench-capacity: $(BENCH_STAMP)
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.daemons

bench-fleet: $(STAMP)
	$(BIN)/python -m bench.fleet_days
	$(BIN)/python -m bench.overload_days
	$(BIN)/python -m bench.notice_days

bench-start: $(STAMP)
	$(BIN)/python -m bench.start_time

# SEEDS and FIRST choose the days, e.g. `make chaos SEEDS=500 FIRST=1000`.
SEEDS ?= 50
FIRST ?= 0

chaos: $(STAMP)
	$(BIN)/python -m bench.fleet_days --chaos --seeds $(SEEDS) --first $(FIRST)

soak: $(STAMP)
	$(BIN)/python -m apricottrestle_standins.platform.soak \
		--seeds $(SEEDS) --first $(FIRST)

mutations: $(STAMP)
	$(BIN)/python -m tests.mutations

matrix: $(STAMP)
	$(BIN)/python -m tests.matrix_page

clean:
	rm -rf $(VENV) build
