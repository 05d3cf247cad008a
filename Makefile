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

# Tools for working on the code. bin/gopls rename -w FILE:LINE:COL NEW follows every use of a name.
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

# Measures the slopes of docs/CAPACITY.md again, and works its figures out from them.
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

# Hosts as processes before stand-ins of the users' platform, targets and callers,
# with a fixed series of faults; prints the outcome and fails if a promise broke.
demo-platform: build
	bin/standin soak --seed 1 --length 20s --output table --dir $${TMPDIR:-/tmp}/pimentospread-demo

# SEED=0 takes fresh seeds. Each run takes about half a minute.
SEED ?= 0
SEEDS ?= 10
soak: build
	bin/standin soak --seed $(SEED) --seeds $(SEEDS) --length 20s --dir $${TMPDIR:-/tmp}/pimentospread-soak

# Takes some minutes of real time, so it is not part of test.
faults:
	scripts/faults.sh
