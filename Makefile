.PHONY: build test lint run

build: .venv/.done

.venv/.done: requirements-dev.txt
	rm -rf .venv
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch .venv/.done

# PYTHON may name another environment's interpreter, as .ci/run does
PYTHON ?= .venv/bin/python

lint:
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

test: lint
	$(PYTHON) -m pytest -q

run: build
	exec .venv/bin/python -m harriertide
