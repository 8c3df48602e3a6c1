GOLANGCI_VERSION := v2.15.0
GOLANGCI := .tools/golangci-lint
GOPLS_VERSION := v0.23.0
GOPLS := .tools/gopls

.PHONY: check lint vet test bench build fuzz tools gopls

# check is the test command: formatter, linter, vet and tests with the race detector.
check: lint vet test

tools: $(GOLANGCI)

$(GOLANGCI):
	GOBIN=$(CURDIR)/.tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

# gopls renames identifiers; neither check nor CI needs it.
gopls: $(GOPLS)

$(GOPLS):
	GOBIN=$(CURDIR)/.tools go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: $(GOLANGCI)
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run

vet:
	go vet ./...

test:
	.ci/test

build:
	go build -o bin/ ./cmd/...

bench:
	go test -run '^$$' -bench . -benchmem ./...

fuzz:
	.ci/fuzz
