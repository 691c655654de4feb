# The README's two commands are `make demo` and `make test`.
GO ?= go

.PHONY: build test lint demo

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@bad=$$(gofmt -l cmd internal); if [ -n "$$bad" ]; then echo "not gofmt clean: $$bad"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: lint
	$(GO) test -race -count=1 ./...

.PHONY: docs
# Writes the pages that are made from the code.
docs:
	$(GO) test -count=1 ./internal/event -update
