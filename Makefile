PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
SECONDS ?= 30
MEASURE ?= all

.PHONY: setup run test lint format proto schema measure soak faults slopes mutations clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

run: setup
	$(BIN)/python -m bench.demo

test: setup
	$(BIN)/python -m bench.run_tests

lint: setup
	$(BIN)/black --quiet --check --diff fuchsiacourse bench tests
	$(BIN)/flake8 fuchsiacourse bench tests

format: setup
	$(BIN)/black --quiet fuchsiacourse bench tests

proto: setup
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc -I . --python_out=. \
	  --grpclib_python_out=. fuchsiacourse/fleet.proto

schema: setup
	$(BIN)/python -m bench.write_schema

measure: setup
	$(BIN)/python -m bench.measure --measure $(MEASURE)

soak: setup
	$(BIN)/python -m bench.soak --seed $(SEED) --wall-seconds $(SECONDS)

faults: setup
	$(BIN)/python -m bench.fault_soak --seed $(SEED) --seconds $(SECONDS)

mutations: setup
	$(BIN)/python -m bench.front_mutations

slopes: setup
	$(BIN)/python -m bench.slopes

clean:
	rm -rf out build
