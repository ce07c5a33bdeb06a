GO ?= go
PACKAGES = ./...

.PHONY: build test lint demo bench bench-policies capacity guarantees soak

build:
	$(GO) build -o bin/briarferry ./cmd/briarferry

lint:
	@test -z "$$(gofmt -l .)" || { echo "not formatted:"; gofmt -l .; exit 1; }
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

test: lint
	@scripts/test.sh

demo: build
	@scripts/demo.sh

# Runs exactly the tests that docs/guarantees.md names.
guarantees:
	@scripts/guarantees.sh

# Repeats the tests with real processes under failures for SOAK each, with SEED. SEEDS and
# VMS are the number of seeds and of processes of the soak of entry and control.
SOAK ?= 60s
SEED ?= 1
SEEDS ?= 1
VMS ?= 7
soak:
	BRIARFERRY_TEST_FOR=$(SOAK) BRIARFERRY_TEST_SEED=$(SEED) \
	BRIARFERRY_SOAK_FOR=$(SOAK) BRIARFERRY_SOAK_SEED=$(SEED) BRIARFERRY_SOAK_COUNT=$(SEEDS) BRIARFERRY_SOAK_VMS=$(VMS) \
		$(GO) test -count=1 -v -timeout 90m -run '^(TestConfigHistory|TestClaimsUnderFailures|TestSoak)$$' ./internal/systemtest

# Measures costs at several sizes; OUT=docs/CAPACITY.md replaces the page.
OUT ?=
capacity:
	$(GO) run ./internal/transport/bfcapacity/run -out "$(OUT)" -revision "$$(git describe --always --dirty)"

bench: bench-placement

# Planner time and memory, look-ups, and the planner against the nearest site.
.PHONY: bench-placement
bench-placement:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/transport/bfcapacity
	$(GO) run ./internal/transport/bfcapacity/run -policies

bench: bench-policies

bench-policies:
	$(GO) test -count=1 -v -run '^TestPolicies$$' ./internal/transport/bfentry

bench: bench-paths

# The request path through the system's real processes; PARTS selects some of spread,
# entry, flood, claims and faults, and REPEAT repeats each.
PARTS ?=
REPEAT ?= 1
.PHONY: bench-paths
bench-paths: build
	$(GO) run ./internal/transport/bfbench/run -parts "$(PARTS)" -repeat "$(REPEAT)"
