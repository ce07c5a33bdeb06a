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

# Runs the tests that docs/guarantees.md names, and no others.
guarantees:
	@scripts/guarantees.sh

# Runs each failure test with real processes for the time SOAK. SEED is the first random
# seed. SEEDS is the number of seeds and VMS the number of VMs of TestSoak.
SOAK ?= 60s
SEED ?= 1
SEEDS ?= 1
VMS ?= 7
soak:
	BRIARFERRY_TEST_FOR=$(SOAK) BRIARFERRY_TEST_SEED=$(SEED) \
	BRIARFERRY_SOAK_FOR=$(SOAK) BRIARFERRY_SOAK_SEED=$(SEED) BRIARFERRY_SOAK_COUNT=$(SEEDS) BRIARFERRY_SOAK_VMS=$(VMS) \
		$(GO) test -count=1 -v -timeout 90m -run '^(TestConfigHistory|TestClaimsUnderFailures|TestSoak)$$' ./internal/systemtest

# Measures the resource use at several system sizes. OUT=docs/CAPACITY.md replaces the page.
# docs/sweep.md, the growth that the users' bench measured, is added to it.
OUT ?=
capacity:
	$(GO) run ./internal/transport/bfcapacity/run -out "$(OUT)" -sweep docs/sweep.md -revision "$$(git describe --always --dirty)"

bench: bench-placement

# Measures the time and memory of the planner and the time of look-ups, and compares the
# planner with the assignment to the nearest site.
.PHONY: bench-placement
bench-placement:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/transport/bfcapacity
	$(GO) run ./internal/transport/bfcapacity/run -policies

bench: bench-policies

bench-policies:
	$(GO) test -count=1 -v -run '^TestPolicies$$' ./internal/transport/bfentry

bench: bench-downloads

# Measures 30 downloads at once through an entry, held until complete and streamed.
.PHONY: bench-downloads
bench-downloads:
	$(GO) test -run '^$$' -bench '^BenchmarkDownloads$$' -benchtime 3x ./internal/transport/bfgateway

bench: bench-uploads

# Measures 30 uploads at once through an entry, held until complete and passed on.
.PHONY: bench-uploads
bench-uploads:
	$(GO) test -run '^$$' -bench '^BenchmarkUploads$$' -benchtime 3x ./internal/transport/bfgateway

bench: bench-paths

# Measures the request path through real processes of the system. PARTS selects among
# spread, entry, flood, claims and faults; all run by default. REPEAT is the number of
# repetitions of each.
PARTS ?=
REPEAT ?= 1
.PHONY: bench-paths
bench-paths: build
	$(GO) run ./internal/transport/bfbench/run -parts "$(PARTS)" -repeat "$(REPEAT)"
