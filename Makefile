PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
STEPS ?= 20000

.PHONY: venv demo test bench soak format
venv: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: venv
	$(BIN)/python -m tests.demo

test: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest --numprocesses 4 --ignore tests/crowds
	$(BIN)/python -m pytest tests/crowds

bench: venv
	$(BIN)/python -m bench.all

soak: venv
	$(BIN)/python -m tests.soak --seed $(SEED) --steps $(STEPS)

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
