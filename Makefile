VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: venv lint format test unit demo scenarios bench bench-moves \
	bench-capacity bench-call bench-calls-under-faults soak

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt -r requirements-dev.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

lint: venv
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m flake8 gypsumhall soak tests benchmarks
	$(PY) -m mypy

format: venv
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

unit: venv
	$(PY) -m pytest -n 4 --dist worksteal

test: lint unit

demo: venv
	$(PY) -m gypsumhall.cli.demo

bench-call: venv
	$(PY) -m benchmarks.bench_call

bench-calls-under-faults: venv
	$(PY) -m benchmarks.bench_calls_under_faults

bench-capacity: venv
	$(PY) -m benchmarks.bench_capacity

bench-moves: venv
	$(PY) -m benchmarks.bench_moves --trials=1000 --processes=3

RUNS ?= 10

soak: venv
	$(PY) -m soak --regressions
	$(PY) -m soak --runs $(RUNS) --faults planned
	$(PY) -m soak --runs $(RUNS)

check-proofs: venv
	$(PY) -m benchmarks.check_proofs
