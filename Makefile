# The one entry to the project's work. `make demo` and `make test` install what
# they need.

GOLANGCI_LINT_VERSION := v2.15.0
BUF_VERSION := v1.75.0
GOPLS_VERSION := v0.23.0
GOBIN := $(shell go env GOPATH)/bin
BINARY := bin/quetzalgrade

.PHONY: all build demo test race lint format generate tools fuzz pairs soak measure bench clean

all: build lint test

build:
	go build -o $(BINARY) ./cmd/quetzalgrade

# Runs daemons and stand-ins of a deployment in one process and sends requests.
demo: build
	$(BINARY) demo

# The tests that KNOWN-RED.txt names are passed over; .ci/run prints them.
KNOWN_RED := $(shell sed -n 's/^  test: //p' KNOWN-RED.txt | sed 's|/|$$/^|g; s|^|^|; s|$$|$$|' | paste -sd '|')
test:
	go test $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

race:
	go test -race ./...

# Installs the pinned linter when it is missing, then checks format and style.
lint: $(GOBIN)/golangci-lint-$(GOLANGCI_LINT_VERSION)
	$< run ./...

format: $(GOBIN)/golangci-lint-$(GOLANGCI_LINT_VERSION)
	$< fmt ./...

$(GOBIN)/golangci-lint-$(GOLANGCI_LINT_VERSION):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(GOBIN)/golangci-lint $@

# Generates the schema's code. The build does not need it: the code is committed.
generate: $(GOBIN)/buf-$(BUF_VERSION)
	$< lint
	$< generate

$(GOBIN)/buf-$(BUF_VERSION):
	go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	mv $(GOBIN)/buf $@

# Measures the decisions against baselines in virtual time, and writes the
# tables of docs/MEASURES.md.
MEASURE_SEEDS ?= 10
MEASURE_OUT ?= $(CURDIR)/bin/measures
measure:
	rm -rf $(MEASURE_OUT) && mkdir -p $(MEASURE_OUT)
	MEASURE_SEEDS=$(MEASURE_SEEDS) MEASURE_OUT=$(MEASURE_OUT) go test -count=1 -timeout 60m -run TestMeasure ./internal/measurer
	cat docs/measures.head $(MEASURE_OUT)/*.md > docs/MEASURES.md

# Times the request path against a plain pass-through in the same run, and the
# choice of an endpoint by the number of endpoints.
bench:
	go test -run '^$$' -bench . -benchmem ./internal/benchmarker ./internal/sender ./internal/tracker ./platform

# Installs the pinned language server, whose command line renames identifiers
# with all of their uses: gopls rename -w FILE:LINE:COLUMN NAME.
tools: $(GOBIN)/gopls-$(GOPLS_VERSION)

$(GOBIN)/gopls-$(GOPLS_VERSION):
	go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(GOBIN)/gopls $@

# Runs the parsers' fuzz targets for a while.
FUZZ_TIME ?= 30s
fuzz:
	go test -run '^$$' -fuzz FuzzParseChat -fuzztime $(FUZZ_TIME) ./internal/gateway
	go test -run '^$$' -fuzz FuzzBytes -fuzztime $(FUZZ_TIME) ./internal/decoder
	go test -run '^$$' -fuzz FuzzToken -fuzztime $(FUZZ_TIME) ./internal/pinner
	go test -run '^$$' -fuzz FuzzEventBuffer -fuzztime $(FUZZ_TIME) ./internal/forwarder
	go test -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZ_TIME) ./internal/exchanger

# Runs pairs of faults in virtual time, more of them than CI does.
SOAK_RUNS ?= 200
pairs:
	SOAK_RUNS=$(SOAK_RUNS) go test -count=1 -timeout 120m -run TestCombinedFaults -v ./internal/demonstrator

# Runs daemons, log and endpoints as processes under faults from outside them.
SOAK_SEEDS ?= 1000-1049
SOAK_JOBS ?= 3
soak:
	SOAK_SEEDS=$(SOAK_SEEDS) go test -count=1 -timeout 120m -parallel $(SOAK_JOBS) -run TestSoak -v ./platform/soaker

clean:
	rm -rf bin
