# Development commands, listed by `make help` and described in CONTRIBUTING.md.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SPIN := $(shell command -v spin 2>/dev/null)
MEASURES := faults control settings once

# Do not buffer output that goes to a pipe.
export PYTHONUNBUFFERED := 1

.DEFAULT_GOAL := help
.PHONY: help venv test doctest model spin lint format demo soak binary check-binary \
        capacity clean $(addprefix measure-,$(MEASURES))

help: ## Show this help.
	@echo 'Usage: make TARGET'
	@echo
	@awk -F ':.*## ' '/^[a-z-]+:.*## / { printf "  %-22s %s\n", $$1, $$2 }' Makefile

venv: $(STAMP) ## Create .venv with the package (editable) and development tools.

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    --editable '.[dev]'
	touch $@

test: venv doctest model ## Run pytest, the doctests and the model checker.
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

doctest: venv ## Run the doctests of the coordination package.
	$(BIN)/python -m pytest --doctest-modules src/lavendergap/coordination \
	    || test $$? -eq 5  # 5: pytest found no tests.

model: venv spin ## Check the specifications and their broken variants with Spin.
	$(BIN)/python model/check.py

spin:
ifeq ($(SPIN),)
	@if test "$$(id -u)" -eq 0 && command -v apt-get >/dev/null; then \
	    apt-get update -qq && apt-get install -y -qq spin gcc; \
	else \
	    echo 'The model checker is missing: install the packages "spin" and' \
	         '"gcc" (Debian: sudo apt-get install spin gcc).' >&2; \
	    exit 1; \
	fi
endif

lint: venv ## Check formatting, style, types and import contracts.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

format: venv ## Format the code and apply the linter's fixes.
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: venv ## Run a small deployment and show its answers during failures.
	$(BIN)/python -m lab.demo
	$(BIN)/python -m lab.gatewaydemo

binary: venv ## Build the single-file executable, dist/lavendergap.
	$(BIN)/python -m lab.binary build

check-binary: binary ## Build the executable and test it.
	$(BIN)/python -m lab.binary check

soak: venv ## Soak-test gateways with faults; SOAK_SEEDS="1 2 3" sets seeds.
	$(BIN)/python -m lab.soak

measure-faults: venv ## Count the answers that callers receive during faults.
	$(BIN)/python -m lab.faults

measure-control: venv ## Measure the control overhead of a host by fleet size.
	$(BIN)/python -m lab.control

measure-settings: venv ## Measure the time until all hosts apply a settings edit.
	$(BIN)/python -m lab.settings

measure-once: venv ## Check that requests run at most once under faults.
	$(BIN)/python -m lab.once

capacity: venv ## Generate tables and plot of docs/CAPACITY.md from saved data.
	$(BIN)/python -m lab.capacity

clean: ## Remove build output, caches and .venv.
	rm -rf $(VENV) build dist .pytest_cache .mypy_cache .ruff_cache \
	    .hypothesis .import_linter_cache
	find . -name __pycache__ -type d -prune -exec rm -rf {} +
	find . -name '*.egg-info' -type d -prune -exec rm -rf {} +
