# `make demo` and `make test` need nothing but Python 3.11 and make.
VENV ?= .venv
PY := $(VENV)/bin/python
SRC := $(CURDIR)/packages/gypsumfold/src:$(CURDIR)/packages/gypsumfoldctl/src:$(CURDIR)/packages/gypsumfold-standins/src
# This tree's sources go before whatever the environment has installed.
export PYTHONPATH := $(SRC)
export PATH := $(abspath $(VENV))/bin:$(PATH)
BEHAVE ?=

.PHONY: setup demo test lint format docs

setup: $(VENV)/.stamp

$(VENV)/.stamp: constraints.txt packages/*/pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(PY) -m pip install -q -c constraints.txt --no-build-isolation \
	  -e packages/gypsumfold -e packages/gypsumfoldctl \
	  -e packages/gypsumfold-standins
	touch $@

demo: setup
	$(PY) -m gypsumfold_standins.demo

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

docs: setup
	$(PY) -m gypsumfold.catalogues events > docs/EVENTS.md
	$(PY) -m gypsumfold.catalogues metrics > docs/METRICS.md

test: setup
	$(PY) -m features.run $(BEHAVE)
