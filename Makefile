VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: demo test bench slopes faults soak clean check

$(VENV)/.installed: pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -e '.[test]'
	touch $@

check: $(VENV)/.installed
	$(VENV)/bin/ruff format --check src tests bench soak
	$(VENV)/bin/ruff check src tests bench soak
	$(VENV)/bin/mypy

test: check
	$(VENV)/bin/pytest

demo: $(VENV)/.installed
	$(PYTHON) -m bench.demo

bench: $(VENV)/.installed
	$(PYTHON) -m bench.measures

slopes: $(VENV)/.installed
	$(PYTHON) -m bench.slopes

# SOAK_ARGS="--first 1 --n-seeds 50" repeats known seeds; the default seed is new.
soak: $(VENV)/.installed
	$(PYTHON) -m soak $(SOAK_ARGS)

clean:
	rm -rf $(VENV) build *.egg-info src/*.egg-info .mypy_cache .ruff_cache
	rm -rf .pytest_cache .hypothesis demo-logs soak-logs bench/results/*.jsonl

faults: $(VENV)/.installed
	$(PYTHON) -m bench.faults
