# Two commands matter: `make demo` runs the whole system, `make test` all checks.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
SEED ?= 1

.PHONY: demo test unit functional binary bench soak mutations format clean

demo: $(READY)
	$(BIN)/python -m tools.demo --seed=$(SEED)

test: $(READY)
	$(BIN)/python -m tools.checks

unit: $(READY)
	$(BIN)/python -m tools.checks unit

functional: $(READY)
	$(BIN)/python -m tools.checks functional

bench: $(READY)
	$(BIN)/python -m tools.bench
	$(BIN)/python -m tools.capacity

soak: $(READY)
	$(BIN)/python -m tools.soak --seed=$(SEED)

mutations: $(READY)
	$(BIN)/python -m tools.mutations

binary: $(READY)
	$(BIN)/python -m tools.binary

format: $(READY)
	$(BIN)/ruff check --fix --quiet src tests tools
	$(BIN)/ruff format --quiet src tests tools

$(READY): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)

clean:
	rm -rf $(VENV) build dist out
