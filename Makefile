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

bench: bench-policies

bench-policies:
	$(GO) test -count=1 -v -run '^TestPolicies$$' ./internal/transport/bfentry
