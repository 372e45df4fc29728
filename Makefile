.PHONY: build test lint run sim

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q --disable-pip-version-check install -r requirements.txt -r requirements-dev.txt

lint:
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/python tests/limits.py

test: lint
	.venv/bin/python -m pytest -q

# One arena: with one for each few threads, memory that short-lived threads free is not given to others.
run:
	MALLOC_ARENA_MAX=1 exec .venv/bin/python -O -m reelusher

sim:
	exec .venv/bin/python -m reelusher.benchlink
