# Targets: build, lint, test, crowd, fuzz, bench, demo, experiment, soak.
GO ?= go
BIN := bin
KNOWN_RED = $(shell .ci/known-red)

.PHONY: build lint test crowd fuzz bench demo experiment soak

build:
	$(GO) build -o $(BIN)/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l . | grep -v '\.pb\.go$$' || true); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./... ./core/...
	$(GO) tool staticcheck ./... ./core/...

test:
	@if [ -n '$(KNOWN_RED)' ]; then echo "known red, passed over:"; grep -v '^#' KNOWN-RED.txt; fi
	$(GO) test -race -timeout 20m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $$($(GO) list ./... ./core/... | grep -v '/test/crowd$$')
	$(MAKE) crowd

# These tests measure the memory of processes, and run apart from all others.
crowd:
	$(GO) test -count=1 -timeout 30m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./test/crowd

fuzz:
	.ci/fuzz

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./... ./core/... | grep -v 'no test files'

demo:
	$(GO) run ./test/demo

experiment:
	$(GO) run ./test/experiment $(if $(QUICK),-quick)

# SEEDS names the seeds, as FIRST-LAST.
SEEDS ?= 1-50
soak:
	SOAK_SEEDS=$(SEEDS) $(GO) test -count=1 -timeout 60m -parallel 3 -v ./test/soak
