GO ?= go
TEST_FLAGS ?=

# Ends tests that hang. With the race detector, the system tests of one package take longer than the default of ten minutes on a busy machine.
TEST_TIMEOUT ?= 30m

# Tests that are skipped because they fail for a known fault; KNOWN-RED.txt lists them with the reason.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: build fmt-check lint test soak check bench capacity measure demo clean

build:
	$(GO) build -o bin/ ./cmd/...

fmt-check:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# The tests that load the whole machine run after the others. They are not cached, since they build the daemon themselves.
LOAD_TESTS := ./platform/clientload

test:
	$(GO) test -timeout $(TEST_TIMEOUT) $(TEST_FLAGS) $(SKIP) $$($(GO) list ./... | grep -v /platform/clientload$$)
	$(GO) test -timeout $(TEST_TIMEOUT) $(TEST_FLAGS) $(SKIP) -p 1 -count=1 $(LOAD_TESTS)

# Runs daemons with the platform adapter as separate processes under injected faults: two seeds with cuts of groups of workers and outages
# of the store, and one with workers that restart under their IDs and are cut off. Less than two minutes.
soak: build
	$(GO) build -o bin/ ./platform/soak
	bin/soak --seed 1 --seeds 2 --duration 6s
	bin/soak --profile restarts --daemons 5 --workers 24 --seed 7 --duration 10s

check: build fmt-check lint
	$(MAKE) test TEST_FLAGS="-race"

demo: build
	./scripts/demo.sh

clean:
	rm -rf bin out

# Compares the scheduling policies with their baselines and benchmarks single decisions.
bench:
	$(GO) test -run PolicyTable -v ./... 2>&1 | grep -vE 'no test files|no tests to run|^=== |^PASS$$|✔|total assertions|^ *$$' || true
	$(GO) test -run xxx -bench . -benchmem ./...

# Benchmarks how costs grow with load; docs/CAPACITY.md is based on them.
capacity:
	$(GO) test -run xxx -bench . ./internal/capacity

# Measures real processes on this machine.
measure: build
	./scripts/measure.sh
