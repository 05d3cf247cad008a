LINT := bin/golangci-lint
GOPLS := bin/gopls
GOPLS_VERSION := v0.21.1

.PHONY: build test lint tools bench capacity demo demo-office demo-platform faults soak

build:
	go build -o bin/ ./cmd/...

$(LINT): tools/go.mod
	cd tools && go build -o ../$(LINT) github.com/golangci/golangci-lint/v2/cmd/golangci-lint

$(GOPLS):
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# Builds the development tools. "bin/gopls rename -w FILE:LINE:COL NEW" renames an
# identifier and all its uses.
tools: $(LINT) $(GOPLS)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

test: lint
	go vet ./...
	go build ./...
	go run ./cmd/knownred -race ./...
	go run ./cmd/pimentospread check --file examples/trust.json
	go run ./cmd/pimentospread check --file examples/office.json

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Measures the slopes of docs/CAPACITY.md again, and recomputes its figures. Those of the
# sweeps come from the journal: go run ./cmd/capacity sweep ENTRY...
capacity:
	go test -run '^$$' -bench . -benchtime 1x -count 3 -timeout 30m ./capacity > capacity/bench.txt
	go run ./cmd/capacity record --machine "$(MACHINE)" < capacity/bench.txt > capacity/slopes.new
	mv capacity/slopes.new capacity/slopes.json
	rm capacity/bench.txt
	go run ./cmd/capacity page

demo:
	scripts/demo.sh

demo-office:
	scripts/demo-office.sh

# Runs hosts as processes with stand-ins for the users' platform, targets and
# callers, and injects a fixed sequence of faults. Prints the outcome and fails if
# an invariant was violated.
demo-platform: build
	bin/standin soak --seed 1 --length 20s --output table --dir $${TMPDIR:-/tmp}/pimentospread-demo

# Runs the soak with SEEDS consecutive seeds from SEED. SEED=0 chooses a random
# first seed. Each run takes about half a minute.
SEED ?= 0
SEEDS ?= 10
soak: build
	bin/standin soak --seed $(SEED) --seeds $(SEEDS) --length 20s --dir $${TMPDIR:-/tmp}/pimentospread-soak

# Runs all fault scenarios. It takes several minutes, so it is not part of test.
faults:
	scripts/faults.sh
