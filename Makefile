PYTHON ?= python3
VENV = .venv
BIN = $(VENV)/bin

.PHONY: install run test lint format measure measure-work capacity capacity-hosts soak clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

install: $(VENV)/.installed

run: install
	$(BIN)/python examples/run.py

test: install
	$(BIN)/nose2 -c unittest.cfg -s tests -t .

lint: install
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

measure: install
	$(BIN)/python scripts/measure.py

DAY = sahel
SEEDS = 20
SCALE = 1
measure-work: install
	$(BIN)/python scripts/measure_work.py --day=$(DAY) --seeds=$(SEEDS) --scale=$(SCALE)

capacity: install
	$(BIN)/python scripts/capacity.py

capacity-hosts: install
	$(BIN)/python scripts/capacity_hosts.py

FIRST = 1
JOBS = 2
soak: install
	$(BIN)/python -m scripts.soak --seeds=$(SEEDS) --first=$(FIRST) --jobs=$(JOBS)

clean:
	rm -rf $(VENV) .run
