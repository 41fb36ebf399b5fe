include tools/versions.mk

GO ?= go
BIN := $(CURDIR)/bin
LINT := $(BIN)/golangci-lint-$(GOLANGCI_LINT_VERSION)
MODULES := . operator

.PHONY: test demo build check generate generate-tools unit fuzz matrix bench-policy bench-overload bench-capacity

# test runs the formatter, the linter, vet, the check of generated code and
# all tests with the race detector.
test: check unit

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	./scripts/demo.sh
	./scripts/demo-site.sh

$(LINT):
	GOBIN=$(BIN) GOWORK=off $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(BIN)/golangci-lint $(LINT)

check: $(LINT)
	./scripts/check.sh $(LINT)

unit:
	./scripts/unit.sh

# fuzz plays the tests that draw at random with fresh seeds for MINUTES.
fuzz:
	./scripts/fuzz.sh

# generate-tools builds the code generators; only changing a .proto needs them.
generate-tools:
	GOBIN=$(BIN) GOWORK=off $(GO) install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	cd tools/protoc && GOWORK=off $(GO) build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go

generate: generate-tools
	PATH=$(BIN):$$PATH $(BIN)/buf generate
	./scripts/proto-sums.sh > proto/SUMS

# matrix runs every fault at every step with real processes, prints one row a
# cell and writes docs/FAULTS.md.
matrix:
	./scripts/matrix.sh

# bench-capacity measures the slopes of docs/CAPACITY.md, about ten minutes.
bench-capacity: build
	./scripts/bench-capacity.sh

# bench-policy measures the placement policy beside its baselines.
bench-policy:
	./scripts/bench-policy.sh

# bench-overload measures each part of the scheduling under overload.
bench-overload:
	./scripts/bench-overload.sh
