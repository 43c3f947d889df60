.PHONY: build test lint run demo parity parity-sockets wheel bench-library probe-second-copy measure-limits play-processes consensus-check maintenance bench-maintenance upgrade drain soak operator-calls

build: .venv/.dev

# another mark than that of deploy/balancer.toml, whose build leaves out the tools for development
.venv/.dev: requirements-dev.txt
	rm -rf .venv
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch .venv/.done .venv/.dev

# PYTHON may name another environment's interpreter, as .ci/run does; without that, this one's is built first
OWN_PYTHON := .venv/bin/python
PYTHON ?= $(OWN_PYTHON)
ENVIRONMENT := $(if $(filter $(OWN_PYTHON),$(PYTHON)),build)

lint: $(ENVIRONMENT)
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

test: lint
	$(PYTHON) -m pytest -q -n 6 --dist worksteal

# two minutes of attempts with ends of every kind against boxes that read late: docs/measurements/second-copy.md
probe-second-copy: build
	$(PYTHON) -m harriertide.lab.experiments.duplicate_attempts --attempts 200000

# how much of a limit heads use that lose messages and die: docs/measurements/deployments.md
measure-limits: build
	$(PYTHON) -m harriertide lab limits

# three members of the agreed log in every order of messages, and 2000 drawn courses of five: docs/design/consensus.md
consensus-check: build
	$(PYTHON) -m harriertide lab consensus-check

# orders of work on 5 real brokers and 12 boxes, with drawn faults between them: docs/measurements/maintenance.md
RUNS ?= 100
SEED ?= 1
maintenance: build
	$(PYTHON) -m harriertide lab maintenance --runs $(RUNS) --seed $(SEED)

# rolling work against none, one at a time and all at once; agreement against one synced write; 5, 50, 200 brokers
bench-maintenance: build
	$(PYTHON) -m harriertide lab bench-maintenance

# real brokers that are killed, stopped and cut off, judged by a plan's limit: docs/measurements/deployments.md
play-processes: build
	for seed in 1 2 3 4; do $(PYTHON) -m harriertide lab processes --seed $$seed || exit 1; done

# upgrades in place of a real broker under load, with drawn faults: docs/measurements/operations.md; logs stay
upgrade: build
	rm -rf build/upgrades
	$(PYTHON) -m harriertide lab upgrades --runs $(RUNS) --seed $(SEED) --folder build/upgrades

# drains of a real broker under load
drain: build
	rm -rf build/drains
	$(PYTHON) -m harriertide lab drains --runs $(RUNS) --seed $(SEED) --folder build/drains

# runs with signals in series, crowds, pauses and faults of nodes: docs/measurements/hardening.md; logs stay
soak: build
	rm -rf build/soak
	$(PYTHON) -m harriertide lab soak --runs $(RUNS) --seed $(SEED) --folder build/soak

# how soon operators are answered under overload at a quarter of a core, and by a thread of their own
operator-calls: build
	$(PYTHON) -m harriertide lab operator-calls --seed $(SEED)
	$(PYTHON) -m harriertide lab operator-calls --seed $(SEED) --thread

# one workload of each kind through daemon and library in virtual time; prints matched N differed 0
parity: build
	$(PYTHON) -m harriertide lab parity

# CPU and latency of a request direct, through the library and through the daemon: docs/measurements/library.md
bench-library: build
	$(PYTHON) -m harriertide lab bench-library

# stand-in boxes, daemon and object front on loopback, until Ctrl-C
demo: build
	exec .venv/bin/python -m harriertide demo

# one broker as LB_CONFIG says
run: build
	exec .venv/bin/python -m harriertide

# the same workload in real time on real sockets: both scores for five pairs
parity-sockets: build
	$(PYTHON) -m harriertide lab parity --sockets

# a wheel that installs with its extras into an empty environment, and works there
wheel: build
	rm -rf build/wheel build/empty
	$(PYTHON) -m pip wheel -q --no-deps -w build/wheel .
	python3 -m venv build/empty
	build/empty/bin/pip -q install "$$(ls build/wheel/harriertide-*.whl)[asgi]"
	cd build && empty/bin/harriertide version && empty/bin/python -c "import harriertide.library.asgi, harriertide.library.web; print('the wheel works')"
