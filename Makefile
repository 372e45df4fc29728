.PHONY: build test lint run sim sites soak

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q --disable-pip-version-check install -r requirements.txt -r requirements-dev.txt

lint:
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

# Tests of many processes, and those that play long on a clock of their own, run beside all others; those that
# start 24 or thirty at once take all cores, and run behind them. Every verdict counts.
RIG = tests/test_fleet_rig.py tests/test_live_changes.py
LONG = tests/test_membership.py tests/tenancy/test_fair_queue.py
TABLE = tests/test_replication.py tests/test_sqlite_replica.py tests/tenancy/test_tenant_cache.py tests/tenancy/test_index.py \
	tests/admin/test_replicated_api.py tests/test_replication_service.py tests/test_capacity.py tests/test_capacity_model.py
SOAK = tests/soak
ALONE = tests/test_fleet_ramp.py tests/test_ready.py
LANES = RIG LONG TABLE SOAK
PYTEST = .venv/bin/python -m pytest -q
test: lint
	@logs=$$(mktemp -d); pids=; failed=0; \
	$(foreach lane,$(LANES),$(PYTEST) $($(lane)) >$$logs/$(lane) 2>&1 & pids="$$pids $$!";) \
	$(PYTEST) $(addprefix --ignore=,$(foreach lane,$(LANES),$($(lane))) $(ALONE)) || failed=1; \
	for pid in $$pids; do wait $$pid || failed=1; done; cat $$logs/*; rm -rf $$logs; \
	$(PYTEST) $(ALONE) || failed=1; \
	exit $$failed

# One run of real processes for each seed from FIRST on, each with SECONDS of load.
SEEDS = 50
FIRST = 1
SECONDS = 12
soak:
	PYTHONPATH=.:tests .venv/bin/python -m soak --seeds $(SEEDS) --first $(FIRST) --seconds $(SECONDS)

# One arena: with one for each few threads, memory that short-lived threads free is not given to others.
run:
	MALLOC_ARENA_MAX=1 exec .venv/bin/python -O -m reelusher

sim:
	exec .venv/bin/python -m reelusher.simulator.adapter

# The bench wants these beside a site. Then each variant is read by it once: a key that it turns down is named.
SITES = ../given/kit/sites
BENCH = ../given/kit/more/mass/bin/lbreal
sites:
	@for file in real.json wire.json unlock.txt; do \
		test -r $(SITES)/$$file || { echo "sites: $(SITES)/$$file is missing" >&2; exit 1; }; \
		install -m 644 $(SITES)/$$file deploy/sites/$$file || exit 1; done
	@for site in deploy/sites/*.toml; do \
		said=$$($(BENCH) fit $$site 2>&1) || { echo "sites: $$site: $$said" >&2; exit 1; }; done
	@echo "sites: ready to be played"
