PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = packages/basilhill packages/basilhill_node packages/basilhill_cli packages/basilhill_fakes
WORKLOAD ?= degustari
SCENARIO ?= storm
MODE ?= basilhill
SEED ?= 1
DISABLE ?=
COUNT ?= 1
SECONDS ?= 12

# The sources of this checkout take precedence over installed packages, also in processes that tests
# start.
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(PACKAGES:%=$(CURDIR)/%/src))

.PHONY: setup demo test measure soak lint format generate

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt pyproject.toml $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt $(PACKAGES:%=-e %) -e 'packages/basilhill_cli[plot]' \
		black hypothesis import-linter pytest pytest-asyncio rope ruff
	touch $@

demo: setup
	$(BIN)/python tools/demo.py --workload $(WORKLOAD)

test: setup
	$(BIN)/python tools/run_tests.py

measure: setup
	$(BIN)/python tools/measure.py --scenario $(SCENARIO) --workload $(WORKLOAD) --mode $(MODE) --seed $(SEED) \
		--disable $(DISABLE)

soak: setup
	$(BIN)/python tools/soak.py $(if $(SEED),--seed $(SEED)) --count $(COUNT) --seconds $(SECONDS)

lint: setup
	$(BIN)/black --check -q packages tools
	$(BIN)/ruff check -q packages tools
	$(BIN)/lint-imports --no-cache

format: setup
	$(BIN)/black -q packages tools
	$(BIN)/ruff check -q --fix packages tools

generate: setup
	$(BIN)/pip install -q -c constraints.txt grpcio-tools
	cd packages/basilhill_node/src && $(abspath $(BIN))/python -m grpc_tools.protoc -I. --python_out=. \
		--grpclib_python_out=. --plugin=protoc-gen-grpclib_python=$(abspath $(BIN))/protoc-gen-grpclib_python \
		basilhill_node/wire/peer.proto
