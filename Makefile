# The README's two commands are `make demo` and `make test`.
GO ?= go

.PHONY: build test lint demo bench

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@bad=$$(gofmt -l cmd internal platform); if [ -n "$$bad" ]; then echo "not gofmt clean: $$bad"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# SKIP is a pattern of tests that are passed over; CI gives those of KNOWN-RED.txt.
SKIP ?=
# TEST_TIMEOUT ends a package's tests; beside other work the longest exceed Go's default.
TEST_TIMEOUT ?= 20m
test: lint
	$(GO) test -race -count=1 -timeout $(TEST_TIMEOUT) $(if $(SKIP),-skip '$(SKIP)') ./...

.PHONY: fuzz
# Fuzzes with fresh seeds: the cores against the oracle for FUZZTIME, then each
# decoder for FUZZEACH.
FUZZTIME ?= 60s
FUZZEACH ?= 10s
fuzz:
	$(GO) test -count=1 -timeout 2h -run TestPromisesHoldUnderFaults ./internal/proof -proof.fuzz $(FUZZTIME)
	@grep -rno 'func Fuzz[A-Za-z]*' --include=*_test.go cmd internal platform | \
	sed -E 's|^(.*)/[^/]*:[0-9]+:func (.*)$$|\1 \2|' | \
	while read -r dir name; do \
		echo "$$dir $$name"; \
		$(GO) test -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZEACH) ./$$dir || exit 1; \
	done

.PHONY: soak
# Harms real node processes by SEEDS plans from seed SEED on; see cmd/gypsumsoak.
SEED ?= 1
SEEDS ?= 8
soak: build
	bin/gypsumsoak -node bin/gypsumside -seed $(SEED) -seeds $(SEEDS)

.PHONY: docs
# Writes the pages that are made from the code.
docs:
	$(GO) test -count=1 ./internal/event -update

# Runs the Inyange example on loopback under load; see cmd/gypsumdemo.
demo: build
	bin/gypsumdemo examples/inyange/bundle.toml 4 3 4

# Measures the examples beside their baselines and writes docs/MEASUREMENTS.md.
# It takes about fifteen minutes and wants a quiet machine.
bench: build
	bin/gypsumbench -examples examples -out docs

.PHONY: capacity
# Measures control by fleet size and writes docs/CAPACITY.md; about three minutes.
capacity: build
	bin/gypsumcap -out docs
