# Targets: build, lint, test, demo, experiment.
GO ?= go
BIN := bin

.PHONY: build lint test demo experiment

build:
	$(GO) build -o $(BIN)/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l . | grep -v '\.pb\.go$$' || true); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./... ./core/...
	$(GO) tool staticcheck ./... ./core/...

test:
	$(GO) test -race -timeout 20m ./... ./core/...

demo:
	$(GO) run ./test/demo

experiment:
	$(GO) run ./test/experiment $(if $(QUICK),-quick)
